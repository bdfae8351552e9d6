//! How near to their target a step's own load brings the tasks that serve, whatever fills beside
//! them.
//!
//! Pattern answered: the tasks of a step serve the same users, so their load rises and falls
//! together, over some tens of seconds, while single tasks have bursts of a second or two of their
//! own. A reading of one task is rough; those of all tasks of the step, taken together, tell the
//! load well enough to see where it will be when the next readings come. The unit is the headroom
//! of [`crate::interfere`].
//!
//! Filters of Kalman's kind follow level and slope. How fast loads turn differs between deployments
//! and isn't known, so several filters run beside each other, each for another pace of turning, and
//! the one that has foretold the latest readings best is believed. Bursts are kept out by cutting
//! errors off at a few deviations, and are followed for each task in [`Deviation`].

use cowslipchute_base::id::Time;

/// Variance of a step's level before it has been read: loads that swing by half were seen.
const FIRST_VARIANCE: f64 = 1.5;
/// Variance of its slope, per second squared: a swing by half within ten or twenty seconds.
const SLOPE_VARIANCE: f64 = 0.3;
/// How fast the slope wanders, per second cubed, in each of the filters: a swing by half within
/// forty, twenty, ten and five seconds, which doubles the slope and halves the time in which it
/// turns.
const SLOPE_DRIFTS: [f64; FILTERS] = [0.02, 0.08, 0.3, 1.2];
const FILTERS: usize = 4;
/// How fast a slope that isn't read again fades, per second: loads turn within seconds.
const SLOPE_FADE: f64 = 0.5;
/// Weight of the newest reading in how well a filter fits: some tens of readings, a few seconds of a
/// step with several tasks.
const FIT_PART: f64 = 0.03;
/// Errors count up to this many standard deviations; what is beyond is a task's own burst.
const CUT_OFF: f64 = 2.5;
/// Weight of the newest reading in a task's own deviation: bursts begin and end at once and last
/// for two readings or four.
const DEVIATION_PART: f64 = 0.7;

/// Follows level and slope, for one pace of turning.
#[derive(Clone, Copy, Debug)]
struct Filter {
    drift: f64,
    /// The level that it begins with.
    usual: f64,
    level: f64,
    slope: f64,
    /// Variances of the level, of both together, and of the slope.
    variance: [f64; 3],
    /// How badly it foretold the latest readings: minus twice their logarithmic likelihood.
    misfit: f64,
}

impl Filter {
    fn open(drift: f64, usual: f64) -> Filter {
        let variance = [FIRST_VARIANCE, 0.0, SLOPE_VARIANCE];
        Filter { drift, usual, level: usual, slope: 0.0, variance, misfit: 0.0 }
    }

    fn advance(&mut self, passed: f64) {
        self.level = (self.level + self.slope * passed).max(0.0);
        self.slope *= (-SLOPE_FADE * passed).exp();
        let [level, both, slope] = self.variance;
        let drift = self.drift * passed;
        self.variance = [
            level + passed * (2.0 * both + passed * (slope + drift / 3.0)),
            both + passed * (slope + drift / 2.0),
            slope + drift,
        ];
        if self.variance[0] > FIRST_VARIANCE {
            // Nothing was read for long: it is as unknown as at first.
            *self = Filter { misfit: self.misfit, ..Filter::open(self.drift, self.usual) };
        }
    }

    fn correct(&mut self, own: f64, noise: f64) {
        let [level, both, slope] = self.variance;
        let total = level + noise;
        let error = cut_off(own - self.level, total);
        self.misfit += FIT_PART * (error * error / total + total.ln() - self.misfit);
        let (gain, slope_gain) = (level / total, both / total);
        self.level = (self.level + gain * error).max(0.0);
        self.slope += slope_gain * error;
        self.variance = [level * (1.0 - gain), both * (1.0 - gain), slope - slope_gain * both];
    }
}

/// The load of a step that serves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    at: Time,
    filters: [Filter; FILTERS],
}

impl Load {
    /// Begins with the level that is usual for what the step runs.
    pub(crate) fn open(now: Time, usual: f64) -> Load {
        Load { at: now, filters: SLOPE_DRIFTS.map(|drift| Filter::open(drift, usual)) }
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
    pub(crate) fn correct(&mut self, own: f64, noise: f64) {
        for filter in &mut self.filters {
            filter.correct(own, noise);
        }
    }

    fn best(&self) -> &Filter {
        let best = self.filters.iter().min_by(|a, b| a.misfit.total_cmp(&b.misfit));
        best.expect("there are several filters")
    }

    /// Returns the level now.
    pub(crate) fn level(&self) -> f64 {
        self.best().level
    }

    /// Returns the level's variance.
    pub(crate) fn variance(&self) -> f64 {
        self.best().variance[0]
    }

    /// Returns by how much the level rises each second.
    pub(crate) fn slope(&self) -> f64 {
        self.best().slope
    }
}

/// By how much a task's headroom differs from its step's level just now.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Deviation(f64);

impl Deviation {
    /// Takes in a reading.
    pub(crate) fn read(&mut self, difference: f64) {
        self.0 += DEVIATION_PART * (difference - self.0);
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}

/// Cuts an error off at a few of its standard deviations.
pub(crate) fn cut_off(error: f64, variance: f64) -> f64 {
    let most = CUT_OFF * variance.sqrt();
    error.clamp(-most, most)
}
