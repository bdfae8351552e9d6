//! What the operator of a deployment has laid down: queues, services and limits.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;

/// Version of a configuration; a later one is higher.
pub type Version = u64;

/// How the advisory service answers for a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    /// What an answer takes at least.
    pub decision: Duration,
    /// What it takes more for each worker that is asked about.
    pub each: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A queue through which jobs come.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Host under which clients address it.
    pub host: Arc<str>,
    /// Path prefix under which clients address it.
    pub prefix: Arc<str>,
    /// The service whose workers run its jobs.
    pub service: id::Service,
    /// Zero comes first and may preempt others.
    pub priority: u8,
    /// Failed runs of one task after which its job has failed.
    pub max_attempts: u32,
    /// A job is in time within its chain of work times this, and `allowance` more.
    pub slack: f64,
    /// What a job may take beyond its chain of work.
    pub allowance: Duration,
    /// How the advisory service answers, where starts need its leave.
    pub advice: Option<Advice>,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Whether its workers refuse what doesn't fit them.
    pub guarded: bool,
    /// Whether its workers are switched off and stand by.
    pub standby: bool,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub head: usize,
    /// Largest body of a request, bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

/// One version of the operator's configuration, in full.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits.
    pub limits: Limits,
}

impl Config {
    /// Finds a queue by name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// Finds the queue that a request addresses: the host's, with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
