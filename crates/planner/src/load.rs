//! How near to their target a step's own load brings the tasks that serve, whatever fills beside
//! them.
//!
//! Pattern answered: the tasks of a step serve the same users, so their load swings together around
//! what is usual for them, with a period of some seconds up to a minute, while single tasks have
//! bursts of a second or two of their own. A reading of one task is rough; those of all tasks of the
//! step, taken together, tell where the swing is and so where it will be in a second or two. The
//! unit is the headroom of [`crate::interference`].
//!
//! Filters of Kalman's kind follow a pendulum: the usual level, how far the load is from it, and how
//! fast that changes. The period differs between deployments and isn't known, so several filters run
//! beside each other, each for another period, and the one that has foretold the latest readings best
//! is believed; by half as it did for this step, by half for the whole cell ([`Periodicity`]), which is
//! known sooner. Against a level and its slope alone, this halves the variance of what is foretold
//! for half a second ahead, and takes two thirds off for two seconds (docs/POLICY.md).
//!
//! Bursts are kept out by cutting errors off at a few deviations, and are followed for each task in
//! [`Deviation`].

use std::f64::consts::TAU;
use std::time::Duration;

use cowslipchute_base::id::Time;
use serde::Deserialize;
use serde::Serialize;

/// Periods that are told apart, in seconds: from what readings twice a second can show up to swings
/// as slow as the cell's work changes anyway. A denser row foretells better by 3 % at most. Until
/// something is read the first is believed, so those in the middle come first.
const PERIODS: [f64; FILTER_COUNT] = [12.0, 16.0, 9.5, 21.0, 7.0, 28.0, 5.0, 40.0];
const FILTER_COUNT: usize = 8;
/// Variance of a step's usual level around that of its image.
const USUAL_VARIANCE: f64 = 0.3;
/// Variance of a load's swing: loads that swing by half were seen.
const OFFSET_VARIANCE: f64 = 0.5;
/// How fast the usual level wanders, per second.
const USUAL_DRIFT: f64 = 0.001;
/// How fast a swing wanders off the pendulum's, per second. A quarter or four times as much foretold
/// recorded readings worse, by up to 4 %; the variance of bursts below, by up to 2 %.
const OFFSET_DRIFT: f64 = 0.02;
/// How fast a swing that isn't read fades, per second.
const OFFSET_DECAY: f64 = 0.03;
/// Variance of single tasks around their step's load, which bursts make.
const BURST_VARIANCE: f64 = 0.1;
/// Weight of the newest reading in how well a filter fits a step: some tens of readings, a few
/// seconds of a step with several tasks.
const FIT_WEIGHT: f64 = 0.03;
/// The same for the whole cell, which reads a few hundred tasks a second.
const CELL_FIT_WEIGHT: f64 = 0.002;
/// Part of the cell in how well a filter fits.
const CELL_FRACTION: f64 = 0.5;
/// Errors count up to this many standard deviations; what is beyond is a task's own burst.
const MAX_DEVIATIONS: f64 = 2.5;
/// Weight of the newest reading in a task's own deviation: bursts begin and end at once and last
/// for two readings or four.
const DEVIATION_WEIGHT: f64 = 0.7;
/// Part of a task's deviation that is a burst, which may go on, and not a rough reading.
const BURST_FRACTION: f64 = 0.7;
/// How fast bursts end, per second.
const BURST_DECAY: f64 = 1.2;

/// Follows the swing of one period.
#[derive(Clone, Copy, Debug)]
struct Filter {
    /// Radians a second.
    frequency: f64,
    usual: f64,
    /// How far the load is from the usual.
    offset: f64,
    /// How fast that changes, per second.
    speed: f64,
    /// Covariances: of usual, usual and offset, usual and speed, offset, offset and speed, speed.
    variance: [f64; 6],
    /// How badly it foretold the latest readings: minus twice their logarithmic likelihood.
    misfit: f64,
}

