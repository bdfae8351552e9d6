//! Hedge delay: a running estimate of the 95th percentile of a service's latency.

use std::time::Duration;

/// Number of buckets per doubling of latency; a power of two.
const PARTS: u32 = 4;
/// Number of buckets; the range exceeds one hour.
const BUCKETS: usize = 160;
/// Number of samples at which all counts are halved, so that old samples decay.
const FADE: u32 = 4096;
/// Minimum number of samples before there is an estimate.
const SAMPLES_MIN: u32 = 50;
/// Number of samples between two updates of the estimate.
const STRIDE: u32 = 32;
/// Quantile that is estimated, in thousandths.
const QUANTILE_PERMILLE: u32 = 950;

/// A decaying histogram of latencies with exponentially growing buckets.
#[derive(Debug)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
    seen: u32,
    estimate: Option<Duration>,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { counts: [0; BUCKETS], total: 0, seen: 0, estimate: None }
    }
}

impl Histogram {
    /// Records the latency of one answer.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        self.seen = self.seen.wrapping_add(1);
        if self.total >= FADE {
            self.fade();
        }
        if self.total >= SAMPLES_MIN && self.seen.is_multiple_of(STRIDE) {
            self.estimate = Some(self.quantile());
        }
    }

    /// Returns the latency after which an attempt is hedged, once there are enough samples.
    pub fn delay(&self) -> Option<Duration> {
        self.estimate
    }

    fn fade(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    fn quantile(&self) -> Duration {
        let wanted = u64::from(self.total) * u64::from(QUANTILE_PERMILLE) / 1000;
        let mut below = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            below += u64::from(count);
            if below >= wanted {
                return upper(index);
            }
        }
        upper(BUCKETS - 1)
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = (latency.as_micros() as u64).max(u64::from(PARTS));
    let log = micros.ilog2();
    let part = (micros >> (log - PARTS.ilog2())) as u32 - PARTS;
    let index = (log - PARTS.ilog2()) * PARTS + part;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the exclusive upper bound of a bucket.
fn upper(index: usize) -> Duration {
    let index = index as u32 + 1;
    let micros = u64::from(PARTS + index % PARTS) << (index / PARTS);
    Duration::from_micros(micros)
}
