//! Learnt durations: how long the tasks of a queue take, compared with their clients' estimates.
//!
//! Load pattern: long tails and wrong estimates. Three percent of the tasks take seven times their
//! estimate, and the estimates of a queue are off by up to a factor of two. A step is done when the
//! longest of its tasks is.
//!
//! For each queue and kind of task, the ratio of actual to estimated duration of completed runs is
//! kept in histograms with a bounded relative error. Two windows take turns, so that old samples
//! are forgotten. Without enough samples there is no answer, and the client's estimate is used.
//! `docs/design/learned-durations.md` states where the ratio is applied and why.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id::Time;
use foldhash::HashMap;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Resolution of a ratio: histograms hold integers.
const UNITS_PER_ONE: f64 = 1000.0;
/// Largest ratio that is distinguished; larger ones count as this.
const MAX_RATIO: f64 = 64.0;
/// Significant decimal digits of a ratio: errors up to 6 percent, in 832 bytes a window.
const DIGITS: u8 = 1;
/// Number of samples below which nothing is derived from them: fewer say little about the longest
/// of twenty tasks.
const MIN_SAMPLES: u64 = 40;
/// Number of samples after which a window is full: about 60 of a tail of three percent.
const WINDOW_SAMPLES: u64 = 2048;
/// Age at which a window is replaced although it isn't full.
const WINDOW_AGE: Duration = Duration::from_secs(600);
/// Number of new samples after which the quantiles are computed again.
const REFRESH_SAMPLES: u32 = 16;
/// Largest number of queues and kinds that are followed. A deployment may have 1,400 queues, of
/// which a few carry work.
const MAX_CLASSES: usize = 32;
/// Time without a sample after which a class may give way to another one.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Number of classes that are stored for the next owner, the ones with the most samples: at most
/// 750 bytes each where ratios spread evenly up to six.
const MAX_STORED: usize = 8;
/// A run that is longer than all samples is expected to need this fraction of its time again.
const BEYOND_FRACTION: f64 = 0.25;
/// Change of the median or of the tail, as a factor, that is worth a log line.
const LOGGED_CHANGE: f64 = 1.5;
/// Shortest time between two log lines about a class.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Rank of the quantile that stands for the tail.
pub(crate) const TAIL_RANK: f64 = 0.99;

/// Rank of the delay that is expected of a job. With more work than capacity, the jobs served are
/// those that can just be in time, so most of them have to be.
const DELAY_RANK: f64 = 0.95;

/// Kind of a task whose durations are learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// It reserves its CPU.
    Short,
    /// It uses what others leave.
    BestEffort,
    /// Not a task: what a job of short tasks takes in seconds beyond its critical path, since
    /// capacity becomes free piece by piece, and starts and reports take time.
    Delay,
}

impl Kind {
    pub(crate) fn of(best_effort: bool) -> Kind {
        if best_effort { Kind::BestEffort } else { Kind::Short }
    }

    /// Returns its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Short => "short",
            Kind::BestEffort => "filling",
            Kind::Delay => "delay",
        }
    }
}

/// Cumulative distribution of ratios, in ascending order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distribution {
    ratios: Vec<f64>,
    /// Fraction of the samples up to each ratio.
    ranks: Vec<f64>,
}

impl Distribution {
    fn of(samples: &Histogram<u32>) -> Distribution {
        let mut distribution = Distribution::default();
        let total = samples.len().max(1) as f64;
        let mut below = 0;
        for bucket in samples.iter_recorded() {
            below += bucket.count_since_last_iteration();
            let units = samples.median_equivalent(bucket.value_iterated_to());
            distribution.ratios.push(units as f64 / UNITS_PER_ONE);
            distribution.ranks.push(below as f64 / total);
        }
        distribution
    }

    /// Returns the ratio that this fraction of the samples doesn't exceed.
    pub(crate) fn quantile(&self, rank: f64) -> f64 {
        let index = self.ranks.partition_point(|&below| below < rank);
        let last = self.ratios.len().saturating_sub(1);
        self.ratios.get(index.min(last)).copied().unwrap_or(1.0)
    }

    /// Returns the median of the longest of several tasks' ratios. The median of the longest of n
    /// is the quantile of rank 0.5^(1/n).
    pub(crate) fn longest_of(&self, tasks: u32) -> f64 {
        self.quantile(0.5_f64.powf(1.0 / f64::from(tasks.max(1))))
    }

    /// Returns the quantile of this rank of the ratios above the one that a run has reached.
    pub(crate) fn quantile_beyond(&self, reached: f64, rank: f64) -> f64 {
        let index = self.ratios.partition_point(|&ratio| ratio <= reached);
        let below = if index == 0 { 0.0 } else { self.ranks[index - 1] };
        if index == self.ratios.len() {
            return reached * (1.0 + BEYOND_FRACTION);
        }
        self.quantile(below + (1.0 - below) * rank).max(reached)
    }

