//! Size expected in two years, and limits of one daemon.

use std::time::Duration;

/// Failure domains.
pub const DOMAINS: f64 = 18.0;
/// Regions.
pub const REGIONS: f64 = 6.0;
/// Workers.
pub const WORKERS: f64 = 18_000.0;
/// Latency-critical tasks running.
pub const PAYING_TASKS: f64 = 59_000.0;
/// Batch tasks running.
pub const BATCH_TASKS: f64 = 440_000.0;
/// Task starts per second at the peak.
pub const STARTS_PER_SECOND: f64 = 17_000.0;
/// Jobs per day.
pub const JOBS_PER_DAY: f64 = 160_000.0;
/// Teams with quotas.
pub const TEAMS: f64 = 930.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 46_000.0;
/// Instances that fail on a normal day.
pub const FAILURES_PER_DAY: f64 = 180.0;
/// Instances restarted or replaced on a normal day.
pub const RESTARTS_PER_DAY: f64 = 2_700.0;
/// Seconds per day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Maximum share of a core for a daemon's control work.
pub const CORE_SHARE_MAX: f64 = 0.022;
/// Maximum memory of a daemon, in bytes.
pub const MEMORY_MAX_BYTES: f64 = 256e6;
/// Maximum control traffic of a daemon, in bytes per second.
pub const BYTES_PER_SECOND_MAX: f64 = 13e3;
/// Maximum start latency of urgent work.
pub const URGENT_START_MAX: Duration = Duration::from_millis(3300);
/// Maximum time until a change is in force everywhere.
pub const CHANGE_DELAY_MAX: Duration = Duration::from_secs(17);

/// Maximum writes per second to the store, specified as "several hundred".
pub const STORE_WRITES_PER_SECOND_MAX: f64 = 300.0;
/// Maximum reads per second from the store.
pub const STORE_READS_PER_SECOND_MAX: f64 = 2_000.0;

/// Workers per failure domain.
pub const DOMAIN_WORKERS: f64 = WORKERS / DOMAINS;
/// Running tasks per failure domain.
pub const DOMAIN_TASKS: f64 = (PAYING_TASKS + BATCH_TASKS) / DOMAINS;
/// Task starts per second in a failure domain at the peak. As many tasks complete.
pub const DOMAIN_STARTS_PER_SECOND: f64 = STARTS_PER_SECOND / DOMAINS;
/// Backend servers per failure domain. Each latency-critical task counts as one.
pub const DOMAIN_BACKENDS: f64 = PAYING_TASKS / DOMAINS;
/// Jobs declared at the same time. No number is specified; a job is assumed to stay declared for an
/// hour, so that its owner can read the outcome.
pub const JOBS_DECLARED: f64 = JOBS_PER_DAY / 24.0;

/// Instances listed in one of today's deployments: executors, workers, and three processes of ours
/// on each of nine entry instances.
pub const MEMBERS_TODAY: f64 = 50.0 + 50.0 + 27.0;
