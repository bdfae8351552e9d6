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

use crate::command::Timer;
use crate::crash::MACHINE_CRASH_WINDOW;
use crate::crash::START_CRASH_WINDOW;
use crate::fit::Request;
use crate::gang;
use crate::host::Hosted;
use crate::job::Place;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// For so long a task on probation waits for a machine that hasn't crashed lately: one that goes down again and again
/// brings whatever it is given under suspicion. Short against the seconds within which every task starts.
const STABLE_MACHINE_WAIT: Duration = Duration::from_millis(1500);
/// How soon a task on probation that found no worker looks again.
const PROBATION_RETRY: Duration = Duration::from_millis(100);
/// How long a worker is kept quiet if no look renews it.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// The part of the workers that are kept quiet at a time, so that all else goes on beside them. A step that needs more, as
/// a gang may, has them to itself: no others are kept quiet meanwhile.
const MAX_ISOLATED_FRACTION: f64 = 0.125;

/// A step for which nothing else begins on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub(crate) step: StepId,
    until: Time,
}

impl Worker {
    /// Tells whether it is kept quiet for another step.
    pub(crate) fn is_isolated_for_other(&self, step: StepId, now: Time) -> bool {
        self.isolated_for.is_some_and(|quiet| quiet.step != step && now < quiet.until)
    }

    /// Tells whether it is kept quiet for a step, or was last.
    pub(crate) fn is_isolated_for(&self, step: StepId) -> bool {
        self.isolated_for.is_some_and(|quiet| quiet.step == step)
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
        let rated = self.probation_workers(since, open).into_iter().filter_map(|id| {
            let rate = self.score(&self.workers[id], request)?;
            Some((rate, id))
        });
        rated.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, id)| id)
    }

    /// Returns the workers on which a task that waits for its probation since then can be told from others.
    pub(crate) fn probation_workers(&self, since: Time, open: &[WorkerId]) -> Vec<WorkerId> {
        let now = self.now;
        let since = self.stable_wait_since(since, open);
        let is_quiet = |worker: &Worker| {
            worker.suspects == 0
                && now >= worker.last_start_sent + START_CRASH_WINDOW
                && !worker.runs.values().any(Hosted::is_starting)
                && self.is_stable(worker, since, now)
        };
        open.iter().copied().filter(|&id| is_quiet(&self.workers[id])).collect()
    }

    /// Returns since when a task counts as waiting for a steady machine: from the beginning of time, so that its wait is over,
    /// where none is open.
    fn stable_wait_since(&self, since: Time, open: &[WorkerId]) -> Time {
        let any_steady = open.iter().any(|&id| !self.has_crashed_recently(&self.workers[id]));
        if any_steady { since } else { Time::ZERO }
    }

    /// Tells whether a machine is steady enough for a task that has waited for its probation since then.
    fn is_stable(&self, worker: &Worker, since: Time, now: Time) -> bool {
        now >= since + STABLE_MACHINE_WAIT || !self.has_crashed_recently(worker)
    }

    fn has_crashed_recently(&self, worker: &Worker) -> bool {
        let last = worker.address.and_then(|address| self.crashed_at.get(&address));
        last.is_some_and(|crash| self.now < crash.at + MACHINE_CRASH_WINDOW)
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
    pub(crate) fn isolate_workers(
        &mut self,
        step: StepId,
        spec: &Step,
        since: Time,
        open: &[WorkerId],
    ) {
        let now = self.now;
        self.timers.insert((now + PROBATION_RETRY, Timer::Place));
        if self.isolation_priority.is_some_and(|first| first.step != step && now < first.until) {
            return;
        }
        let quiet = Isolation { step, until: now + ISOLATION_TIMEOUT };
        let chosen = self.isolation_candidates(step, spec, since, open);
        let kept =
            open.iter().filter(|&&id| self.workers[id].is_isolated_for_other(step, now)).count();
        let most = ((open.len() as f64 * MAX_ISOLATED_FRACTION) as usize).max(1);
        if chosen.len() > most {
            self.isolation_priority = Some(quiet);
        } else if chosen.len() + kept > most {
            return;
        }
        for id in chosen {
            let worker = &mut self.workers[id];
            if !worker.is_isolated_for_other(step, now) {
                worker.isolated_for = Some(quiet);
            }
        }
    }

    /// Returns the workers that a step on probation can have to itself first; none where it has no room in all.
    fn isolation_candidates(
        &self,
        step: StepId,
        spec: &Step,
        since: Time,
        open: &[WorkerId],
    ) -> Vec<WorkerId> {
        let request = Request::new(&self.interference, step.task(0), spec);
        // Before that a machine which has crashed lately is of no use yet, and may be to others.
        let by = self.now + START_CRASH_WINDOW;
        let since = self.stable_wait_since(since, open);
        let usable = |worker: &Worker| {
            gang::fit_count(spec, worker.room()) > 0
                && self.is_eligible(worker, &request)
                && self.is_stable(worker, since, by)
        };
        let mut candidates: Vec<WorkerId> =
            open.iter().copied().filter(|&id| usable(&self.workers[id])).collect();
        candidates.sort_by_cached_key(|&id| {
            let worker = &self.workers[id];
            let crashed = self.has_crashed_recently(worker);
            let taken = worker.is_isolated_for_other(step, self.now);
            (
                !worker.is_isolated_for(step),
                taken,
                worker.suspects > 0,
                crashed,
                worker.last_start_sent,
            )
        });
        let mut wanted = if spec.gang { u64::from(spec.count) } else { 1 };
        let mut chosen = Vec::new();
        for id in candidates {
            if wanted == 0 {
                break;
            }
            let room = gang::fit_count(spec, self.workers[id].room());
            let most = if spec.max_per_worker == 0 { room } else { spec.max_per_worker.into() };
            wanted = wanted.saturating_sub(room.min(most));
            chosen.push(id);
        }
        if wanted == 0 { chosen } else { Vec::new() }
    }
}
