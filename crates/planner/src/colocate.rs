//! Tasks that fill beside tasks that serve.
//!
//! Pattern answered: tasks that fill use what tasks that serve leave, and slow them by amounts that
//! differ by image, change within seconds and are seen late. Each worker therefore has a limit on
//! the processors that tasks which fill may use beside those that serve: it is cut at once when a
//! tail comes near its target, and raised a little with each account that shows the tails well
//! below. Paces carry the limit out; placing respects it.

use cowslipchute_ports::executor::Run;

use crate::host::FULL_PACE;
use crate::host::Stage;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// Tail as a part of its target from which the limit is cut.
const HIGH: f64 = 0.8;
/// Tail as a part of its target below which the limit is raised.
const LOW: f64 = 0.55;
/// What is left of the limit after a cut.
const CUT: f64 = 0.6;
/// What is left of it when a tail is over its target: harm has to end within seconds.
const DEEP_CUT: f64 = 0.25;
/// What a raise adds, as a part of the worker's processors.
const RAISE: f64 = 0.04;
/// Paces are whole multiples of this, so that small changes need no order.
const PACE_STEP: u8 = 10;
/// A limit below this part of the worker's processors counts as none at all.
const LEAST_LIMIT: f64 = 0.02;

impl Planner {
    /// Looks at a worker's tails and sets the limit and the paces that follow.
    pub(crate) fn guard_targets(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        if !state.serves() {
            self.workers[worker].fill_limit = None;
            self.set_paces(worker, FULL_PACE);
            return;
        }
        let mut worst: f64 = 0.0;
        let mut full = 0.0;
        let mut used = 0.0;
        for hosted in state.runs.values() {
            if let (Some(target), Stage::Running { .. }) = (hosted.target, hosted.stage) {
                worst = worst.max(f64::from(hosted.figure) / (target.as_secs_f64() * 1e3));
            }
            if hosted.fills {
                let cpu = f64::from(hosted.demand.cpu_milli);
                full += cpu;
                used += cpu * f64::from(hosted.paced) / f64::from(FULL_PACE);
            }
        }
        let capacity = f64::from(state.capacity.cpu_milli);
        let limit = state.fill_limit.map_or(capacity, f64::from);
        let next = if full > 0.0 && worst > 1.0 {
            limit.min(used) * DEEP_CUT
        } else if full > 0.0 && worst > HIGH {
            limit.min(used) * CUT
        } else if worst < LOW {
            (limit + capacity * RAISE).min(capacity)
        } else {
            limit
        };
        let next = if next < capacity * LEAST_LIMIT { 0.0 } else { next };
        self.workers[worker].fill_limit = Some(next as u32);
        if next > limit {
            self.room_changed = true;
        }
        let share = if full > next { next / full } else { 1.0 };
        let steps = (share * f64::from(FULL_PACE) / f64::from(PACE_STEP)).floor() as u8;
        self.set_paces(worker, steps * PACE_STEP);
    }

    fn set_paces(&mut self, worker: WorkerId, pace: u8) {
        let mut changed: Vec<Run> = Vec::new();
        for (run, hosted) in &mut self.workers[worker].runs {
            if !hosted.fills || !matches!(hosted.stage, Stage::Running { .. }) {
                continue;
            }
            hosted.pace = pace;
            if hosted.pace != hosted.paced && !hosted.pacing {
                changed.push(*run);
            }
        }
        for run in changed {
            self.schedule(worker, run, std::time::Duration::ZERO);
        }
    }
}
