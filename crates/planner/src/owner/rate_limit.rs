//! Rate limit on the starts that an owner sends.
//!
//! A start carries the payload of its job, some kilobytes, and some instances have narrow links.
//! Starts decided on faster than the link carries them fill its queues and delay the heartbeats
//! that keep runs alive and the renewals of the owner's lease: requests time out and are retried,
//! the lease is lost, and the next owner begins with the same backlog. So starts are placed only as
//! fast as a fraction of the link carries them. Later starts wait in the planner, where the most
//! valuable one goes first and cancelled ones are dropped.
//!
//! A job that has had nothing running for a while gets one task started nevertheless, from a small
//! fraction of its own. Without it the oldest jobs of a backlog would take all the bandwidth for
//! starts: every new job would wait until it is as old as they are, and the backlog would outlast
//! its burst for as long as jobs arrive.
//!
//! The limit uses token buckets of bytes: each fills at its fraction of the link's rate and never
//! holds more than a fraction of a second of it, which is the longest time that other traffic waits
//! behind starts.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Fraction of the link for starts. Heartbeats with their reports, the workers' directory and
/// writes of records take about as much again.
const START_FRACTION: f64 = 0.5;
/// Fraction of the link for jobs that have had nothing running for a while: a fifth of that of all
/// others, so that a backlog ages no more than it must and shrinks mainly by what the others leave.
const STARVED_FRACTION: f64 = 0.1;
/// Burst of starts, as time at their fraction of the link: short compared with a request timeout
/// and with a lease.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Retry interval of a start that waits for the link.
pub(crate) const START_RETRY: Duration = Duration::from_millis(50);
/// Bytes of a start beside its job's payload: the headers of the request and of its response, and
/// the request's other fields.
const START_BYTES: usize = 600;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Bytes per second.
    rate: f64,
    /// Bytes available at `at`; negative if sent in advance.
    available: f64,
    at: Time,
}

impl Bucket {
    fn open(rate: f64) -> Bucket {
        Bucket { rate, available: 0.0, at: Time::ZERO }
    }

    fn allows(&mut self, now: Time) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.available =
            (self.available + passed * self.rate).min(self.rate * BURST_TIME.as_secs_f64());
        self.at = now;
        self.available > 0.0
    }
}

/// Rate limiter of starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limiter {
    /// For all starts; `None` if the link's rate is unknown.
    general: Option<Bucket>,
    /// For jobs that have had nothing running for a while.
    starved: Option<Bucket>,
}

impl Limiter {
    /// Opens a limiter for a link that carries this many bytes per second.
    pub(crate) fn open(link_rate: Option<f64>) -> Limiter {
        let bucket = |fraction: f64| link_rate.map(|link_rate| Bucket::open(link_rate * fraction));
        Limiter { general: bucket(START_FRACTION), starved: bucket(STARVED_FRACTION) }
    }

    /// Returns `true` if another start may be sent.
    pub(crate) fn allows(&mut self, now: Time) -> bool {
        self.general.as_mut().is_none_or(|bucket| bucket.allows(now))
    }

    /// Returns `true` if another start may be sent for a job that has had nothing running for a
    /// while.
    pub(crate) fn allows_starved(&mut self, now: Time) -> bool {
        self.starved.as_mut().is_none_or(|bucket| bucket.allows(now))
    }

    /// Charges a start that is to be sent for a job with a payload of this many bytes.
    pub(crate) fn charge(&mut self, payload: usize) {
        if let Some(bucket) = &mut self.general {
            bucket.available -= bytes(payload);
        }
    }

    /// Refunds a start that was charged and isn't sent after all.
    pub(crate) fn refund(&mut self, payload: usize) {
        if let Some(bucket) = &mut self.general {
            bucket.available += bytes(payload);
        }
    }

    /// Moves the charge of the last start to the fraction of jobs that had nothing running.
    pub(crate) fn shift_to_starved(&mut self, payload: usize) {
        if let (Some(general), Some(starved)) = (&mut self.general, &mut self.starved) {
            general.available += bytes(payload);
            starved.available -= bytes(payload);
        }
    }
}

fn bytes(payload: usize) -> f64 {
    (payload + START_BYTES) as f64
}
