//! Outlier ejection of backend servers: ejection on failures and slowness, probing with one request
//! at a time, and a slow start afterwards.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Number of consecutive failures after which a backend server is ejected.
const CONSECUTIVE_FAILURES_MAX: u32 = 4;
/// Number of consecutive slow answers after which a backend server is ejected.
const CONSECUTIVE_SLOW_MAX: u32 = 5;
/// Failure rate above which a backend server is ejected.
const FAILURE_RATE_MAX: f32 = 0.5;
/// Minimum number of endings before the failure rate counts.
const SAMPLES_MIN: u32 = 10;
/// Weight of one ending in the failure rate of a backend server.
const SAMPLE_WEIGHT: f32 = 0.1;
/// Weight of one ending in the failure rate of a pool.
const POOL_SAMPLE_WEIGHT: f32 = 0.02;
/// Multiple of the pool's failure rate that a backend server must exceed to be ejected.
const POOL_RATE_FACTOR: f32 = 2.0;
/// Duration of the first ejection; doubles with each further one until the backend server is
/// restored.
const EJECTION_TIME: Duration = Duration::from_secs(1);
/// Duration of the first ejection of an unreachable backend server, which can be probed without
/// risk to a request.
const EJECTION_TIME_UNREACHABLE: Duration = Duration::from_millis(250);
/// Maximum number of doublings of the ejection time.
const DOUBLINGS_MAX: u32 = 5;
/// Consecutive successful probes that end the probing of an ejected backend server.
const PROBES_REQUIRED: u8 = 2;
/// Time for which a backend server ejected for failures isn't probed with requests that must not be
/// repeated.
const RISK_TIME: Duration = Duration::from_secs(1);
/// Duration of a slow start.
const SLOW_START_TIME: Duration = Duration::from_secs(2);
/// Maximum thousandths of a pool, but at least one of several backend servers, ejected for reasons
/// other than being unreachable.
const EJECTED_MAX_PERMILLE: usize = 340;

/// Health signal of a backend server, derived from the ending of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// A successful answer.
    Success,
    /// An answer or a cancelled attempt that took far longer than is typical of the pool.
    Slow,
    /// A failure.
    Failure,
    /// A failed connection, which can't be caused by the request.
    Unreachable,
}

/// Ejection status of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes its full share of requests.
    Healthy,
    /// Takes a share of requests that grows with time.
    SlowStart {
        /// Start of the status.
        since: Time,
    },
    /// Takes one request at a time.
    Probing {
        /// Number of successful probes still needed.
        needed: u8,
        /// Start of the status.
        since: Time,
    },
    /// Takes no requests.
    Ejected {
        /// End of the ejection.
        until: Time,
    },
}

/// Failure rate of a whole pool, to which those of its backend servers are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    rate: f32,
    /// Number of backend servers that are listed and not leaving.
    pub listed: usize,
    /// Number of them that are ejected.
    pub ejected: usize,
}

impl Failures {
    /// Records the signal of one attempt.
    pub fn observe(&mut self, signal: Signal) {
        let sample =
            if matches!(signal, Signal::Failure | Signal::Unreachable) { 1.0 } else { 0.0 };
        self.rate += POOL_SAMPLE_WEIGHT * (sample - self.rate);
    }

    /// Returns `true` if one more backend server may be ejected.
    fn may_eject(&self) -> bool {
        let ejected_min = usize::from(self.listed > 1);
        let ejected_max = (self.listed * EJECTED_MAX_PERMILLE / 1000).max(ejected_min);
        self.ejected < ejected_max
    }
}

/// Ejection status of one backend server and the statistics behind it.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    status: Status,
    failures: u32,
    unreachable: u32,
    slow: u32,
    /// Whether it was ejected for another reason than being unreachable and not restored since.
    was_failing: bool,
    rate: f32,
    samples: u32,
    doublings: u32,
}

impl Health {
    /// Returns the health of a backend server that takes requests without a probe.
    pub fn healthy() -> Health {
        Health {
            status: Status::Healthy,
            failures: 0,
            unreachable: 0,
            slow: 0,
            rate: 0.0,
            samples: 0,
            doublings: 0,
            was_failing: false,
        }
    }

    /// Returns the health of a newly listed backend server that has to pass one probe.
    pub fn probing(now: Time) -> Health {
        Health { status: Status::Probing { needed: 1, since: now }, ..Health::healthy() }
    }