    /// Returns the remaining time of a run with this estimate that has worked for some time, as the
    /// quantile of this rank of such runs.
    pub(crate) fn remaining(&self, estimate: Duration, worked: Duration, rank: f64) -> Duration {
        if estimate.is_zero() {
            return Duration::ZERO;
        }
        let reached = worked.as_secs_f64() / estimate.as_secs_f64();
        let end = self.quantile_beyond(reached, rank).min(MAX_RATIO.max(reached));
        estimate.mul_f64((end - reached).max(0.0))
    }
}

/// Samples of one queue and kind.
#[derive(Clone, Debug)]
struct Class {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    current_since: Time,
    last_sample: Time,
    /// Number of samples since the distribution was computed.
    unread: u32,
    /// Distribution of both windows; `None` as long as there are too few samples.
    distribution: Option<Distribution>,
    /// Median and tail when they were last logged, and when that was.
    logged: Option<([f64; 2], Time)>,
}

impl Class {
    fn open(now: Time) -> Class {
        Class {
            current: window(),
            previous: window(),
            current_since: now,
            last_sample: now,
            unread: 0,
            distribution: None,
            logged: None,
        }
    }

    fn len(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn record(&mut self, now: Time, ratio: f64) {
        let is_old = now.saturating_sub(self.current_since) >= WINDOW_AGE;
        if self.current.len() >= WINDOW_SAMPLES || is_old {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.current_since = now;
            self.unread = REFRESH_SAMPLES;
        }
        self.current.saturating_record((ratio * UNITS_PER_ONE).max(1.0) as u64);
        self.last_sample = now;
        self.unread += 1;
        if self.unread >= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.unread = 0;
        let samples = self.samples();
        let is_enough = samples.len() >= MIN_SAMPLES;
        self.distribution = is_enough.then(|| Distribution::of(&samples));
    }

    /// Returns the samples of both windows.
    fn samples(&self) -> Histogram<u32> {
        let mut samples = self.current.clone();
        samples.add(&self.previous).expect("both windows have the same bounds");
        samples
    }

    /// Returns the median and the tail if they have changed enough for a log line.
    fn take_change(&mut self, now: Time) -> Option<[f64; 2]> {
        let distribution = self.distribution.as_ref()?;
        let latest = [0.5, TAIL_RANK].map(|rank| distribution.quantile(rank));
        if let Some((logged, at)) = self.logged {
            let is_near = |(latest, logged): (f64, f64)| {
                let factor = latest / logged;
                (1.0 / LOGGED_CHANGE..=LOGGED_CHANGE).contains(&factor)
            };
            let is_unchanged = latest.into_iter().zip(logged).all(is_near);
            if is_unchanged || now < at + LOG_INTERVAL {
                return None;
            }
        }
        self.logged = Some((latest, now));
        Some(latest)
    }
}

fn window() -> Histogram<u32> {
    Histogram::new_with_bounds(1, (MAX_RATIO * UNITS_PER_ONE) as u64, DIGITS)
        .expect("the bounds are constant and valid")
}

/// Samples of one queue and kind, as stored for the next owner.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Stored {
    queue: Arc<str>,
    kind: Kind,
    /// Ratios in thousandths, each with its number of samples.
    samples: Vec<(u32, u32)>,
}

/// What is stored for the next owner: the classes with the most samples.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Snapshot {
    classes: Vec<Stored>,
}

/// Distributions of a queue's short and best-effort tasks, as far as they are known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    classes: [Option<Box<Class>>; 3],
}

impl Queue {
    /// Returns the distribution of a kind of task, if it is known.
    pub(crate) fn of(&self, best_effort: bool) -> Option<&Distribution> {
        self.distribution(Kind::of(best_effort))
    }

    /// Returns the delay that most jobs stay below, beside the durations of its tasks.
    pub(crate) fn delay(&self) -> Duration {
        let delay = self.distribution(Kind::Delay).map(|delays| delays.quantile(DELAY_RANK));
        Duration::from_secs_f64(delay.unwrap_or(0.0))
    }

    fn distribution(&self, kind: Kind) -> Option<&Distribution> {
        self.classes[kind as usize].as_ref()?.distribution.as_ref()
    }
}

/// Learnt durations of all queues.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    queues: HashMap<Arc<str>, Queue>,
}

impl Durations {
    /// Records the ratio of actual to estimated duration of a completed run. Returns the median and
    /// the tail of its class if they should be logged.
    pub fn record(
        &mut self,
        now: Time,
        queue: &Arc<str>,
        kind: Kind,
        ratio: f64,
    ) -> Option<[f64; 2]> {
        let is_known = |queue: &Queue| queue.classes[kind as usize].is_some();
        if !self.queues.get(queue).is_some_and(is_known) && !self.make_room(now) {
            return None;
        }
        let classes = &mut self.queues.entry(queue.clone()).or_default().classes;
        let class = classes[kind as usize].get_or_insert_with(|| Box::new(Class::open(now)));
        class.record(now, ratio);
        class.take_change(now)
    }

