//! Workers for tasks on probation.
//!
//! A task that may crash its worker is started where nothing else has begun recently, so that its
//! crash can be told from others. In a busy cell something begins on every worker all the time, and
//! a gang needs several such workers at once, so it would wait forever. So workers are *isolated*
//! for a step that has found none: nothing else begins there until the step's task has begun, or
//! for a limited time.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::faults::crash::MACHINE_CRASH_WINDOW;
use crate::faults::crash::START_CRASH_WINDOW;
use crate::placement::fit::Request;
use crate::placement::gang;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::workers::command::Timer;
use crate::workers::host::Hosted;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time that a task on probation waits for a machine that hasn't crashed recently: a machine that
/// crashes again and again makes all its runs suspects. Short compared with the seconds within
/// which every task starts.
const STABLE_MACHINE_WAIT: Duration = Duration::from_millis(1500);
/// Retry interval of a task on probation that found no worker.
const PROBATION_RETRY: Duration = Duration::from_millis(100);
/// Time after which the isolation of a worker ends unless it is renewed.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum fraction of the workers that are isolated at a time, so that all other work continues
/// beside them. A step that needs more, as a gang may, is the only one that workers are isolated
/// for meanwhile.
const MAX_ISOLATED_FRACTION: f64 = 0.125;

/// The step for which a worker is isolated: nothing else begins there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    pub(crate) step: StepId,
    until: Time,
}

impl Worker {
    /// Returns `true` if the worker is isolated for another step.
    pub(crate) fn is_isolated_for_other(&self, step: StepId, now: Time) -> bool {
        self.isolated_for.is_some_and(|isolation| isolation.step != step && now < isolation.until)
    }

    /// Records that a start of a step's task was sent.
    pub(crate) fn record_start(&mut self, step: StepId, now: Time) {
        if self.last_start_step != Some(step) {
            self.last_start_step = Some(step);
            self.other_start_sent = self.last_start_sent;
        }
        self.last_start_sent = now;
    }

    /// Returns `true` if no suspect of another step is on the worker and nothing else has begun
    /// there recently.
    fn has_only_begun(&self, step: StepId, now: Time) -> bool {
        let others_sent = match self.last_start_step == Some(step) {
            true => self.other_start_sent,
            false => self.last_start_sent,
        };
        let is_other = |(run, hosted): (&Run, &Hosted)| {
            run.task.step_id() != step && (hosted.crashes > 0 || hosted.is_starting())
        };
        now >= others_sent + START_CRASH_WINDOW && !self.runs.iter().any(is_other)
    }

    /// Returns `true` if the worker is isolated for a step, or was last.
    pub(crate) fn is_isolated_for(&self, step: StepId) -> bool {
        self.isolated_for.is_some_and(|isolation| isolation.step == step)
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
        let workers = self.probation_workers(since, open, request.shared_probation());
        let scored = workers.into_iter().filter_map(|id| {
            let score = self.score(&self.workers[id], request)?;
            Some((score, id))
        });
        scored.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, id)| id)
    }

    /// Returns the workers on which a crash can be attributed to a task that has waited for its
    /// probation since `since`. Beside tasks of the step `shared` it is attributed to their job.
    pub(crate) fn probation_workers(
        &self,
        since: Time,
        open: &[WorkerId],
        shared: Option<StepId>,
    ) -> Vec<WorkerId> {
        let now = self.now;
        let since = self.stable_wait_since(since, open);
        let is_suitable = |worker: &Worker| {
            let is_alone = worker.suspects == 0
                && now >= worker.last_start_sent + START_CRASH_WINDOW
                && !worker.runs.values().any(Hosted::is_starting);
            (is_alone || shared.is_some_and(|step| worker.has_only_begun(step, now)))
                && self.is_stable(worker, since, now)
        };
        open.iter().copied().filter(|&id| is_suitable(&self.workers[id])).collect()
    }

    /// Returns since when a task counts as waiting for a stable machine: time zero, so that its
    /// wait has ended, if none is open.
    fn stable_wait_since(&self, since: Time, open: &[WorkerId]) -> Time {
        let any_stable = open.iter().any(|&id| !self.has_crashed_recently(&self.workers[id]));
        if any_stable { since } else { Time::ZERO }
    }

    /// Returns `true` if a machine is stable enough for a task that has waited for its probation
    /// since `since`.
    fn is_stable(&self, worker: &Worker, since: Time, now: Time) -> bool {
        now >= since + STABLE_MACHINE_WAIT || !self.has_crashed_recently(worker)
    }

    fn has_crashed_recently(&self, worker: &Worker) -> bool {
        let last = worker.address.and_then(|address| self.crashed_at.get(&address));
        last.is_some_and(|crash| self.now < crash.at + MACHINE_CRASH_WINDOW)
    }

    /// Returns since when the longest-waiting task on probation of a step has waited, if one waits.
    pub(crate) fn probation_since(&self, step: StepId) -> Option<Time> {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let tasks = state.into_iter().flat_map(|state| &state.tasks);
        let waiting = tasks.filter(|task| task.place == Place::Waiting && task.is_on_probation());
        waiting.map(|task| task.waiting_since).min()
    }

    /// Isolates workers for a step on probation that has found none and has waited since `since`:
    /// as many as a gang needs, or one. Stable machines are preferred, then those on which nothing
    /// has begun for the longest time.
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
        let isolation = Isolation { step, until: now + ISOLATION_TIMEOUT };
        let chosen = self.isolation_candidates(step, spec, since, open);
        let isolated =
            open.iter().filter(|&&id| self.workers[id].is_isolated_for_other(step, now)).count();
        let max_isolated = ((open.len() as f64 * MAX_ISOLATED_FRACTION) as usize).max(1);
        if chosen.len() > max_isolated {
            self.isolation_priority = Some(isolation);
        } else if chosen.len() + isolated > max_isolated {
            return;
        }
        for id in chosen {
            let worker = &mut self.workers[id];
            if !worker.is_isolated_for_other(step, now) {
                worker.isolated_for = Some(isolation);
            }
        }
    }

    /// Returns the workers that can be isolated first for a step on probation; none if they don't
    /// have room for what it needs.
    fn isolation_candidates(
        &self,
        step: StepId,
        spec: &Step,
        since: Time,
        open: &[WorkerId],
    ) -> Vec<WorkerId> {
        let request = Request::new(&self.interference, step.task(0), spec);
        // The chosen workers are suitable from this time on. A machine that isn't stable enough for
        // this step by then is left to others.
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
            let isolated = worker.is_isolated_for_other(step, self.now);
            (
                !worker.is_isolated_for(step),
                isolated,
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
            let per_worker =
                if spec.max_per_worker == 0 { room } else { spec.max_per_worker.into() };
            wanted = wanted.saturating_sub(room.min(per_worker));
            chosen.push(id);
        }
        if wanted == 0 { chosen } else { Vec::new() }
    }
}
