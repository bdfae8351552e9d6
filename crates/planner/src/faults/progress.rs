//! Stalled and slow runs.
//!
//! On some workers all runs hang while the worker answers as usual, and some become several times
//! slower. Both delay tasks that would have finished elsewhere by now, and a slow worker attracts
//! new ones, since it is never full. Measurements decide, not estimates: a run's speed is compared
//! with that of the cell, whose estimates are off in the same way.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::queue::durations::TAIL_RANK;
use crate::workers::command::Timer;
use crate::workers::host::FULL_SPEED;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::WorkerId;

/// Time without a percent of progress after which a run is stalled, unless its work is so long that
/// it can't have made that much.
const STALL_TIME: Duration = Duration::from_millis(1500);
/// The same as a fraction of the run's estimate.
const STALL_FRACTION: f64 = 0.15;
/// Time after its start by which a service task is available, or never will be: starts take a
/// second at most.
const SERVICE_START_TIMEOUT: Duration = Duration::from_millis(3500);
/// Running time after which a run's speed is meaningful.
const SPEED_WARMUP: Duration = Duration::from_millis(700);
/// Fraction of the cell's speed below which a run is slow: estimates alone differ by half that
/// much.
const SLOW_FRACTION: f64 = 0.33;
/// The same for a worker with a single run to judge by.
const SLOW_FRACTION_SINGLE: f64 = 0.2;
/// Time for which nothing is placed on a slow worker; it is checked again by the runs that are
/// still there. Where none is, its capacity stays free, and a service task that waits beside it
/// counts as lost after three seconds.
const SLOW_WORKER_PAUSE: Duration = Duration::from_secs(2);
/// A run on a slow worker is moved if the rest of it would take this many times as long as the
/// whole run takes elsewhere.
const MIN_MOVE_GAIN: f64 = 1.3;
/// Ratio of a run to the learnt tail of its queue up to which it counts as part of the tail: the
/// progress of a run is reported in whole percent.
const TAIL_MARGIN: f64 = 1.25;
/// Number of runs up to which the tail of their queue explains that all of them are slow. Runs of a
/// tail of three percent hold a fifth of the capacity in use, so two side by side are common.
const MAX_TAIL_RUNS: usize = 2;
/// Lowest speed that is distinguished from a standstill.
const MIN_SPEED: f64 = 0.01;
/// Weight of one run in the cell's speed.
const SPEED_WEIGHT: f64 = 0.02;

impl Hosted {
    fn is_running_short_task(&self) -> bool {
        !self.long_running && !self.best_effort && matches!(self.stage, Stage::Running { .. })
    }

    fn is_stalled(&self, now: Time) -> bool {
        let Stage::Running { .. } = self.stage else { return false };
        if self.missing_since.is_some() {
            // It may have ended.
            return false;
        }
        if self.long_running {
            return self.progress < 100 && now >= self.progressed_at + SERVICE_START_TIMEOUT;
        }
        let stall_time = STALL_TIME.max(self.estimate.mul_f64(STALL_FRACTION));
        self.speed_limit == FULL_SPEED
            && self.confirmed_speed_limit == Some(FULL_SPEED)
            && now >= self.progressed_at + stall_time
    }

    /// Returns the work done per second, as a fraction of the estimated work.
    fn speed(&self, now: Time) -> Option<f64> {
        let Stage::Running { since } = self.stage else { return None };
        let passed = now.saturating_sub(since);
        if self.missing_since.is_some() || passed < SPEED_WARMUP || self.estimate.is_zero() {
            return None;
        }
        let done = f64::from(self.progress.saturating_sub(self.first_progress)) / 100.0;
        Some(done * self.estimate.as_secs_f64() / passed.as_secs_f64())
    }
}

impl Planner {
    /// Checks the progress of a worker's runs.
    pub(crate) fn check_progress(&mut self, worker: WorkerId) {
        let now = self.now;
        for run in self.workers[worker].runs_where(|hosted| hosted.is_stalled(now)) {
            self.avoid_worker(worker, run);
            self.record_worker_failure(worker);
            self.stop_run(worker, run, Reason::Stalled);
        }
        if self.is_slow(worker) {
            self.avoid_slow_worker(worker);
        }
    }

