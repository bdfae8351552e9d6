//! How many attempts one backend server gets at once: lowered when its latency rises over its own
//! least, raised again while it is used in full.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Weight of one latency in the average.
const WEIGHT: f64 = 0.03;
/// Growth of the least average with each sample, so that a lasting change is accepted.
const DRIFT: f64 = 1.001;
/// The average may rise to this multiple of its least.
const TOLERANCE: f64 = 2.5;
/// Rise that is never held against a backend server, in seconds.
const SLACK: f64 = 0.001;
/// What the limit is multiplied by when latency has risen.
const DECREASE: f64 = 0.8;
/// The limit at the least.
const FLOOR: f64 = 1.0;

/// The adaptive limit of one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    value: f64,
    average: f64,
    least: f64,
    /// No second decrease before the first can have shown its effect.
    hold_until: Time,
}

impl Limit {
    /// Opens a limit at its cap.
    pub fn open(cap: u32) -> Limit {
        Limit { value: f64::from(cap), average: 0.0, least: 0.0, hold_until: Time::ZERO }
    }

    /// Returns the attempts allowed at once, within the cap.
    pub fn attempts(&self, cap: u32) -> u32 {
        (self.value as u32).max(FLOOR as u32).min(cap)
    }

    /// Takes in the latency of an answer; `full` tells whether the limit was used in full.
    pub fn observe(&mut self, now: Time, latency: Duration, full: bool, cap: u32) {
        let sample = latency.as_secs_f64();
        if self.average == 0.0 {
            self.average = sample;
            self.least = sample;
        }
        self.average += WEIGHT * (sample - self.average);
        self.least = (self.least * DRIFT).min(self.average);
        if self.average > TOLERANCE * self.least + SLACK {
            self.decrease(now);
        } else if full {
            self.value = (self.value + 1.0 / self.value).min(f64::from(cap)).max(FLOOR);
        }
    }

    /// The backend server said that it has no room, or was out of time.
    pub fn decrease(&mut self, now: Time) {
        if now < self.hold_until {
            return;
        }
        if self.value <= FLOOR {
            // Fewer attempts can't be the cure, so neither were they the cause: this is how fast
            // the backend server is now.
            self.least = self.average;
        }
        self.value = (self.value * DECREASE).max(FLOOR);
        self.hold_until = now + Duration::from_secs_f64(self.average);
    }
}
