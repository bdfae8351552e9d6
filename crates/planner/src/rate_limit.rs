//! How fast an owner sends starts.
//!
//! Pattern answered: a start carries what the client handed in for its job, some kilobytes, and there are
//! instances with narrow links. Starts that are decided on faster than the link takes them pile up in its
//! queues, and with them the holds that keep runs alive and the renewals of the owner's lease: calls time
//! out and are made again, the lease is lost, and the next owner begins with the same pile. So starts are
//! placed only as fast as a part of the link carries. What comes later waits here, where the most valuable
//! comes first and what is cancelled goes.
//!
//! A job with nothing at work for a while gets one task started all the same, from a small part of its own. Without that
//! part the oldest jobs of a backlog take all that the link carries for starts: every new job then waits until it is as old
//! as they are, and the backlog outlasts the burst that made it for as long as jobs come.
//!
//! Buckets of bytes: each fills at its part of the link's rate and never holds more than a fraction of a
//! second of it, which is the longest that anything else waits behind starts.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Part of the link for starts. Holds with their accounts, the workers' directory and writes of records
/// take about as much again.
const START_FRACTION: f64 = 0.5;
/// Part of the link for jobs that have had nothing at work for a while: a fifth of what the others have, so that a
/// backlog grows no older than it must, and shrinks first of all by what the others leave.
const STARVED_FRACTION: f64 = 0.1;
/// Starts that may be sent at once, in time of their part of the link: short against the time after which
/// a call is given up, and against a lease.
const BURST_TIME: Duration = Duration::from_millis(200);
/// How soon a start that has to wait for the link is looked at again.
pub(crate) const START_RETRY: Duration = Duration::from_millis(50);
/// Bytes that a start takes beside its job's payload: heads of the order and of its answer, and the order's
/// other fields.
const START_BYTES: usize = 600;

/// Bytes that may be sent.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// How many a second.
    rate: f64,
    /// How many at `at`; below zero what was sent in advance.
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

/// What may be sent now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limiter {
    /// For all starts; none where the link's rate isn't known.
    general: Option<Bucket>,
    /// For jobs that have had nothing at work for a while.
    starved: Option<Bucket>,
}

impl Limiter {
    /// Opens with a link that carries so many bytes a second.
    pub(crate) fn open(link: Option<f64>) -> Limiter {
        let bucket = |part: f64| link.map(|link| Bucket::open(link * part));
        Limiter { general: bucket(START_FRACTION), starved: bucket(STARVED_FRACTION) }
    }

    /// Tells whether another start may be sent.
    pub(crate) fn allows(&mut self, now: Time) -> bool {
        self.general.as_mut().is_none_or(|bucket| bucket.allows(now))
    }

    /// Tells whether another start may be sent for a job that has had nothing at work for a while.
    pub(crate) fn allows_starved(&mut self, now: Time) -> bool {
        self.starved.as_mut().is_none_or(|bucket| bucket.allows(now))
    }

    /// Notes a start that is to be sent for a job with a payload of so many bytes.
    pub(crate) fn charge(&mut self, payload: usize) {
        if let Some(bucket) = &mut self.general {
            bucket.available -= bytes(payload);
        }
    }

    /// Takes a start back that was noted and isn't sent after all.
    pub(crate) fn refund(&mut self, payload: usize) {
        if let Some(bucket) = &mut self.general {
            bucket.available += bytes(payload);
        }
    }

    /// Charges the start that was noted last to the part of jobs that had nothing at work.
    pub(crate) fn shift_to_starved(&mut self, payload: usize) {
        if let (Some(usual), Some(starved)) = (&mut self.general, &mut self.starved) {
            usual.available += bytes(payload);
            starved.available -= bytes(payload);
        }
    }
}

fn bytes(payload: usize) -> f64 {
    (payload + START_BYTES) as f64
}
