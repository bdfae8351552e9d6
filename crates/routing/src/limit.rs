//! Adaptive concurrency limit of a backend server, lowered when its latency rises above its minimum
//! and raised while the limit is fully used.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Weight of one latency in the average.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Growth of the minimum with each sample, so that a lasting change of latency is accepted.
const MINIMUM_DRIFT: f64 = 1.001;
/// Multiple of its minimum up to which the average may rise.
const TOLERANCE: f64 = 2.5;
/// Rise of the average that never lowers the limit, in seconds.
const SLACK_SECONDS: f64 = 0.001;
/// Factor by which the limit is lowered.
const DECREASE_FACTOR: f64 = 0.8;
/// Minimum of the limit.
const LIMIT_MIN: f64 = 1.0;

/// The adaptive concurrency limit of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    value: f64,
    average: f64,
    minimum: f64,
    /// Time before which the limit isn't lowered again, so that a decrease can take effect.
    hold_until: Time,
}

impl Limit {
    /// Creates a limit that starts at `cap`.
    pub fn open(cap: u32) -> Limit {
        Limit { value: f64::from(cap), average: 0.0, minimum: 0.0, hold_until: Time::ZERO }
    }

    /// Returns the number of concurrent attempts allowed, at most `cap`.
    pub fn attempts(&self, cap: u32) -> u32 {
        (self.value as u32).max(LIMIT_MIN as u32).min(cap)
    }

    /// Records the latency of an answer; `full` is `true` if the limit was fully used.
    pub fn observe(&mut self, now: Time, latency: Duration, full: bool, cap: u32) {
        let sample = latency.as_secs_f64();
        if self.average == 0.0 {
            self.average = sample;
            self.minimum = sample;
        }
        self.average += SAMPLE_WEIGHT * (sample - self.average);
        self.minimum = (self.minimum * MINIMUM_DRIFT).min(self.average);
        if self.average > TOLERANCE * self.minimum + SLACK_SECONDS {
            self.decrease(now);
        } else if full {
            self.value = (self.value + 1.0 / self.value).min(f64::from(cap)).max(LIMIT_MIN);
        }
    }

    /// Lowers the limit, because the backend server refused a request or its latency rose.
    pub fn decrease(&mut self, now: Time) {
        if now < self.hold_until {
            return;
        }
        if self.value <= LIMIT_MIN {
            // A single attempt at a time is slow too, so concurrency isn't the cause: this is the
            // backend server's latency now.
            self.minimum = self.average;
        }
        self.value = (self.value * DECREASE_FACTOR).max(LIMIT_MIN);
        self.hold_until = now + Duration::from_secs_f64(self.average);
    }
}
