//! The configuration of a backend server and the service times of its requests.

use std::time::Duration;

/// A service time: a fixed part plus one drawn from an exponential distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    /// The part that every request takes.
    pub fixed: Duration,
    /// The mean of the drawn part.
    pub drawn: Duration,
}

/// Upper bound of the drawn part, in multiples of its mean, so that a single draw doesn't dominate
/// a test.
const MAX_DRAW_MEANS: f64 = 20.0;

impl ServiceTime {
    /// Returns the service time of a request, which is determined by seed and request number.
    pub fn draw(&self, seed: u64, number: u64) -> Duration {
        if self.drawn.is_zero() {
            return self.fixed;
        }
        // In (0, 1], never zero: an `f64` holds 53 bits exactly.
        let uniform = ((mix(seed ^ mix(number)) >> 11) + 1) as f64 / (1u64 << 53) as f64;
        self.fixed + self.drawn.mul_f64((-uniform.ln()).min(MAX_DRAW_MEANS))
    }
}

/// Hashes a number with the finalizer of SplitMix64. Unlike a random generator it needs no lock.
pub fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The configuration of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Requests that it runs concurrently.
    pub slots: u16,
    /// Requests that may wait for a slot; more are refused as not run.
    pub queue: u16,
    /// Open connections that it accepts; more are closed at once.
    pub connections: u16,
    /// The service time of a request.
    pub service_time: ServiceTime,
    /// The seed of the drawn times.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Plan {
        let service_time =
            ServiceTime { fixed: Duration::from_millis(1), drawn: Duration::from_millis(1) };
        Plan { slots: 8, queue: 8, connections: 60, service_time, seed: 1 }
    }
}
