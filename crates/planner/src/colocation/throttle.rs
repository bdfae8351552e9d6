//! Throttling of best-effort tasks: which are throttled, by how much, and which are moved.
//!
//! The load of latency-critical tasks varies, and the best-effort tasks beside them interfere by
//! very different amounts. Where a task is expected to violate its target, the best-effort tasks
//! that interfere most for the CPU they use are throttled first, which costs the least work. Those
//! that stay throttled for long move elsewhere. A violation that persists all the same is handled
//! in two stages that rely on the model less and less.

use std::time::Duration;

use cowslipchute_ports::executor::Run;
use smallvec::SmallVec;

use crate::colocation::budget;
use crate::colocation::budget::BestEffort;
use crate::colocation::budget::SPEED_STEP;
use crate::colocation::budget::speed_fraction;
use crate::colocation::colocate::MIN_HEADROOM_LOSS;
use crate::colocation::colocate::cpu_fraction;
use crate::colocation::colocate::image;
use crate::colocation::forecast_error::Curve;
use crate::colocation::measurement::Headroom;
use crate::colocation::measurement::curve;
use crate::colocation::risk::best_effort_value;
use crate::colocation::risk::cost;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::workers::host::FULL_SPEED;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// A tail latency that violates its target for this fraction of `max_interference_time` stops all
/// best-effort tasks beside it that may be the cause.
const SUSPECT_STOP_FRACTION: f64 = 0.35;
/// A tail latency that violates its target for this fraction of `max_interference_time` stops all
/// best-effort tasks beside it, whatever the model predicts: it may be wrong for a worker that
/// differs from the others.
const STOP_ALL_FRACTION: f64 = 0.5;
/// A task that stays throttled below this speed, in percent, is moved.
const MIN_USEFUL_SPEED: u8 = 60;
/// Minimum time for which a task is throttled before it is moved, where checkpoints are frequent:
/// about the time that a move takes.
const MIN_MOVE_DELAY: Duration = Duration::from_millis(400);
/// Minimum time before a move as a fraction of the checkpoint interval: a move loses the work since
/// the last checkpoint, which is half an interval on average.
const MOVE_DELAY_FRACTION: f64 = 0.4;

/// Numbers of speed limits that were decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SpeedChanges {
    pub(crate) lowered: u64,
    pub(crate) raised: u64,
}

impl Planner {
    /// Computes the speed limits on a worker and schedules commands for those that have changed.
    pub(crate) fn set_speed_limits(&mut self, worker: WorkerId) {
        for (run, limit) in self.compute_speed_limits(worker) {
            self.set_speed_limit(worker, run, limit);
        }
    }

    fn compute_speed_limits(&self, worker: WorkerId) -> Vec<(Run, u8)> {
        let state = &self.workers[worker];
        let latency_critical: SmallVec<[&Hosted; 8]> =
            state.runs.values().filter(|hosted| hosted.is_latency_critical()).collect();
        let mut runs = self.best_effort_runs(state, &latency_critical);
        let headrooms: Vec<Headroom> = latency_critical
            .iter()
            .map(|hosted| Headroom::of(hosted, &self.interference))
            .collect();
        let value = best_effort_value(self.best_effort_backlog);
        if self.settings.features.colocation_forecast {
            let curves: SmallVec<[Curve; 8]> =
                latency_critical.iter().map(|hosted| curve(hosted, &self.interference)).collect();
            budget::choose_speed_limits(&mut runs, &curves, value);
        } else {
            choose_speed_limits(&mut runs, &headrooms, value);
        }
        self.stop_beside_violations(&mut runs, &latency_critical);
        runs.iter().map(|run| (run.run, run.speed_limit)).collect()
    }

    fn best_effort_runs(&self, worker: &Worker, latency_critical: &[&Hosted]) -> Vec<BestEffort> {
        let running = worker.runs.iter().filter(|(_, hosted)| {
            hosted.best_effort && matches!(hosted.stage, Stage::Running { .. })
        });
        running
            .map(|(run, hosted)| {
                let own = image(hosted);
                let weight = |other: &&Hosted| self.interference.weight(&image(other), &own).0;
                BestEffort {
                    run: *run,
                    cpu_fraction: cpu_fraction(hosted.demand.cpu_milli, worker),
                    speed_limit: hosted.speed_limit,
                    weights: latency_critical.iter().map(weight).collect(),
                }
            })
            .collect()
    }

    /// Stops best-effort tasks beside tasks that have violated their targets for long.
    fn stop_beside_violations(&self, runs: &mut [BestEffort], latency_critical: &[&Hosted]) {
        let suspect_time = self.settings.max_interference_time.mul_f64(SUSPECT_STOP_FRACTION);
        let last = self.settings.max_interference_time.mul_f64(STOP_ALL_FRACTION);
        for (index, hosted) in latency_critical.iter().enumerate() {
            let violates_for =
                |limit| hosted.over_target_since.is_some_and(|since| self.now >= since + limit);
            for run in runs.iter_mut() {
                if violates_for(last)
                    || (violates_for(suspect_time)
                        && run.headroom_loss(index, FULL_SPEED) >= MIN_HEADROOM_LOSS)
                {
                    run.speed_limit = 0;
                }
            }
        }
    }

