//! Results of a request simulation.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest latency that the histogram resolves, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one run, or of several combined.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Latency of paying requests with an answered or unknown outcome, in microseconds.
    pub paying: Histogram<u64>,
    /// Event counts.
    pub counts: Counts,
    /// Virtual seconds in which callers sent requests.
    pub seconds: f64,
    /// Virtual seconds in which trial callers sent requests.
    pub trial_seconds: f64,
}

/// Event counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counts {
    /// Paying requests sent by callers.
    pub paying_sent: u64,
    /// Trial requests sent by callers.
    pub trial_sent: u64,
    /// Paying requests answered successfully.
    pub paying_good: u64,
    /// Trial requests answered successfully.
    pub trial_good: u64,
    /// Requests answered with a failure of the backend server.
    pub failed: u64,
    /// Paying requests with outcome "not run".
    pub paying_refused: u64,
    /// Trial requests with outcome "not run".
    pub trial_refused: u64,
    /// Requests with outcome "unknown".
    pub unknown: u64,
    /// Attempts beyond the first of a request.
    pub extra_attempts: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests with outcome "not run" that ran.
    pub denied_but_ran: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Requests with more than one final answer.
    pub answered_twice: u64,
    /// Peak number of connections in use at one backend server.
    pub connections_peak: u64,
    /// Ticks requested for a time already reached, right after a tick: the policy would busy-loop.
    pub spins: u64,
    /// Attempts that reached a backend server more than four seconds after it began to leave.
    pub late_to_leaving: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.paying_sent += other.paying_sent;
        self.trial_sent += other.trial_sent;
        self.paying_good += other.paying_good;
        self.trial_good += other.trial_good;
        self.failed += other.failed;
        self.paying_refused += other.paying_refused;
        self.trial_refused += other.trial_refused;
        self.unknown += other.unknown;
        self.extra_attempts += other.extra_attempts;
        self.doubled += other.doubled;
        self.denied_but_ran += other.denied_but_ran;
        self.lost += other.lost;
        self.answered_twice += other.answered_twice;
        self.connections_peak = self.connections_peak.max(other.connections_peak);
        self.spins += other.spins;
        self.late_to_leaving += other.late_to_leaving;
    }

    /// Returns the number of requests with a final answer.
    pub fn answered(&self) -> u64 {
        self.paying_good
            + self.trial_good
            + self.failed
            + self.paying_refused
            + self.trial_refused
            + self.unknown
    }
}

impl Default for Figures {
    fn default() -> Self {
        let paying = Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid");
        Figures { paying, counts: Counts::default(), seconds: 0.0, trial_seconds: 0.0 }
    }
}

impl Figures {
    /// Records the latency of a paying request.
    pub fn record(&mut self, latency: Duration) {
        self.paying.saturating_record(latency.as_micros() as u64);
    }

    /// Combines with another run's results.
    pub fn add(&mut self, other: &Figures) {
        self.paying.add(&other.paying).expect("the histograms have the same bounds");
        self.counts.add(&other.counts);
        self.seconds += other.seconds;
        self.trial_seconds += other.trial_seconds;
    }

    /// Returns a quantile of the paying latency in milliseconds.
    pub fn paying_ms(&self, quantile: f64) -> f64 {
        self.paying.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the successful answers to paying callers per second.
    pub fn paying_rate(&self) -> f64 {
        self.counts.paying_good as f64 / self.seconds
    }

    /// Returns the successful answers to trial callers per second in which they sent.
    pub fn trial_rate(&self) -> f64 {
        if self.trial_seconds == 0.0 {
            return 0.0;
        }
        self.counts.trial_good as f64 / self.trial_seconds
    }
}