    /// Returns `true` if there is room for another class, for which one that is idle may give way.
    fn make_room(&mut self, now: Time) -> bool {
        if self.classes().count() < MAX_CLASSES {
            return true;
        }
        let oldest = self.classes().min_by_key(|(_, _, class)| class.last_sample);
        let Some((queue, kind, class)) = oldest else { return false };
        if now < class.last_sample + IDLE_TIME {
            return false;
        }
        let queue = queue.clone();
        if let Some(state) = self.queues.get_mut(&queue) {
            state.classes[kind as usize] = None;
        }
        self.queues.retain(|_, queue| queue.classes.iter().any(Option::is_some));
        true
    }

    fn classes(&self) -> impl Iterator<Item = (&Arc<str>, Kind, &Class)> {
        self.queues.iter().flat_map(|(name, queue)| {
            let kinds = [Kind::Short, Kind::BestEffort, Kind::Delay];
            let classes = kinds.into_iter().zip(&queue.classes);
            classes.filter_map(move |(kind, class)| Some((name, kind, class.as_deref()?)))
        })
    }

    /// Returns what is known of a queue.
    pub(crate) fn of_queue(&self, queue: &str) -> Option<&Queue> {
        if self.queues.is_empty() {
            return None;
        }
        self.queues.get(queue)
    }

    /// Returns the ratio of this rank, or `None` as long as too few samples are known.
    pub fn quantile(&self, queue: &str, kind: Kind, rank: f64) -> Option<f64> {
        let distribution = self.of_queue(queue)?.distribution(kind)?;
        Some(distribution.quantile(rank))
    }

    /// Returns the median ratio of the longest of several tasks.
    pub fn longest_of(&self, queue: &str, kind: Kind, tasks: u32) -> Option<f64> {
        Some(self.of_queue(queue)?.distribution(kind)?.longest_of(tasks))
    }

    /// Returns the median remaining time of a run that has worked for some time.
    pub fn remaining(
        &self,
        queue: &str,
        kind: Kind,
        estimate: Duration,
        worked: Duration,
    ) -> Option<Duration> {
        let distribution = self.of_queue(queue)?.distribution(kind)?;
        Some(distribution.remaining(estimate, worked, 0.5))
    }

    /// Returns each queue and kind with its ratios of these ranks, in order of their names.
    pub fn quantiles<const N: usize>(&self, ranks: [f64; N]) -> Vec<(Arc<str>, Kind, [f64; N])> {
        let known = self.classes().filter_map(|(queue, kind, class)| {
            let distribution = class.distribution.as_ref()?;
            Some((queue.clone(), kind, ranks.map(|rank| distribution.quantile(rank))))
        });
        let mut known: Vec<_> = known.collect();
        known.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        known
    }

    /// Returns what the next owner needs.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let mut classes: Vec<_> =
            self.classes().filter(|(_, _, class)| class.distribution.is_some()).collect();
        classes.sort_by(|a, b| b.2.len().cmp(&a.2.len()).then((a.0, a.1).cmp(&(b.0, b.1))));
        let stored = classes.into_iter().take(MAX_STORED).map(|(queue, kind, class)| Stored {
            queue: queue.clone(),
            kind,
            samples: stored_samples(&class.samples()),
        });
        Snapshot { classes: stored.collect() }
    }

    /// Returns the state that a previous owner has stored. Its samples form the older window.
    pub(crate) fn restore(snapshot: &Snapshot, now: Time) -> Durations {
        let mut durations = Durations::default();
        for stored in snapshot.classes.iter().take(MAX_STORED) {
            let mut class = Box::new(Class::open(now));
            for &(units, count) in &stored.samples {
                class.previous.saturating_record_n(u64::from(units), count);
            }
            class.refresh();
            let queue = durations.queues.entry(stored.queue.clone()).or_default();
            queue.classes[stored.kind as usize] = Some(class);
        }
        durations
    }

    /// Returns the size in bytes of what is stored for the next owner.
    pub fn stored_size(&self) -> usize {
        crate::records::record::encode(&self.snapshot()).len()
    }

    /// Returns these durations as the next owner has them.
    pub fn handed_over(&self, now: Time) -> Durations {
        Durations::restore(&self.snapshot(), now)
    }
}

fn stored_samples(samples: &Histogram<u32>) -> Vec<(u32, u32)> {
    let buckets = samples.iter_recorded().map(|bucket| {
        let units = u32::try_from(bucket.value_iterated_to()).unwrap_or(u32::MAX);
        (units, bucket.count_at_value())
    });
    buckets.collect()
}
