//! Port to whoever runs the machines that workers run on: which there are, and their upkeep.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Names a machine, whichever worker it runs.
pub type Name = Arc<str>;
/// Number of a wave of upkeep.
pub type WaveNumber = u64;

/// A machine as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// Whether it is up, and neither moving nor in its upkeep.
    pub up: bool,
    /// The name of its worker, if it has one.
    pub worker: Option<id::Instance>,
}

/// An operator's demand that machines have their upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: WaveNumber,
    /// The machines.
    pub machines: Vec<Name>,
    /// How long it may take in all.
    pub duration: Duration,
    /// At most so many of them may be down at once.
    pub cap: usize,
}

/// How far a wave is, as its operator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Progress {
    /// Machines are left.
    Active,
    /// The upkeep of every machine that is still there has begun.
    Completed,
}

/// Why an upkeep did not begin, or may not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Failure {
    /// A later owner has given orders for the machine.
    #[error("a later owner has given orders for the machine")]
    Fenced,
    /// The machine isn't up, or is leaving.
    #[error("the machine isn't up")]
    Busy,
    /// The wave doesn't hold the machine.
    #[error("the wave doesn't hold the machine")]
    NotOfWave,
    /// There is no such machine.
    #[error("there is no such machine")]
    Missing,
    /// Nothing was done; it may be asked again.
    #[error("nothing was done")]
    Unavailable,
    /// It may have begun, or may yet; asking again is harmless.
    #[error("there was no answer")]
    Unknown,
}

/// The machines of a deployment.
pub trait Machines: Clone + Send + Sync + 'static {
    /// Lists all machines.
    ///
    /// # Errors
    ///
    /// Any [`Failure`]; a list changes nothing.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>, Failure>> + Send;

    /// Begins a machine's upkeep, which ends all that runs there. Succeeds too if it was begun for
    /// this wave before.
    ///
    /// # Errors
    ///
    /// Why it did not begin; `Unknown` if it may have.
    fn upkeep(
        &self,
        machine: &Name,
        wave: WaveNumber,
        epoch: id::Epoch,
    ) -> impl Future<Output = Result<(), Failure>> + Send;
}