    /// Returns the ejection status.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Returns `true` if a request that must not be repeated should go elsewhere, because the
    /// backend server was ejected for failures and is still being probed. Limited in time, because
    /// a service may have no other requests to probe with.
    pub fn is_risky(&self, now: Time) -> bool {
        let Status::Probing { since, .. } = self.status else { return false };
        self.was_failing && now.saturating_sub(since) < RISK_TIME
    }

    /// Returns the number of concurrent attempts allowed, out of `full`.
    pub fn concurrency_limit(&self, full: u32, now: Time) -> u32 {
        match self.status {
            Status::Healthy => full,
            Status::SlowStart { since } => {
                let fraction =
                    now.saturating_sub(since).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
                ((f64::from(full) * fraction.min(1.0)) as u32).max(1).min(full)
            }
            Status::Probing { .. } => full.min(1),
            Status::Ejected { .. } => 0,
        }
    }

    /// Returns `true` if its last attempt ended with an answer that reports no failure.
    pub fn is_answering(&self) -> bool {
        self.samples > 0 && self.failures == 0
    }

    /// Records a signal and returns `true` if the backend server is to be ejected.
    pub fn observe(&mut self, signal: Signal, pool: &Failures) -> bool {
        let is_failure = matches!(signal, Signal::Failure | Signal::Unreachable);
        self.rate += SAMPLE_WEIGHT * (if is_failure { 1.0 } else { 0.0 } - self.rate);
        self.samples = self.samples.saturating_add(1);
        self.failures = if is_failure { self.failures + 1 } else { 0 };
        let is_unreachable = signal == Signal::Unreachable;
        self.unreachable = if is_unreachable { self.unreachable + 1 } else { 0 };
        self.slow = if signal == Signal::Slow { self.slow + 1 } else { 0 };
        match self.status {
            Status::Ejected { .. } => false,
            Status::Probing { .. } => signal != Signal::Success,
            Status::Healthy | Status::SlowStart { .. } => self.is_bad(signal, pool),
        }
    }

    fn is_bad(&self, signal: Signal, pool: &Failures) -> bool {
        let has_high_rate = self.samples >= SAMPLES_MIN
            && self.rate > FAILURE_RATE_MAX.max(POOL_RATE_FACTOR * pool.rate);
        let is_consecutive = self.failures >= CONSECUTIVE_FAILURES_MAX;
        let is_pool_failing = pool.rate > FAILURE_RATE_MAX;
        match signal {
            Signal::Success => false,
            Signal::Slow => self.slow >= CONSECUTIVE_SLOW_MAX && pool.may_eject(),
            Signal::Failure => {
                (has_high_rate || (is_consecutive && !is_pool_failing)) && pool.may_eject()
            }
            Signal::Unreachable => self.unreachable >= CONSECUTIVE_FAILURES_MAX,
        }
    }

    /// Ejects the backend server and returns the end of the ejection.
    pub fn eject(&mut self, signal: Signal, now: Time) -> Time {
        let first =
            if signal == Signal::Unreachable { EJECTION_TIME_UNREACHABLE } else { EJECTION_TIME };
        self.was_failing |= signal != Signal::Unreachable;
        let until = now + first * (1 << self.doublings);
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
        self.status = Status::Ejected { until };
        until
    }

    /// Ends an ejection and starts probing.
    pub fn probe(&mut self, now: Time) {
        self.status = Status::Probing { needed: PROBES_REQUIRED, since: now };
    }

    /// Records a successful probe and returns `true` if it was the last one needed.
    pub fn probe_succeeded(&mut self, now: Time) -> bool {
        let Status::Probing { needed, since } = self.status else { return false };
        if needed > 1 {
            self.status = Status::Probing { needed: needed - 1, since };
            return false;
        }
        self.status = Status::SlowStart { since: now };
        self.failures = 0;
        self.unreachable = 0;
        self.slow = 0;
        self.rate = 0.0;
        self.samples = 0;
        true
    }

    /// Ends a slow start whose time has passed; returns `true` if that restored a backend server
    /// that was ejected before.
    pub fn end_slow_start(&mut self, now: Time) -> bool {
        let Status::SlowStart { since } = self.status else { return false };
        if now.saturating_sub(since) < SLOW_START_TIME {
            return false;
        }
        self.status = Status::Healthy;
        let restored = self.doublings > 0;
        self.doublings = 0;
        self.was_failing = false;
        restored
    }
}
