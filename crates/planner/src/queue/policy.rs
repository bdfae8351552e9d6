//! Policy of a job's queue.

use std::time::Duration;

use cowslipchute_ports::deployment::Config;

/// Number of failed runs after which a job fails if the configuration doesn't name its queue.
/// Unlimited, since a job that is reported as failed too early is lost.
pub(crate) const UNLIMITED_ATTEMPTS: u32 = u32::MAX;
/// Priority of a job if the configuration doesn't name its queue: lower than all others.
const DEFAULT_PRIORITY: u8 = u8::MAX;

/// Policy of a job's queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Policy {
    pub(crate) priority: u8,
    pub(crate) max_attempts: u32,
    pub(crate) slack: f64,
    pub(crate) allowance: Duration,
}

impl Policy {
    pub(crate) fn of(config: Option<&Config>, queue: &str) -> Policy {
        match config.and_then(|config| config.queue(queue)) {
            Some(queue) => Policy {
                priority: queue.priority,
                max_attempts: queue.max_attempts.max(1),
                slack: queue.slack_factor,
                allowance: queue.allowance,
            },
            None => Policy {
                priority: DEFAULT_PRIORITY,
                max_attempts: UNLIMITED_ATTEMPTS,
                slack: 1.0,
                allowance: Duration::ZERO,
            },
        }
    }
}
