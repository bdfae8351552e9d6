//! The operator's configuration of a deployment: queues, services and limits.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;

/// Version of a configuration; increases with each change.
pub type Version = u64;

/// Timing of the advisory service's answers for a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    /// Minimum latency of an answer.
    pub base_latency: Duration,
    /// Additional latency for each worker in the query.
    pub latency_per_worker: Duration,
    /// Validity of a ticket.
    pub ticket_validity: Duration,
}

/// A queue to which clients submit jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host under which clients address the queue.
    pub host: Arc<str>,
    /// Path prefix under which clients address the queue.
    pub prefix: Arc<str>,
    /// Service whose workers run the queue's jobs.
    pub service: id::Service,
    /// Priority of the jobs; zero is the highest and may preempt the others.
    pub priority: u8,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor of the objective: a job is in time if it ends within its critical path times this
    /// factor, plus `allowance`.
    pub slack_factor: f64,
    /// Time that the objective adds to the critical path times the factor.
    pub allowance: Duration,
    /// Timing of the advisory service, if starts need its permit.
    pub advice: Option<Advice>,
}

impl Queue {
    /// Returns `true` if the configuration states by when the queue's jobs should be done.
    pub fn has_objective(&self) -> bool {
        self.slack_factor > 1.0 || !self.allowance.is_zero()
    }

    /// Returns the time within which a job with this critical path should be done.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f64(self.slack_factor) + self.allowance
    }
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Whether workers refuse tasks that exceed their free capacity.
    pub enforces_limits: bool,
    /// Whether the workers are switched off and on standby.
    pub standby: bool,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time within which a request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

/// One complete version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Version of the configuration.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on clients.
    pub limits: Limits,
}

impl Config {
    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Returns the queue that a request addresses: the one of the host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
