//! Results of a simulated run.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::tasks::machine::Progress;
use crate::tasks::run::Work;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest slowdown that the histograms resolve, in thousandths.
const SLOWDOWN_MAX_PERMILLE: u64 = 100_000;
/// Largest start latency that the histogram resolves, in microseconds.
const START_LATENCY_MAX_US: u64 = 1_000_000_000;

/// Results of one run, or of several combined.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Slowdown of paying services in thousandths, sampled evenly in time.
    pub slowdown: Histogram<u64>,
    /// Factor of that slowdown due to batch and trial tasks on the same worker, in thousandths.
    pub batch_slowdown: Histogram<u64>,
    /// Time from an urgent job's arrival to its start on a worker, in microseconds.
    pub urgent: Histogram<u64>,
    /// Work done and lost, and processor time available for it.
    pub progress: Progress,
    /// Event counts.
    pub counts: Counts,
    /// Processor time that the policy used.
    pub policy_time: Duration,
    /// Memory that the policy held at the end, in bytes.
    pub state_bytes: usize,
}

/// Event counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Counts {
    /// Runs started.
    pub starts: u64,
    /// Evictions begun.
    pub evictions: u64,
    /// Throttles set.
    pub throttles: u64,
    /// Tasks completed.
    pub done: u64,
    /// Tasks that completed more than once.
    pub done_twice: u64,
    /// Starts beyond a worker's capacity.
    pub beyond: u64,
    /// Starts of a task whose earlier run was still active on its worker.
    pub two_places: u64,
    /// Runs stopped because the lease of a live worker expired.
    pub lapsed: u64,
    /// Urgent jobs that arrived.
    pub urgent: u64,
    /// Urgent jobs that arrived before the final start grace period and had not started.
    pub urgent_waiting: u64,
    /// Paying service tasks not running at the end.
    pub services_waiting: u64,
    /// Calls of the policy.
    pub steps: u64,
    /// Commands that the policy issued.
    pub commands: u64,
    /// Exchanges with workers.
    pub exchanges: u64,
    /// Batches written to the store.
    pub batches: u64,
    /// Size of the records in those batches, in bytes.
    pub record_bytes: u64,
    /// Ticks requested for a time already reached, right after a tick: the policy would busy-loop.
    pub spins: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.starts += other.starts;
        self.evictions += other.evictions;
        self.throttles += other.throttles;
        self.done += other.done;
        self.done_twice += other.done_twice;
        self.beyond += other.beyond;
        self.two_places += other.two_places;
        self.lapsed += other.lapsed;
        self.urgent += other.urgent;
        self.urgent_waiting += other.urgent_waiting;
        self.services_waiting += other.services_waiting;
        self.steps += other.steps;
        self.commands += other.commands;
        self.exchanges += other.exchanges;
        self.batches += other.batches;
        self.record_bytes += other.record_bytes;
        self.spins += other.spins;
    }
}

impl Default for Figures {
    fn default() -> Self {
        let histogram = |max| {
            Histogram::new_with_max(max, SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid")
        };
        Figures {
            slowdown: histogram(SLOWDOWN_MAX_PERMILLE),
            batch_slowdown: histogram(SLOWDOWN_MAX_PERMILLE),
            urgent: histogram(START_LATENCY_MAX_US),
            progress: Progress::default(),
            counts: Counts::default(),
            policy_time: Duration::ZERO,
            state_bytes: 0,
        }
    }
}

impl Figures {
    /// Combines with another run's results; `state_bytes` is the maximum of the two.
    pub fn add(&mut self, other: &Figures) {
        self.slowdown.add(&other.slowdown).expect("the histograms have the same bounds");
        self.batch_slowdown
            .add(&other.batch_slowdown)
            .expect("the histograms have the same bounds");
        self.urgent.add(&other.urgent).expect("the histograms have the same bounds");
        self.progress.add(&other.progress);
        self.counts.add(&other.counts);
        self.policy_time += other.policy_time;
        self.state_bytes = self.state_bytes.max(other.state_bytes);
    }

    /// Returns the batch and trial work that was done and not lost.
    pub fn useful(&self) -> Work {
        Work {
            running: self.progress.work.running - self.progress.lost.running,
            granted: self.progress.work.granted - self.progress.lost.granted,
            real: self.progress.work.real - self.progress.lost.real,
        }
    }

    /// Returns a quantile of the paying services' slowdown.
    pub fn slowdown_at(&self, quantile: f64) -> f64 {
        self.slowdown.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns a quantile of the slowdown due to batch and trial tasks.
    pub fn batch_slowdown_at(&self, quantile: f64) -> f64 {
        self.batch_slowdown.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns a quantile of the urgent start latency in seconds.
    pub fn urgent_at(&self, quantile: f64) -> f64 {
        self.urgent.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Returns the commands that the policy issues per second of processor time.
    pub fn commands_per_second(&self) -> f64 {
        self.counts.commands as f64 / self.policy_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the policy calls per second of processor time.
    pub fn steps_per_second(&self) -> f64 {
        self.counts.steps as f64 / self.policy_time.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}
