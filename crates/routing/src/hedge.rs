//! Hedge delay: a running estimate of the 95th percentile of a service's latency.

use std::time::Duration;

/// Number of buckets per doubling of latency; a power of two.
const BUCKETS_PER_DOUBLING: u32 = 4;
/// Number of buckets; the range exceeds one hour.
const BUCKETS: usize = 160;
/// Number of samples at which all counts are halved, so that old samples decay.
const DECAY_SAMPLES: u32 = 4096;
/// Minimum number of samples before there is an estimate.
const SAMPLES_MIN: u32 = 50;
/// Number of samples between two updates of the estimate.
const ESTIMATE_INTERVAL: u32 = 32;
/// Quantile that is estimated, in thousandths.
const QUANTILE_PERMILLE: u32 = 950;

/// A decaying histogram of latencies with exponentially growing buckets.
#[derive(Debug)]
pub struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
    observed: u32,
    estimate: Option<Duration>,
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { counts: [0; BUCKETS], total: 0, observed: 0, estimate: None }
    }
}

impl Histogram {
    /// Records the latency of one answer.
    pub fn observe(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        self.observed = self.observed.wrapping_add(1);
        if self.total >= DECAY_SAMPLES {
            self.decay();
        }
        if self.total >= SAMPLES_MIN && self.observed.is_multiple_of(ESTIMATE_INTERVAL) {
            self.estimate = Some(self.quantile());
        }
    }

    /// Returns the latency after which an attempt is hedged, once there are enough samples.
    pub fn delay(&self) -> Option<Duration> {
        self.estimate
    }

    fn decay(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    fn quantile(&self) -> Duration {
        let target = u64::from(self.total) * u64::from(QUANTILE_PERMILLE) / 1000;
        let mut cumulative = 0;
        for (index, &count) in self.counts.iter().enumerate() {
            cumulative += u64::from(count);
            if cumulative >= target {
                return upper_bound(index);
            }
        }
        upper_bound(BUCKETS - 1)
    }
}

fn bucket(latency: Duration) -> usize {
    let micros = (latency.as_micros() as u64).max(u64::from(BUCKETS_PER_DOUBLING));
    let log = micros.ilog2();
    let offset = (micros >> (log - BUCKETS_PER_DOUBLING.ilog2())) as u32 - BUCKETS_PER_DOUBLING;
    let index = (log - BUCKETS_PER_DOUBLING.ilog2()) * BUCKETS_PER_DOUBLING + offset;
    (index as usize).min(BUCKETS - 1)
}

/// Returns the exclusive upper bound of a bucket.
fn upper_bound(index: usize) -> Duration {
    let index = index as u32 + 1;
    let micros = u64::from(BUCKETS_PER_DOUBLING + index % BUCKETS_PER_DOUBLING)
        << (index / BUCKETS_PER_DOUBLING);
    Duration::from_micros(micros)
}
