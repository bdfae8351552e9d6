//! Forecast of a step's own load, and so of its tasks' headroom without interference.
//!
//! The tasks of a step serve the same users, so their load oscillates together around its usual
//! level, with a period of some seconds up to a minute. A sample of one task is noisy, but the
//! samples of all tasks together show the phase of the oscillation, and so the load in a second or
//! two. The unit is the headroom of [`crate::colocation::interference`].

use std::f64::consts::TAU;
use std::time::Duration;

use cowslipchute_base::id::Time;
use serde::Deserialize;
use serde::Serialize;

/// Periods in seconds, from the shortest that samples twice a second can show to oscillations as
/// slow as the changes of the cell's work. More periods improve the forecast by 3 % at most. Until
/// there are samples the first one is used, so those in the middle come first.
const PERIODS: [f64; FILTER_COUNT] = [12.0, 16.0, 9.5, 21.0, 7.0, 28.0, 5.0, 40.0];
const FILTER_COUNT: usize = 8;
/// Variance of a step's usual level around that of its image.
const USUAL_VARIANCE: f64 = 0.3;
/// Variance of the offset. Observed loads vary by half.
const OFFSET_VARIANCE: f64 = 0.5;
/// Variance that the usual level gains per second.
const USUAL_DRIFT: f64 = 0.001;
/// Variance that the offset gains per second, as the oscillation isn't purely periodic. With a
/// quarter of it or four times as much, forecasts of recorded samples are worse by up to 4 %; with
/// a quarter of `BURST_VARIANCE` or four times as much, by up to 2 %.
const OFFSET_DRIFT: f64 = 0.02;
/// Decay rate of an offset without samples, per second.
const OFFSET_DECAY: f64 = 0.03;
/// Variance of single tasks around their step's load, which bursts cause.
const BURST_VARIANCE: f64 = 0.1;
/// Weight of the newest sample in the fit of a filter to a step: some tens of samples, a few
/// seconds of a step with several tasks.
const FIT_WEIGHT: f64 = 0.03;
/// Weight of the newest sample in the fit to the whole cell, which measures a few hundred tasks a
/// second.
const CELL_FIT_WEIGHT: f64 = 0.002;
/// Fraction of the cell in the fit of a filter.
const CELL_FRACTION: f64 = 0.5;
/// Errors are clamped to this many standard deviations. What is beyond is a burst of a single task.
const MAX_DEVIATIONS: f64 = 2.5;
/// Weight of the newest sample in a task's own deviation: bursts start and end abruptly and last
/// for two to four samples.
const DEVIATION_WEIGHT: f64 = 0.7;
/// Fraction of a task's deviation that is a burst, which may go on, and not noise of the sample.
const BURST_FRACTION: f64 = 0.7;
/// Decay rate of bursts, per second.
const BURST_DECAY: f64 = 1.2;

/// A Kalman filter for an oscillation of one period. It follows a harmonic oscillator: the usual
/// level, the offset of the load from it, and the rate of change of the offset.
#[derive(Clone, Copy, Debug)]
struct Filter {
    /// Radians per second.
    frequency: f64,
    usual: f64,
    /// Difference between the load and its usual level.
    offset: f64,
    /// Rate of change of the offset, per second.
    speed: f64,
    /// Covariances: of usual, usual and offset, usual and speed, offset, offset and speed, speed.
    variance: [f64; 6],
    /// Decaying average of minus twice the logarithmic likelihood of the samples, up to a constant.
    misfit: f64,
}

impl Filter {
    fn open(period: f64, usual: f64) -> Filter {
        let frequency = TAU / period;
        let speed = OFFSET_VARIANCE * frequency * frequency;
        let variance = [USUAL_VARIANCE, 0.0, 0.0, OFFSET_VARIANCE, 0.0, speed];
        Filter { frequency, usual, offset: 0.0, speed: 0.0, variance, misfit: 0.0 }
    }

    /// Advances the filter by a time in seconds: offset and speed turn into each other as in a
    /// harmonic oscillator, and their uncertainty grows.
    fn advance(&mut self, elapsed: f64) {
        let (sin, cos) = (self.frequency * elapsed).sin_cos();
        let decay = (-OFFSET_DECAY * elapsed).exp();
        let keep = decay * cos;
        let from_speed = decay * sin / self.frequency;
        let from_offset = -decay * sin * self.frequency;
        let (offset, speed) = (self.offset, self.speed);
        self.offset = keep * offset + from_speed * speed;
        self.speed = from_offset * offset + keep * speed;
        let [uu, uo, us, oo, os, ss] = self.variance;
        let drift = OFFSET_DRIFT * elapsed;
        self.variance = [
            uu + USUAL_DRIFT * elapsed,
            keep * uo + from_speed * us,
            from_offset * uo + keep * us,
            keep * keep * oo + 2.0 * keep * from_speed * os + from_speed * from_speed * ss + drift,
            keep * from_offset * oo
                + (keep * keep + from_speed * from_offset) * os
                + from_speed * keep * ss,
            from_offset * from_offset * oo
                + 2.0 * from_offset * keep * os
                + keep * keep * ss
                + drift * self.frequency * self.frequency,
        ];
    }

