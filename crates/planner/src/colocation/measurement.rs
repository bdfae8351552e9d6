//! Measurements in a worker's report: tail latencies of latency-critical tasks, and CPU use of
//! best-effort tasks.
//!
//! A measurement covers about the last half second. The best-effort CPU use beside a task in that
//! time is taken as the mean of this report and the previous one. A report that arrives within
//! [`MIN_SAMPLE_INTERVAL`] of the last sample isn't counted as another one.

use std::time::Duration;

use cowslipchute_base::id::Time;

use crate::colocation::colocate::cpu_fraction;
use crate::colocation::colocate::image;
use crate::colocation::forecast_error::Curve;
use crate::colocation::forecast_error::Factors;
use crate::colocation::forecast_error::HORIZON_COUNT;
use crate::colocation::forecast_error::HORIZONS;
use crate::colocation::forecast_error::Point;
use crate::colocation::interference;
use crate::colocation::interference::Model;
use crate::colocation::interference::SAMPLE_VARIANCE;
use crate::colocation::interference::Sample;
use crate::colocation::interference::Shares;
use crate::colocation::load::Load;
use crate::planner::Planner;
use crate::workers::host::FULL_SPEED;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Reports closer together than this show the same measurements.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(300);
/// Horizon of the forecast for speed limits: the next measurements arrive half a second later, and
/// a speed limit takes some time to be applied.
const NEXT_SAMPLE: Duration = Duration::from_millis(600);
/// Horizon of the forecast for placements. A task that interferes too much after that is throttled
/// or moved, and a forecast for two seconds ahead is too uncertain to be of use.
const PLACEMENT_HORIZON: Duration = Duration::from_millis(1000);
/// Standard deviation for a task that hasn't been measured yet, from the variation of loads.
const INITIAL_DEVIATION: f64 = 0.8;
/// With less headroom than this a task may actually violate its target, since measurements are
/// noisy.
const SAFE_HEADROOM: f64 = 1.05;

/// Forecast of a latency-critical task's headroom without the best-effort tasks beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Headroom {
    /// Headroom at the next measurement.
    pub(crate) next: f64,
    /// Headroom one second from now.
    pub(crate) ahead: f64,
    /// Standard deviation of `next`.
    pub(crate) deviation: f64,
}

impl Headroom {
    /// Returns the forecast for a task, or the usual headroom of its image if the task hasn't been
    /// measured yet.
    pub(crate) fn of(hosted: &Hosted, model: &Model) -> Headroom {
        hosted.headroom.unwrap_or_else(|| {
            let usual = model.usual_headroom(&image(hosted));
            Headroom { next: usual, ahead: usual, deviation: INITIAL_DEVIATION }
        })
    }

    /// Returns the mean over the next second.
    pub(crate) fn mean(self) -> f64 {
        (self.next + self.ahead) / 2.0
    }

    /// Returns the minimum over the next second.
    pub(crate) fn min(self) -> f64 {
        self.next.min(self.ahead)
    }
}

/// Returns the fraction of a worker's CPU that a best-effort run uses now.
fn cpu_use(hosted: &Hosted, worker: &Worker) -> f64 {
    let speed = hosted.confirmed_speed_limit.unwrap_or(FULL_SPEED);
    if hosted.measurement > 0 && speed == hosted.speed_limit {
        return cpu_fraction(hosted.measurement, worker);
    }
    cpu_fraction(hosted.demand.cpu_milli, worker) * f64::from(speed) / f64::from(FULL_SPEED)
}

fn measured_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.best_effort) {
        interference::add_share(&mut shares, &image(hosted), cpu_use(hosted, worker));
    }
    shares
}

impl Planner {
    /// Updates the interference model and the load forecasts from the measurements in a worker's
    /// report.
    pub(crate) fn record_measurements(&mut self, worker: WorkerId) {
        let now = self.now;
        let foresees = self.settings.features.colocation_forecast;
        let state = &mut self.workers[worker];
        let is_new_sample = now >= state.measured_at + MIN_SAMPLE_INTERVAL;
        let shares = if is_new_sample { Some(update_shares(state)) } else { None };
        if is_new_sample {
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
            let job = self.jobs.get_mut(&run.task.job);
            let step = job.and_then(|job| job.step_mut(run.task.step_id()));
            let (Some(shares), Some(step)) = (&shares, step) else { continue };
            let image = image(hosted);
            let usual = self.interference.usual_headroom(&image);
            let load = step.load.get_or_insert_with(|| Load::open(now, usual));
            load.advance(now);
            let sample = Sample { headroom, shares: shares.clone() };
            let loss = self.interference.headroom_loss(&image, shares);
            let noise = SAMPLE_VARIANCE + self.interference.headroom_loss_variance(&image, shares);
            self.interference.learn(&image, &sample, load);
            if !sample.is_saturated() {
                let own = headroom + loss;
                hosted.deviation.update(own - load.level());
                load.correct(own, noise, &mut self.periodicity);
                self.interference.learn_usual_headroom(&image, own);
            }
            if foresees {
                let measured = headroom + loss;
                foresee(hosted, load, measured, now, &mut self.forecast_factors);
            }
            let (next_forecast, ahead_forecast) =
                (load.forecast(NEXT_SAMPLE), load.forecast(PLACEMENT_HORIZON));
            hosted.headroom = Some(Headroom {
                next: next_forecast.level + hosted.deviation.forecast(NEXT_SAMPLE),
                ahead: ahead_forecast.level + hosted.deviation.forecast(PLACEMENT_HORIZON),
                deviation: (SAMPLE_VARIANCE + next_forecast.variance).sqrt(),
            });
        }
    }
}

/// Returns the forecast for a task over the next seconds, or the usual headroom of its image if the
/// task hasn't been measured yet.
pub(crate) fn curve(hosted: &Hosted, model: &Model) -> Curve {
    match &hosted.curve {
        Some(curve) => **curve,
        None => {
            let level = model.usual_headroom(&image(hosted));
            [Point { level, deviation: INITIAL_DEVIATION }; HORIZON_COUNT]
        }
    }
}

/// Compares a task's earlier forecasts with its measured headroom without best-effort tasks, and
/// forecasts the next seconds.
fn foresee(hosted: &mut Hosted, load: &Load, measured: f64, now: Time, factors: &mut Factors) {
    let forecasts = hosted.forecasts.get_or_insert_default();
    forecasts.compare(now, measured, factors);
    let curve = HORIZONS.map(|horizon| {
        let forecast = load.forecast(horizon);
        Point {
            level: forecast.level + hosted.deviation.forecast(horizon),
            deviation: (SAMPLE_VARIANCE + forecast.variance).sqrt(),
        }
    });
    forecasts.add(now, &curve);
    hosted.curve = Some(Box::new(factors.widen(curve)));
}

/// Returns the CPU fractions of the best-effort images beside a worker's tasks since the previous
/// report, and stores the current ones.
fn update_shares(worker: &mut Worker) -> Shares {
    let now = measured_shares(worker);
    let before = std::mem::replace(&mut worker.shares, now.clone());
    let mut mean = Shares::new();
    for (image, fraction) in before.iter().chain(&now) {
        interference::add_share(&mut mean, image, fraction / 2.0);
    }
    mean
}
