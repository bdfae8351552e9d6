//! Port to a worker: one exchange carries commands and acknowledgements to the worker, and results,
//! inventory changes and usage back.
//!
//! Safety rests on four rules that every worker follows:
//!
//! - It refuses an exchange whose epoch is lower than the highest that it has seen for its cell,
//!   before executing any of its commands.
//! - It runs tasks only until its lease expires on its own monotonic clock. A lease is granted as
//!   "until `stamp` + `valid`", where `stamp` is a reading of the worker's own clock from an earlier
//!   report. So a delayed grant extends nothing, and the granter knows that the lease expires at the
//!   latest `valid` after it *received* that report.
//! - It keeps a finished run's result (completion, failure, checkpoint) until it is acknowledged.
//! - It starts a run only on an exchange whose own grant has not expired, and never a run that it
//!   holds or whose result it holds: an exchange that its sender considers lost may still arrive.
//!
//! `docs/design/tasks.md` describes the granter's side: which workers and leases it has to record before it uses
//! them, so that its successor knows what to fence and how long to wait.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Cell;
use cowslipchute_base::id::Checkpoint;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Job;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use thiserror::Error;

/// Id of one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// The job.
    pub job: Job,
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Number of the run.
    pub attempt: Attempt,
}

/// Lease on the worker's own clock.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Reading of the worker's monotonic clock from a report, in milliseconds.
    pub stamp: u64,
    /// Duration of the lease after the reading, in milliseconds.
    #[serde_as(as = "Millis")]
    pub valid: Duration,
}

/// Command that concerns one run.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Starts a run. A worker that already holds the run or its result does nothing.
    Start {
        /// The run.
        run: Run,
        /// Resources that the run may use, enforced by the worker.
        amount: Amount,
        /// Checkpoint to resume from, if not from the beginning.
        checkpoint: Option<Checkpoint>,
        /// Declared duration of a run; the test double of a worker runs it for that time.
        #[serde_as(as = "Millis")]
        duration: Duration,
    },
    /// Stops a run without a checkpoint.
    Stop {
        /// The run.
        run: Run,
    },
    /// Checkpoints a run, then stops it.
    Evict {
        /// The run.
        run: Run,
    },
    /// Limits a run to a fraction of its processors.
    Throttle {
        /// The run.
        run: Run,
        /// Fraction of its processors in thousandths.
        permille: u16,
    },
}

/// Message from the owner of a cell to one of its workers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// Cell that the sender owns.
    pub cell: Cell,
    /// Epoch of that ownership.
    pub epoch: Epoch,
    /// Incarnation of the intended recipient; another incarnation refuses the exchange.
    pub incarnation: Incarnation,
    /// New lease; without one the worker only answers.
    pub grant: Option<Grant>,
    /// Commands, executed in order.
    pub commands: Vec<Command>,
    /// Runs whose results are in the store, so that the worker may forget them.
    pub acks: Vec<Run>,
    /// Inventory version that the sender has; zero asks for the whole inventory.
    pub known: u64,
}

/// Phase of a run on its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// In progress.
    Running,
    /// Being checkpointed or stopped; still uses its resources.
    Stopping,
    /// Completed; kept until acknowledged.
    Done,
    /// Failed on its own; kept until acknowledged.
    Failed {
        /// Reason for people.
        reason: String,
    },
    /// Stopped by a command after a checkpoint, which the platform keeps. Kept until acknowledged.
    Evicted {
        /// Checkpoint to resume from; `None` if there was no progress to keep.
        checkpoint: Option<Checkpoint>,
    },
    /// Stopped by a command or by lease expiry, without a checkpoint. Kept until acknowledged.
    Stopped,
    /// No longer on the worker: acknowledged, or never held when a command to stop it arrived.
    Forgotten,
}

/// Run in a worker's inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    /// The run.
    pub run: Run,
    /// Resources that the run uses.
    pub amount: Amount,
    /// Phase of the run.
    pub phase: Phase,
    /// Current limit in thousandths of the run's processors.
    pub permille: u16,
}

/// Measurement of one run, which lags behind the report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// The run.
    pub run: Run,
    /// Resources actually used.
    pub amount: Amount,
    /// Time of the measurement on the worker's clock in milliseconds, before the report.
    pub measured: u64,
    /// Slowdown against running alone, in thousandths (1000 is as fast as alone).
    pub slowdown_permille: u32,
}

/// A worker's answer to an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Name of the worker.
    pub instance: Instance,
    /// Incarnation of the worker; a new incarnation has nothing of the previous one.
    pub incarnation: Incarnation,
    /// Time on the worker's monotonic clock in milliseconds.
    pub stamp: u64,
    /// Highest epoch that the worker has seen. If it is above the exchange's, the exchange was refused.
    pub epoch: Epoch,
    /// Whether the worker executed the exchange.
    pub obeyed: bool,
    /// Version of the inventory after the exchange.
    pub version: u64,
    /// Whether `held` is the whole inventory rather than the changes since `known`.
    pub whole: bool,
    /// Inventory or its changes.
    pub held: Vec<Held>,
    /// Measurements since the last report.
    pub usage: Vec<Usage>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// Error of an exchange without a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// The exchange certainly did not reach the worker.
    #[error("the worker can't be reached: {0}")]
    Unsent(String),
    /// The worker may have executed the exchange.
    #[error("the worker's answer was lost: {0}")]
    Unknown(String),
}

/// Exchanges with workers.
pub trait Worker: Clone + Send + Sync + 'static {
    /// Makes one exchange; never sends it twice.
    ///
    /// # Errors
    ///
    /// Returns `Unknown` if the worker may have executed it.
    fn exchange(
        &self,
        address: SocketAddr,
        exchange: &Exchange,
    ) -> impl Future<Output = Result<Report, Error>> + Send;
}
