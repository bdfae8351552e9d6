//! Workers for tasks on probation.
//!
//! Pattern answered: a task that may crash its worker is started where nothing else has begun just now, so that the
//! crash can be told from others. In a busy cell something begins on every worker all the time, and a gang wants several
//! such workers at once; then it would wait for good. So workers are kept quiet for a step that has found none: nothing
//! else begins there until it has, or for a while.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::crash::MACHINE_MEMORY;
use crate::crash::START_TIME;
use crate::fit::Request;
use crate::gang;
use crate::host::Hosted;
use crate::job::Place;
use crate::order::Timer;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// For so long a task on probation waits for a machine that hasn't crashed lately: one that goes down again and again
/// brings whatever it is given under suspicion. Short against the seconds within which every task starts.
const STEADY_WAIT: Duration = Duration::from_millis(1500);
/// How soon a task on probation that found no worker looks again.
const PROBATION_LOOK: Duration = Duration::from_millis(100);
/// How long a worker is kept quiet if no look renews it.
const QUIET_TIME: Duration = Duration::from_millis(1000);

/// The part of the workers that are kept quiet at a time, so that all else goes on beside them. A step that needs more, as
/// a gang may, has them to itself: no others are kept quiet meanwhile.
const QUIET_PART: f64 = 0.125;

/// A step for which nothing else begins on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quiet {
    pub(crate) step: StepId,
    until: Time,
}

impl Worker {
    /// Tells whether it is kept quiet for another step.
    pub(crate) fn is_kept_quiet(&self, step: StepId, now: Time) -> bool {
        self.quiet_for.is_some_and(|quiet| quiet.step != step && now < quiet.until)
    }

    /// Tells whether it is kept quiet for a step, or was last.
    pub(crate) fn has_to_itself(&self, step: StepId) -> bool {
        self.quiet_for.is_some_and(|quiet| quiet.step == step)
    }
}

impl Planner {
    /// Chooses a worker for a task on probation.
    pub(crate) fn choose_for_probation(
        &self,
        request: &Request<'_>,
        since: Time,
        open: &[WorkerId],
    ) -> Option<WorkerId> {
        let rated = self.quiet(since, open).into_iter().filter_map(|id| {
            let rate = self.rate(&self.workers[id], request)?;
            Some((rate, id))
        });
        rated.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, id)| id)
    }

    /// Returns the workers on which a task that waits for its probation since then can be told from others.
    pub(crate) fn quiet(&self, since: Time, open: &[WorkerId]) -> Vec<WorkerId> {
        let now = self.now;
        let since = self.steady_since(since, open);
        let is_quiet = |worker: &Worker| {
            worker.suspects == 0
                && now >= worker.newest + START_TIME
                && !worker.runs.values().any(Hosted::is_beginning)
                && self.is_steady(worker, since, now)
        };
        open.iter().copied().filter(|&id| is_quiet(&self.workers[id])).collect()
    }

    /// Returns since when a task counts as waiting for a steady machine: from the beginning of time, so that its wait is over,
    /// where none is open.
    fn steady_since(&self, since: Time, open: &[WorkerId]) -> Time {
        let any_steady = open.iter().any(|&id| !self.has_crashed_lately(&self.workers[id]));
        if any_steady { since } else { Time::ZERO }
    }

    /// Tells whether a machine is steady enough for a task that has waited for its probation since then.
    fn is_steady(&self, worker: &Worker, since: Time, now: Time) -> bool {
        now >= since + STEADY_WAIT || !self.has_crashed_lately(worker)
    }

    fn has_crashed_lately(&self, worker: &Worker) -> bool {
        let last = worker.address.and_then(|address| self.crashed_at.get(&address));
        last.is_some_and(|crash| self.now < crash.at + MACHINE_MEMORY)
    }

    /// Returns since when the task of a step on probation has waited that has for the longest, if one waits.
    pub(crate) fn probation_since(&self, step: StepId) -> Option<Time> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| &state.tasks);
        let waiting = tasks.filter(|task| task.place == Place::Waiting && task.is_on_probation());
        waiting.map(|task| task.waiting_since).min()
    }

    /// Keeps workers quiet for a step on probation that has found none and waits since then: as many as a gang needs, or
    /// one. Steady machines go first, and those on which nothing has begun for longer.
    pub(crate) fn keep_quiet(&mut self, step: StepId, spec: &Step, since: Time, open: &[WorkerId]) {
        let now = self.now;
        self.timers.insert((now + PROBATION_LOOK, Timer::Place));
        if self.quiet_first.is_some_and(|first| first.step != step && now < first.until) {
            return;
        }
        let quiet = Quiet { step, until: now + QUIET_TIME };
        let chosen = self.quietest(step, spec, since, open);
        let kept = open.iter().filter(|&&id| self.workers[id].is_kept_quiet(step, now)).count();
        let most = ((open.len() as f64 * QUIET_PART) as usize).max(1);
        if chosen.len() > most {
            self.quiet_first = Some(quiet);
        } else if chosen.len() + kept > most {
            return;
        }
        for id in chosen {
            let worker = &mut self.workers[id];
            if !worker.is_kept_quiet(step, now) {
                worker.quiet_for = Some(quiet);
            }
        }
    }

    /// Returns the workers that a step on probation can have to itself first; none where it has no room in all.
    fn quietest(&self, step: StepId, spec: &Step, since: Time, open: &[WorkerId]) -> Vec<WorkerId> {
        let request = Request::new(&self.model, step.task(0), spec);
        // Before that a machine which has crashed lately is of no use yet, and may be to others.
        let by = self.now + START_TIME;
        let since = self.steady_since(since, open);
        let usable = |worker: &Worker| {
            gang::fitting(spec, worker.room()) > 0
                && self.suits(worker, &request)
                && self.is_steady(worker, since, by)
        };
        let mut candidates: Vec<WorkerId> =
            open.iter().copied().filter(|&id| usable(&self.workers[id])).collect();
        candidates.sort_by_cached_key(|&id| {
            let worker = &self.workers[id];
            let crashed = self.has_crashed_lately(worker);
            let taken = worker.is_kept_quiet(step, self.now);
            (!worker.has_to_itself(step), taken, worker.suspects > 0, crashed, worker.newest)
        });
        let mut wanted = if spec.gang { u64::from(spec.count) } else { 1 };
        let mut chosen = Vec::new();
        for id in candidates {
            if wanted == 0 {
                break;
            }
            let room = gang::fitting(spec, self.workers[id].room());
            let most = if spec.max_per_worker == 0 { room } else { spec.max_per_worker.into() };
            wanted = wanted.saturating_sub(room.min(most));
            chosen.push(id);
        }
        if wanted == 0 { chosen } else { Vec::new() }
    }
}