    fn set_speed_limit(&mut self, worker: WorkerId, run: Run, limit: u8) {
        let now = self.now;
        let current = self.workers[worker].runs.get(&run).map(|hosted| hosted.speed_limit);
        if current.is_none_or(|current| self.skips_speed_change(current, limit)) {
            return;
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        self.speed_changes.lowered += u64::from(limit < hosted.speed_limit);
        self.speed_changes.raised += u64::from(limit > hosted.speed_limit);
        hosted.speed_limit = limit;
        if limit >= MIN_USEFUL_SPEED {
            hosted.throttled_since = None;
        } else {
            hosted.throttled_since.get_or_insert(now);
        }
        if hosted.needs_throttle() {
            self.schedule_command(worker, run, Duration::ZERO);
        }
    }

    /// Moves tasks that have been throttled for long if another worker may take them.
    pub(crate) fn move_throttled(&mut self, worker: WorkerId) {
        let now = self.now;
        let lost_work_delay = self.settings.checkpoint_interval.mul_f64(MOVE_DELAY_FRACTION);
        let move_delay = lost_work_delay.max(MIN_MOVE_DELAY);
        let is_throttled = |hosted: &Hosted| {
            hosted.checkpointing
                && matches!(hosted.stage, Stage::Running { .. })
                && hosted.throttled_since.is_some_and(|since| now >= since + move_delay)
        };
        for run in self.workers[worker].runs_where(is_throttled) {
            if self.fits_elsewhere(worker, run) {
                self.stop_run(worker, run, Reason::Interference);
            }
        }
    }

    fn fits_elsewhere(&self, worker: WorkerId, run: Run) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return true };
        let spec = job.spec(run.task.step);
        let service = &self.workers[worker].service;
        let request = Request::new(&self.interference, run.task, spec);
        self.workers.iter().any(|(id, other)| {
            id != worker
                && other.service == *service
                && self.is_open(other)
                && self.may_take(other, &request)
        })
    }
}

/// Chooses the speed limits at which the work of the best-effort runs is worth the most beyond what
/// it costs the latency-critical tasks.
///
/// Runs are adjusted one after the other: once starting from full speed, where those that interfere
/// most come first, and once starting from a standstill, where those that interfere least come
/// first. Throttling one of many runs that interfere together helps no task, and the second way
/// finds solutions that the first can't.
fn choose_speed_limits(runs: &mut [BestEffort], headrooms: &[Headroom], value: f64) {
    if is_full_speed_best(runs, headrooms, value) {
        runs.iter_mut().for_each(|run| run.speed_limit = FULL_SPEED);
        return;
    }
    let mut order: Vec<usize> = (0..runs.len()).collect();
    order.sort_by(|&a, &b| runs[b].max_weight().total_cmp(&runs[a].max_weight()));
    let from_full_speed = improve_speed_limits(runs, &order, FULL_SPEED, headrooms, value);
    let limits: SmallVec<[u8; 16]> = runs.iter().map(|run| run.speed_limit).collect();
    order.reverse();
    let from_standstill = improve_speed_limits(runs, &order, 0, headrooms, value);
    if from_full_speed >= from_standstill {
        for (run, limit) in runs.iter_mut().zip(limits) {
            run.speed_limit = limit;
        }
    }
}

/// Returns `true` if the smallest cost of throttling is more than all that it could save, so that
/// full speed is best without a search. On most workers no task is ever near its target.
fn is_full_speed_best(runs: &[BestEffort], headrooms: &[Headroom], value: f64) -> bool {
    let costs = headrooms.iter().enumerate().map(|(index, headroom)| {
        let losses = runs.iter().map(|run| run.headroom_loss(index, FULL_SPEED));
        cost(headroom.next - 1.0 - losses.sum::<f64>(), headroom.deviation)
    });
    let min_fraction = runs.iter().map(|run| run.cpu_fraction).fold(f64::INFINITY, f64::min);
    costs.sum::<f64>() <= value * min_fraction * speed_fraction(SPEED_STEP)
}

/// Starts with all runs at the speed limit `first`, and sets one after the other to the limit with
/// the highest net value. Returns the total net value.
fn improve_speed_limits(
    runs: &mut [BestEffort],
    order: &[usize],
    first: u8,
    headrooms: &[Headroom],
    value: f64,
) -> f64 {
    for run in runs.iter_mut() {
        run.speed_limit = first;
    }
    let mut margins: SmallVec<[f64; 8]> = headrooms
        .iter()
        .enumerate()
        .map(|(index, headroom)| {
            let losses = runs.iter().map(|run| run.headroom_loss(index, run.speed_limit));
            headroom.next - 1.0 - losses.sum::<f64>()
        })
        .collect();
    let mut work = 0.0;
    for &index in order {
        let run = &mut runs[index];
        let net_value = |limit: u8| {
            let relief = |index: usize| {
                run.headroom_loss(index, run.speed_limit) - run.headroom_loss(index, limit)
            };
            let costs =
                margins.iter().zip(headrooms).enumerate().map(|(index, (margin, headroom))| {
                    cost(margin + relief(index), headroom.deviation)
                });
            value * run.cpu_fraction * speed_fraction(limit) - costs.sum::<f64>()
        };
        let limits = (0..=FULL_SPEED / SPEED_STEP).map(|steps| steps * SPEED_STEP);
        let best = limits.map(|limit| (net_value(limit), limit)).max_by(|a, b| a.0.total_cmp(&b.0));
        let limit = best.map_or(FULL_SPEED, |(_, limit)| limit);
        for (index, margin) in margins.iter_mut().enumerate() {
            *margin += run.headroom_loss(index, run.speed_limit) - run.headroom_loss(index, limit);
        }
        run.speed_limit = limit;
        work += value * run.cpu_fraction * speed_fraction(limit);
    }
    let costs =
        margins.iter().zip(headrooms).map(|(&margin, headroom)| cost(margin, headroom.deviation));
    work - costs.sum::<f64>()
}
