//! What a worker's figures tell: tails of tasks that serve, processors in use by those that fill.
//!
//! A figure is of the last half second or so. What filled beside a task meanwhile is taken as the
//! mean of this account and the one before, and an account that comes sooner than that is not taken
//! for another reading.

use std::time::Duration;

use crate::colocate::cpu_fraction;
use crate::colocate::image;
use crate::host::FULL_SPEED;
use crate::host::Hosted;
use crate::host::Stage;
use crate::interference;
use crate::interference::Model;
use crate::interference::SAMPLE_VARIANCE;
use crate::interference::Sample;
use crate::interference::Shares;
use crate::load::Load;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Accounts closer than this show the same figures.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(300);
/// How far ahead paces are chosen: the next figures come half a second later, and a pace takes some
/// time to be in force.
const NEXT_SAMPLE: Duration = Duration::from_millis(600);
/// How far ahead a placed task is looked after: one that would press too hard afterwards is slowed
/// down or moved by then, and what is foretold for two seconds ahead is too rough to gain by.
const PLACEMENT_HORIZON: Duration = Duration::from_millis(1000);
/// Standard deviation of a task that was not read yet, from the swing of loads.
const INITIAL_DEVIATION: f64 = 0.8;
/// A tail this near to its target may be over it in truth: figures are rough.
const SAFE_HEADROOM: f64 = 1.05;

/// Headroom that a serving task is expected to have without what fills beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    /// When the next figures come.
    pub(crate) next: f64,
    /// A second from now.
    pub(crate) ahead: f64,
    /// Standard deviation of the first.
    pub(crate) deviation: f64,
}

impl Headroom {
    /// Returns what is expected of a task; for one that was not read yet, what its image shows
    /// usually.
    pub(crate) fn of(hosted: &Hosted, model: &Model) -> Headroom {
        hosted.headroom.unwrap_or_else(|| {
            let usual = model.usual_headroom(&image(hosted));
            Headroom { next: usual, ahead: usual, deviation: INITIAL_DEVIATION }
        })
    }

    /// Returns the mean of the next second.
    pub(crate) fn mean(self) -> f64 {
        (self.next + self.ahead) / 2.0
    }

    /// Returns the least of the next second.
    pub(crate) fn min(self) -> f64 {
        self.next.min(self.ahead)
    }
}

/// Returns the part of a worker's processors that a filling run uses now.
fn cpu_use(hosted: &Hosted, worker: &Worker) -> f64 {
    let pace = hosted.confirmed_speed_limit.unwrap_or(FULL_SPEED);
    if hosted.measurement > 0 && pace == hosted.speed_limit {
        return cpu_fraction(hosted.measurement, worker);
    }
    cpu_fraction(hosted.demand.cpu_milli, worker) * f64::from(pace) / f64::from(FULL_SPEED)
}

fn measured_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.best_effort) {
        interference::add_share(&mut shares, &image(hosted), cpu_use(hosted, worker));
    }
    shares
}

impl Planner {
    /// Learns from the figures of a worker's account what presses on what, and how the load goes.
    pub(crate) fn record_measurements(&mut self, worker: WorkerId) {
        let now = self.now;
        let state = &mut self.workers[worker];
        let fresh = now >= state.measured_at + MIN_SAMPLE_INTERVAL;
        let beside = if fresh { Some(update_shares(state)) } else { None };
        if fresh {
            state.measured_at = now;
        }
        for (run, hosted) in &mut state.runs {
            let (Some(target), Stage::Running { .. }) = (hosted.latency_target, hosted.stage)
            else {
                continue;
            };
            if hosted.measurement == 0 || hosted.progress < 100 {
                continue;
            }
            let headroom = target.as_secs_f64() * 1e3 / f64::from(hosted.measurement);
            if headroom >= SAFE_HEADROOM {
                hosted.over_target_since = None;
            } else {
                hosted.over_target_since.get_or_insert(now);
            }
            let step = self.jobs.get_mut(&run.task.job);
            let step = step.and_then(|job| job.step_mut(run.task.step_id()));
            let (Some(beside), Some(step)) = (&beside, step) else { continue };
            let image = image(hosted);
            let usual = self.interference.usual_headroom(&image);
            let load = step.load.get_or_insert_with(|| Load::open(now, usual));
            load.advance(now);
            let reading = Sample { headroom, shares: beside.clone() };
            let pressure = self.interference.headroom_loss(&image, beside);
            let noise = SAMPLE_VARIANCE + self.interference.headroom_loss_variance(&image, beside);
            self.interference.learn(&image, &reading, load);
            if !reading.is_saturated() {
                let own = headroom + pressure;
                hosted.deviation.update(own - load.level());
                load.correct(own, noise, &mut self.rhythm);
                self.interference.learn_usual_headroom(&image, own);
            }
            let (soon, later) = (load.forecast(NEXT_SAMPLE), load.forecast(PLACEMENT_HORIZON));
            hosted.headroom = Some(Headroom {
                next: soon.level + hosted.deviation.forecast(NEXT_SAMPLE),
                ahead: later.level + hosted.deviation.forecast(PLACEMENT_HORIZON),
                deviation: (SAMPLE_VARIANCE + soon.variance).sqrt(),
            });
        }
    }
}

/// Returns what filled beside a worker's tasks since the figures before, and keeps what does now.
fn update_shares(worker: &mut Worker) -> Shares {
    let now = measured_shares(worker);
    let before = std::mem::replace(&mut worker.shares, now.clone());
    let mut mean = Shares::new();
    for (image, part) in before.iter().chain(&now) {
        interference::add_share(&mut mean, image, part / 2.0);
    }
    mean
}