    fn level(&self) -> f64 {
        (self.usual + self.offset).max(0.0)
    }

    fn level_variance(&self) -> f64 {
        let [uu, uo, _, oo, ..] = self.variance;
        uu + 2.0 * uo + oo
    }

    /// Corrects the filter for a sample. Returns how unlikely the sample was, in the unit of
    /// `misfit`.
    fn correct(&mut self, own: f64, noise: f64) -> f64 {
        let [uu, uo, us, oo, os, ss] = self.variance;
        let total = self.level_variance() + noise;
        let error = clamp_error(own - self.usual - self.offset, total);
        let (usual, offset, speed) = (uu + uo, uo + oo, us + os);
        self.usual += usual / total * error;
        self.offset += offset / total * error;
        self.speed += speed / total * error;
        self.variance = [
            uu - usual * usual / total,
            uo - usual * offset / total,
            us - usual * speed / total,
            oo - offset * offset / total,
            os - offset * speed / total,
            ss - speed * speed / total,
        ];
        let surprise = error * error / total + total.ln();
        self.misfit += FIT_WEIGHT * (surprise - self.misfit);
        surprise
    }
}

/// Fit of each period to the loads of the whole cell.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Periodicity {
    misfits: [f64; FILTER_COUNT],
}

/// Load of a step of latency-critical tasks.
///
/// The period of the oscillation differs between deployments and isn't known, so several filters
/// run in parallel, one for each period, and the one that has predicted the latest samples best is
/// used. Half of that measure comes from the step, half from the whole cell ([`Periodicity`]),
/// which is known sooner. Compared with a level and its slope alone, this halves the variance of
/// the forecast for half a second ahead, and removes two thirds of it for two seconds
/// (docs/POLICY.md).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    at: Time,
    filters: [Filter; FILTER_COUNT],
    /// Index of the filter that fits best.
    best: usize,
}

/// Forecast of a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    pub(crate) level: f64,
    pub(crate) variance: f64,
}

impl Load {
    /// Returns a load that begins at the usual level of the step's image.
    pub(crate) fn open(now: Time, usual: f64) -> Load {
        Load { at: now, filters: PERIODS.map(|period| Filter::open(period, usual)), best: 0 }
    }

    /// Advances to a later time.
    pub(crate) fn advance(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        for filter in &mut self.filters {
            filter.advance(elapsed);
        }
    }

    /// Corrects the load for a sample of a task's headroom without best-effort tasks; `noise` is
    /// the variance of the sample.
    pub(crate) fn correct(&mut self, own: f64, noise: f64, periodicity: &mut Periodicity) {
        for (filter, cell_misfit) in self.filters.iter_mut().zip(&mut periodicity.misfits) {
            let surprise = filter.correct(own, noise + BURST_VARIANCE);
            *cell_misfit += CELL_FIT_WEIGHT * (surprise - *cell_misfit);
        }
        let misfit = |index: usize| {
            self.filters[index].misfit * (1.0 - CELL_FRACTION)
                + periodicity.misfits[index] * CELL_FRACTION
        };
        let best = (0..FILTER_COUNT).min_by(|&a, &b| misfit(a).total_cmp(&misfit(b)));
        self.best = best.expect("there are several filters");
    }

    /// Returns the current level.
    pub(crate) fn level(&self) -> f64 {
        self.filters[self.best].level()
    }

    /// Returns the variance of the current level.
    pub(crate) fn variance(&self) -> f64 {
        self.filters[self.best].level_variance()
    }

    /// Returns a forecast of the level at a time `ahead` from now.
    pub(crate) fn forecast(&self, ahead: Duration) -> Forecast {
        let mut filter = self.filters[self.best];
        filter.advance(ahead.as_secs_f64());
        Forecast { level: filter.level(), variance: filter.level_variance() }
    }
}

/// Difference between a task's headroom and its step's level. Single tasks have bursts of a second
/// or two of their own, which the filters exclude by clamping errors.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Deviation(f64);

impl Deviation {
    /// Updates the deviation from a sample.
    pub(crate) fn update(&mut self, difference: f64) {
        self.0 += DEVIATION_WEIGHT * (difference - self.0);
    }

    /// Returns a forecast of the deviation at a time `ahead` from now.
    pub(crate) fn forecast(self, ahead: Duration) -> f64 {
        self.0 * BURST_FRACTION * (-BURST_DECAY * ahead.as_secs_f64()).exp()
    }
}

/// Clamps an error to a few standard deviations.
pub(crate) fn clamp_error(error: f64, variance: f64) -> f64 {
    let limit = MAX_DEVIATIONS * variance.sqrt();
    error.clamp(-limit, limit)
}