impl Filter {
    fn open(period: f64, usual: f64) -> Filter {
        let frequency = TAU / period;
        let speed = OFFSET_VARIANCE * frequency * frequency;
        let variance = [USUAL_VARIANCE, 0.0, 0.0, OFFSET_VARIANCE, 0.0, speed];
        Filter { frequency, usual, offset: 0.0, speed: 0.0, variance, misfit: 0.0 }
    }

    /// Lets so many seconds pass: offset and speed turn into each other as a pendulum's do, and are less
    /// surely known afterwards.
    fn advance(&mut self, passed: f64) {
        let (sin, cos) = (self.frequency * passed).sin_cos();
        let fade = (-OFFSET_DECAY * passed).exp();
        let keep = fade * cos;
        let from_speed = fade * sin / self.frequency;
        let from_offset = -fade * sin * self.frequency;
        let (offset, speed) = (self.offset, self.speed);
        self.offset = keep * offset + from_speed * speed;
        self.speed = from_offset * offset + keep * speed;
        let [uu, uo, us, oo, os, ss] = self.variance;
        let drift = OFFSET_DRIFT * passed;
        self.variance = [
            uu + USUAL_DRIFT * passed,
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

    /// Takes in a reading; returns how unlikely it was, in the unit of the misfit.
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

/// Which period fits the loads of the whole cell.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Periodicity {
    misfits: [f64; FILTER_COUNT],
}

/// The load of a step that serves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    at: Time,
    filters: [Filter; FILTER_COUNT],
    /// The filter that is believed.
    best: usize,
}

/// What is expected of a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    pub(crate) level: f64,
    pub(crate) variance: f64,
}

impl Load {
    /// Begins with the level that is usual for what the step runs.
    pub(crate) fn open(now: Time, usual: f64) -> Load {
        Load { at: now, filters: PERIODS.map(|period| Filter::open(period, usual)), best: 0 }
    }

    /// Moves on to a later time.
    pub(crate) fn advance(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        for filter in &mut self.filters {
            filter.advance(passed);
        }
    }

    /// Takes in the headroom that a task has without what fills beside it, read with this variance.
    pub(crate) fn correct(&mut self, own: f64, noise: f64, rhythm: &mut Periodicity) {
        for (filter, cell) in self.filters.iter_mut().zip(&mut rhythm.misfits) {
            let surprise = filter.correct(own, noise + BURST_VARIANCE);
            *cell += CELL_FIT_WEIGHT * (surprise - *cell);
        }
        let misfit = |index: usize| {
            self.filters[index].misfit * (1.0 - CELL_FRACTION)
                + rhythm.misfits[index] * CELL_FRACTION
        };
        let best = (0..FILTER_COUNT).min_by(|&a, &b| misfit(a).total_cmp(&misfit(b)));
        self.best = best.expect("there are several filters");
    }

    /// Returns the level now.
    pub(crate) fn level(&self) -> f64 {
        self.filters[self.best].level()
    }

    /// Returns the level's variance.
    pub(crate) fn variance(&self) -> f64 {
        self.filters[self.best].level_variance()
    }

    /// Returns what is expected of the level so much later.
    pub(crate) fn forecast(&self, ahead: Duration) -> Forecast {
        let mut filter = self.filters[self.best];
        filter.advance(ahead.as_secs_f64());
        Forecast { level: filter.level(), variance: filter.level_variance() }
    }
}

/// By how much a task's headroom differs from its step's level just now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Deviation(f64);

impl Deviation {
    /// Takes in a reading.
    pub(crate) fn update(&mut self, difference: f64) {
        self.0 += DEVIATION_WEIGHT * (difference - self.0);
    }

    /// Returns what is expected of it so much later.
    pub(crate) fn forecast(self, ahead: Duration) -> f64 {
        self.0 * BURST_FRACTION * (-BURST_DECAY * ahead.as_secs_f64()).exp()
    }
}

/// Cuts an error off at a few of its standard deviations.
pub(crate) fn clamp_error(error: f64, variance: f64) -> f64 {
    let most = MAX_DEVIATIONS * variance.sqrt();
    error.clamp(-most, most)
}
