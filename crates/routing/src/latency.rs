//! Averages of recent latency, for one backend server and for a whole pool.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Weight of a sample above the average; high, so that a slowdown is noticed fast.
const WEIGHT_UP: f64 = 0.5;
/// Weight of a sample below the average.
const WEIGHT_DOWN: f64 = 0.2;
/// Weight of a sample in the average of a whole pool.
const WEIGHT_POOL: f64 = 0.02;
/// Half-life of an idle backend server's difference from the pool's average.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Multiple of the pool's average below which a latency counts as noise.
const NOISE_FACTOR: f64 = 1.5;

/// Typical latency of a pool: a moving average in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Typical {
    seconds: f64,
}

impl Typical {
    /// Records the latency of one answer.
    pub fn observe(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        if self.seconds == 0.0 {
            self.seconds = sample;
        }
        self.seconds += WEIGHT_POOL * (sample - self.seconds);
    }

    /// Returns the average, which is zero before the first answer.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }
}

/// Average latency of one backend server, which rises fast and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    seconds: f64,
    observed: Time,
    samples: u32,
}

impl Latency {
    /// Records the latency of an answer, or that counted for a failed or cancelled attempt.
    pub fn observe(&mut self, now: Time, latency: Duration, typical: Typical) {
        let sample = latency.as_secs_f64();
        let average = if self.samples == 0 { sample } else { self.decayed(now, typical) };
        let weight = if sample > average { WEIGHT_UP } else { WEIGHT_DOWN };
        self.seconds = average + weight * (sample - average);
        self.samples = self.samples.saturating_add(1);
        self.observed = now;
    }

    /// Returns the expected latency of a request sent now, in seconds.
    ///
    /// A latency near or below the pool's average counts as that average; otherwise requests would
    /// crowd onto the backend server with the lowest recent samples.
    pub fn expected(&self, now: Time, typical: Typical) -> f64 {
        if self.samples == 0 {
            return typical.seconds;
        }
        let seconds = self.decayed(now, typical);
        if seconds < NOISE_FACTOR * typical.seconds { typical.seconds } else { seconds }
    }

    /// Returns the average after its decay towards the pool's average, by which an idle backend
    /// server that was slow is tried again.
    fn decayed(&self, now: Time, typical: Typical) -> f64 {
        let idle = now.saturating_sub(self.observed).as_secs_f64();
        let weight = (-idle / HALF_LIFE.as_secs_f64()).exp2();
        typical.seconds + weight * (self.seconds - typical.seconds)
    }

    /// Drops all samples.
    pub fn reset(&mut self) {
        *self = Latency::default();
    }
}
