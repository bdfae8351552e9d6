//! How fast an owner sends starts.
//!
//! Pattern answered: a start carries what the client handed in for its job, some kilobytes, and there are
//! instances with narrow links. Starts that are decided on faster than the link takes them pile up in its
//! queues, and with them the holds that keep runs alive and the renewals of the owner's lease: calls time
//! out and are made again, the lease is lost, and the next owner begins with the same pile. So starts are
//! placed only as fast as a part of the link carries. What comes later waits here, where the most valuable
//! comes first and what is cancelled goes; a job with nothing at work gets one task started all the same.
//!
//! A bucket of bytes: it fills at that part of the link's rate and never holds more than a fraction of a
//! second of it, which is the longest that anything else waits behind starts.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Part of the link for starts. Holds with their accounts, the workers' directory and writes of records
/// take about as much again.
const PART: f64 = 0.5;
/// Starts that may be sent at once, in time of their part of the link: short against the time after which
/// a call is given up, and against a lease.
const BURST: Duration = Duration::from_millis(200);
/// How soon a start that has to wait for the link is looked at again.
pub(crate) const SENDING_LOOK: Duration = Duration::from_millis(50);
/// Bytes that a start takes beside its job's payload: heads of the order and of its answer, and the order's
/// other fields.
const START_BYTES: usize = 600;

/// What may be sent now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending {
    /// Bytes a second for starts; none where the link's rate isn't known.
    rate: Option<f64>,
    /// Bytes that may be sent at `at`; below zero what was sent in advance.
    left: f64,
    at: Time,
}

impl Sending {
    /// Opens with a link that carries so many bytes a second.
    pub(crate) fn open(link: Option<f64>) -> Sending {
        let rate = link.map(|link| link * PART);
        Sending { rate, left: 0.0, at: Time::ZERO }
    }

    /// Tells whether another start may be sent.
    pub(crate) fn allows(&mut self, now: Time) -> bool {
        let Some(rate) = self.rate else { return true };
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.left = (self.left + passed * rate).min(rate * BURST.as_secs_f64());
        self.at = now;
        self.left > 0.0
    }

    /// Notes a start that is to be sent for a job with a payload of so many bytes.
    pub(crate) fn spend(&mut self, payload: usize) {
        self.left -= (payload + START_BYTES) as f64;
    }
}
