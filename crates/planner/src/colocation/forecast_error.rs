//! Forecasts of a task's headroom over the next seconds, and how wrong such forecasts were.
//!
//! This answers loads that swing, whose forecasts are better on some deployments than the variance
//! of the filters in [`crate::colocation::load`] says, and worse on others. For each horizon one
//! factor is learnt for the whole cell: a quantile of the shortfall of measured headrooms below
//! their forecasts, in standard deviations of the forecast. It widens or narrows all later
//! forecasts.

use std::time::Duration;

use cowslipchute_base::id::Time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

pub(crate) const HORIZON_COUNT: usize = 4;
/// Horizons of a forecast. The first one is the time until a speed limit chosen at the next
/// measurement can apply; forecasts for more than three seconds are hardly better than the usual
/// load.
pub(crate) const HORIZONS: [Duration; HORIZON_COUNT] = [
    Duration::from_millis(600),
    Duration::from_millis(1200),
    Duration::from_millis(2000),
    Duration::from_millis(3000),
];
/// Ends of the times that each horizon stands for, halfway to the next one.
const HORIZON_ENDS: [f64; HORIZON_COUNT] = [0.9, 1.6, 2.5, f64::INFINITY];
/// Times beyond the last horizon count up to here, in seconds from now: later, a task can be
/// throttled or moved by newer forecasts.
const MAX_FORESIGHT: f64 = 4.0;

/// Fraction of measurements that may fall short of their forecasts by more than the deviation: as
/// for a normal distribution.
const SHORTFALL_FRACTION: f64 = 0.16;
/// Step by which a sample moves a quantile. A cell measures a few hundred tasks a second, so the
/// quantile follows within seconds; with ten tasks it takes half a minute.
const QUANTILE_STEP: f64 = 0.01;
/// Range of the factors, so that a fault of a measurement can't stop all best-effort work or allow
/// any amount of it.
const FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.4..=2.0;
/// A measurement is compared with a forecast for a time that differs by less than this. Reports
/// arrive every half second.
const MAX_TIME_DIFFERENCE: Duration = Duration::from_millis(300);

/// Forecast of a headroom at one horizon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    pub(crate) level: f64,
    /// Standard deviation of `level`.
    pub(crate) deviation: f64,
}

/// Forecast of a headroom at each of [`HORIZONS`].
pub(crate) type Curve = [Point; HORIZON_COUNT];

/// Factors by which deviations of forecasts are multiplied, by horizon.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Factors([f64; HORIZON_COUNT]);

impl Default for Factors {
    fn default() -> Factors {
        Factors([1.0; HORIZON_COUNT])
    }
}

impl Factors {
    /// Returns the factor of each horizon, in thousandths.
    pub(crate) fn per_mille(&self) -> [i64; HORIZON_COUNT] {
        self.0.map(|factor| (factor * 1e3) as i64)
    }

    /// Applies the factors to a forecast.
    pub(crate) fn widen(&self, curve: Curve) -> Curve {
        std::array::from_fn(|index| Point {
            level: curve[index].level,
            deviation: curve[index].deviation * self.0[index],
        })
    }

    /// Updates a factor from a shortfall below a forecast, in deviations before widening.
    fn learn(&mut self, index: usize, shortfall: f64) {
        let factor = &mut self.0[index];
        let exceeds = f64::from(u8::from(shortfall > *factor));
        *factor += QUANTILE_STEP * (exceeds - SHORTFALL_FRACTION);
        *factor = factor.clamp(*FACTOR_RANGE.start(), *FACTOR_RANGE.end());
    }
}

/// A forecast that a later measurement is compared with.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Time,
    point: Point,
}

/// Forecasts of one task that wait for their measurements, at most one for each horizon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Record([Option<Pending>; HORIZON_COUNT]);

impl Record {
    /// Compares the forecasts that are due with a measured headroom. Those whose measurement is
    /// late or missing are dropped.
    pub(crate) fn compare(&mut self, now: Time, measured: f64, factors: &mut Factors) {
        for (index, slot) in self.0.iter_mut().enumerate() {
            let Some(Pending { due, point }) = *slot else { continue };
            if now + MAX_TIME_DIFFERENCE < due {
                continue;
            }
            *slot = None;
            if now <= due + MAX_TIME_DIFFERENCE && point.deviation > 0.0 {
                factors.learn(index, (point.level - measured) / point.deviation);
            }
        }
    }

    /// Adds a forecast, before widening, where none waits.
    pub(crate) fn add(&mut self, now: Time, curve: &Curve) {
        for (index, slot) in self.0.iter_mut().enumerate() {
            slot.get_or_insert(Pending { due: now + HORIZONS[index], point: curve[index] });
        }
    }
}

/// Returns the fraction of a time that each horizon stands for, for a time that begins `start`
/// after the forecast was made and lasts for `time`, both in seconds.
pub(crate) fn horizon_weights(start: f64, time: f64) -> SmallVec<[f64; HORIZON_COUNT]> {
    let start = start.max(0.0);
    let end = (start + time).min(MAX_FORESIGHT.max(start + HORIZONS[0].as_secs_f64()));
    let total = (end - start).max(f64::MIN_POSITIVE);
    let mut begin = 0.0;
    HORIZON_ENDS
        .iter()
        .map(|&horizon_end| {
            let overlap = (end.min(horizon_end) - start.max(begin)).max(0.0);
            begin = horizon_end;
            overlap / total
        })
        .collect()
}