    /// Updates the cell's speed from a short run that finished.
    pub(crate) fn learn_speed(&mut self, hosted: &Hosted) {
        let now = self.now;
        let Stage::Running { since } = hosted.stage else { return };
        let passed = now.saturating_sub(since).as_secs_f64();
        if !hosted.is_running_short_task() || passed <= 0.0 || hosted.estimate.is_zero() {
            return;
        }
        let speed = (hosted.estimate.as_secs_f64() / passed).clamp(0.05, 20.0);
        self.log_speed += SPEED_WEIGHT * (speed.ln() - self.log_speed);
    }

    fn is_slow(&self, worker: WorkerId) -> bool {
        let cell_speed = self.log_speed.exp();
        let runs = self.workers[worker].runs.values();
        let runs = runs.filter(|hosted| hosted.is_running_short_task() && !hosted.was_moved);
        let measured = runs.filter_map(|hosted| Some((hosted, hosted.speed(self.now)?)));
        let measured: SmallVec<[(&Hosted, f64); 16]> = measured.collect();
        let is_explained = |&(hosted, speed): &(&Hosted, f64)| self.is_within_tail(hosted, speed);
        if measured.len() <= MAX_TAIL_RUNS && measured.iter().any(is_explained) {
            return false;
        }
        let speeds = measured.iter().map(|&(hosted, speed)| self.comparable(hosted, speed));
        let speeds: SmallVec<[f64; 16]> = speeds.collect();
        let fraction = match speeds.len() {
            0 => return false,
            1 => SLOW_FRACTION_SINGLE,
            _ => SLOW_FRACTION,
        };
        speeds.iter().all(|speed| *speed < cell_speed * fraction)
    }

    /// Returns a run's speed as it compares with the cell's. The usual ratio of actual to estimated
    /// duration of its queue, where it is learnt, is not the worker's fault.
    fn comparable(&self, hosted: &Hosted, speed: f64) -> f64 {
        let usual = self.learnt(hosted).map(|learnt| learnt.quantile(0.5));
        usual.map_or(speed, |usual| speed * usual * self.log_speed.exp())
    }

    /// Returns `true` if a run will take no longer than the longest runs of its queue do. Such a run
    /// says little about its worker: it would take as long elsewhere.
    fn is_within_tail(&self, hosted: &Hosted, speed: f64) -> bool {
        let Some(learnt) = self.learnt(hosted) else { return false };
        1.0 / speed.max(MIN_SPEED) <= learnt.quantile(TAIL_RANK) * TAIL_MARGIN
    }

    fn avoid_slow_worker(&mut self, worker: WorkerId) {
        let now = self.now;
        self.close_slow_worker(worker);
        let cell_speed = self.log_speed.exp();
        let is_worth_moving = |hosted: &Hosted| {
            let Some(speed) = hosted.speed(now) else { return false };
            let speed = self.comparable(hosted, speed);
            let remaining = 1.0 - f64::from(hosted.progress) / 100.0;
            hosted.is_running_short_task()
                && !hosted.was_moved
                && remaining / speed.max(MIN_SPEED) > MIN_MOVE_GAIN / cell_speed
        };
        for run in self.workers[worker].runs_where(is_worth_moving) {
            self.avoid_worker(worker, run);
            self.stop_run(worker, run, Reason::Stalled);
        }
    }

    fn close_slow_worker(&mut self, worker: WorkerId) {
        let now = self.now;
        let until = now + SLOW_WORKER_PAUSE;
        let state = &mut self.workers[worker];
        let was_open = state.slow_until <= now;
        state.slow_until = until;
        let name = state.name.clone();
        self.timers.insert((until, Timer::Place));
        if was_open {
            let detail = format!("for {} ms: its runs are slow", SLOW_WORKER_PAUSE.as_millis());
            self.note(LogEvent::WorkerQuarantined, None, None, Some(name), detail);
        }
    }

    /// Keeps a task from being placed again on a worker where it made no progress, if there is room
    /// elsewhere.
    pub(crate) fn avoid_worker(&mut self, worker: WorkerId, run: Run) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        if job.end.is_none() && job.task(run.task).is_some() {
            job.task_mut(run.task).avoided_worker = Some(worker);
        }
    }
}
