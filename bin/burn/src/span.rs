//! Spans: the increase of a process's counters between two consecutive samples.

use std::collections::BTreeMap;

use crate::failure::Failure;
use crate::metric;
use crate::metric::Bucket;
use crate::metric::Tally;
use crate::sample::Sample;

/// Time in seconds since the Unix epoch.
pub type Seconds = f64;

/// The increase of one process's counters over a time span.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    /// The time of the earlier sample.
    pub from: Seconds,
    /// The time of the later sample.
    pub to: Seconds,
    /// The increase of each counter.
    pub increase: Tally,
}

impl Span {
    /// Returns the fraction of the span that lies between two times, from 0 to 1. Counters are assumed
    /// to increase evenly within a span.
    pub fn fraction_within(&self, from: Seconds, to: Seconds) -> f64 {
        let overlap = self.to.min(to) - self.from.max(from);
        (overlap / (self.to - self.from)).clamp(0.0, 1.0)
    }
}

/// Returns the spans of all processes, computed from each process's samples in order of time.
///
/// # Errors
///
/// When a page can't be parsed.
pub fn spans(samples: &[Sample]) -> Result<Vec<Span>, Failure> {
    let mut by_instance: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        by_instance.entry(&sample.instance).or_default().push(sample);
    }
    let mut spans = Vec::new();
    for mut samples in by_instance.into_values() {
        samples.sort_by_key(|sample| sample.at);
        samples.dedup_by_key(|sample| sample.at);
        let mut earlier: Option<(Seconds, Tally)> = None;
        for sample in samples {
            let (at, tally) = (sample.at as f64 / 1000.0, metric::parse(&sample.page)?);
            if let Some((from, before)) = &earlier {
                let increase = tally_increase(before, &tally);
                spans.push(Span { from: *from, to: at, increase });
            }
            earlier = Some((at, tally));
        }
    }
    Ok(spans)
}

fn tally_increase(before: &Tally, after: &Tally) -> Tally {
    let latencies = after.latencies.iter().map(|(histogram, buckets)| {
        let earlier = before.latencies.get(histogram).map_or(&[][..], Vec::as_slice);
        (histogram.clone(), bucket_increases(earlier, buckets))
    });
    Tally {
        requests: counter_increases(&before.requests, &after.requests),
        latencies: latencies.collect(),
        extra_attempts: counter_increases(&before.extra_attempts, &after.extra_attempts),
        store_down: counter_increase(before.store_down, after.store_down),
    }
}

fn counter_increases<K: Clone + Ord>(
    before: &BTreeMap<K, f64>,
    after: &BTreeMap<K, f64>,
) -> BTreeMap<K, f64> {
    let earlier = |key| before.get(key).copied().unwrap_or_default();
    after.iter().map(|(key, count)| (key.clone(), counter_increase(earlier(key), *count))).collect()
}

fn bucket_increases(before: &[Bucket], after: &[Bucket]) -> Vec<Bucket> {
    // A single bucket of a restarted process may hold as much as before the restart. The last bucket
    // holds the total, so it detects a restart most reliably.
    let total = |buckets: &[Bucket]| buckets.last().map_or(0.0, |bucket| bucket.count);
    let restarted = total(after) < total(before) || before.len() != after.len();
    let earlier_count = |index: usize| if restarted { 0.0 } else { before[index].count };
    let increases = after.iter().enumerate().map(|(index, bucket)| Bucket {
        upper_bound: bucket.upper_bound,
        count: (bucket.count - earlier_count(index)).max(0.0),
    });
    increases.collect()
}

/// Returns the increase of a counter. A counter that decreased belongs to a restarted process and
/// counts from zero.
fn counter_increase(before: f64, after: f64) -> f64 {
    if after < before { after } else { after - before }
}
