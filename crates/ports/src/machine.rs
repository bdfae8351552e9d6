//! Port to the provider of the machines that workers run on: the list of machines and their maintenance.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Name of a machine, independent of the worker that it runs.
pub type Name = Arc<str>;
/// Number of a maintenance rollout.
pub type RolloutNumber = u64;

/// Current state of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine.
    pub name: Name,
    /// Whether the machine is up, and neither being moved nor under maintenance.
    pub up: bool,
    /// Name of the machine's worker, if it has one.
    pub worker: Option<id::Instance>,
}

/// Maintenance rollout: an operator's request for maintenance of several machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Number of the rollout.
    pub number: RolloutNumber,
    /// Machines to maintain.
    pub machines: Vec<Name>,
    /// Time limit of the whole rollout.
    pub duration: Duration,
    /// Maximum number of the machines that may be unavailable at once.
    pub max_unavailable: usize,
}

/// Progress of a maintenance rollout, as reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Progress {
    /// The maintenance of some machines has not begun.
    Active,
    /// The maintenance of every machine that still exists has begun.
    Completed,
}

/// Reason for which a machine's maintenance did not begin or may not have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// A later owner has sent commands for the machine.
    #[error("a later owner has sent commands for the machine")]
    Fenced,
    /// The machine isn't up, or is leaving.
    #[error("the machine isn't up")]
    Busy,
    /// The rollout doesn't include the machine.
    #[error("the rollout doesn't include the machine")]
    NotInRollout,
    /// There is no such machine.
    #[error("there is no such machine")]
    Missing,
    /// Nothing was done; the request may be repeated.
    #[error("nothing was done")]
    Unavailable,
    /// The maintenance may have begun or may still begin; repeating the request is safe.
    #[error("there was no answer")]
    Unknown,
}

/// The machines of a deployment.
pub trait Machines: Clone + Send + Sync + 'static {
    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// Returns any [`Failure`]; the call changes nothing.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>, Failure>> + Send;

    /// Begins a machine's maintenance, which ends everything that runs there. Succeeds also if the
    /// maintenance was begun earlier for the same rollout.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it did not begin; `Unknown` if it may have begun.
    fn start_maintenance(
        &self,
        machine: &Name,
        wave: RolloutNumber,
        epoch: id::Epoch,
    ) -> impl Future<Output = Result<(), Failure>> + Send;
}
