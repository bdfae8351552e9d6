//! Cases in which the request policies are measured.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Executors of the service, as in both of today's deployments.
pub const SERVERS: usize = 50;
/// Requests that an executor runs concurrently.
pub const SLOTS: u16 = 8;
/// Connections that an executor accepts.
pub const CONNECTIONS: u16 = 60;
/// Failure domains.
pub const DOMAINS: usize = 3;
/// Entry instances in all failure domains.
pub const ENTRIES: usize = 9;
/// Mean service time of a healthy executor in seconds.
pub const SERVICE_MEAN: f64 = 0.020;
/// Standard deviation of the logarithm of the service time.
pub const SERVICE_SIGMA: f64 = 0.6;
/// One-way delay between a caller and an entry.
pub const CALLER_DELAY: Duration = Duration::from_millis(3);
/// One-way delay between failure domains.
pub const CROSS_DOMAIN_DELAY: Duration = Duration::from_micros(1500);
/// One-way delay within a failure domain.
pub const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(100);
/// Age of the platform's list when it is read.
pub const LIST_LAG: Duration = Duration::from_secs(2);
/// Interval at which an entry reads the list.
pub const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time from which latencies are recorded. Faults begin later, so their onset is recorded.
pub const WARM_UP: Time = Duration::from_secs(1);
/// Time at which the fault begins.
pub const FAULT_AT: Time = Duration::from_secs(2);
/// Time for which a leaving executor still accepts requests.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Time until the successor of a stopped executor is up.
pub const RESTART_TIME: Duration = Duration::from_secs(2);
/// Share of paying requests that are idempotent.
pub const IDEMPOTENT_SHARE: f64 = 0.7;
/// Share of the remaining paying requests that carry an idempotency key.
pub const KEYED_SHARE: f64 = 0.3;

/// Fault to inject, in the first executor unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// Requests take ten times as long.
    Slow,
    /// Every request fails immediately.
    FailFast,
    /// Connections are accepted, but requests are never answered.
    BlackHole,
    /// Every executor is replaced in turn.
    Rolling,
}

/// A load and a fault.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Paying load as a share of the healthy capacity.
    pub paying: f64,
    /// Trial load as a share of the healthy capacity.
    pub trial: f64,
    /// Fault to inject.
    pub fault: Fault,
    /// Time for which callers send requests.
    pub length: Duration,
}

const fn case(name: &'static str, paying: f64, trial: f64, fault: Fault, seconds: u64) -> Case {
    Case { name, paying, trial, fault, length: Duration::from_secs(seconds) }
}

/// All cases. The first is the healthy baseline that the targets refer to.
pub const ALL: &[Case] = &[
    case("steady-60", 0.6, 0.0, Fault::None, 12),
    case("steady-95", 0.95, 0.0, Fault::None, 12),
    case("trial-flood", 0.6, 10.0, Fault::None, 8),
    case("slow", 0.6, 0.0, Fault::Slow, 12),
    case("fail-fast", 0.6, 0.0, Fault::FailFast, 12),
    case("black-hole", 0.6, 0.0, Fault::BlackHole, 12),
    case("rolling", 0.6, 0.0, Fault::Rolling, 40),
];

/// Finds a case by name.
pub fn find(name: &str) -> Option<&'static Case> {
    ALL.iter().find(|case| case.name == name)
}

/// Returns the capacity of all healthy executors, in requests per second.
pub fn capacity() -> f64 {
    SERVERS as f64 * f64::from(SLOTS) / SERVICE_MEAN
}
