//! Port to workers that get one call per command.
//!
//! A worker remembers the highest epoch that it has seen and refuses commands of lower ones. All of
//! its runs share one lease: a deadline on the worker's own clock that only moves forward. Ended
//! runs are numbered and reported until they are acknowledged. A command without an answer may be
//! carried out, even seconds later.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::job::StepId;
use crate::job::TaskId;

/// Time on a worker's own clock in milliseconds; the clock may run two percent slow.
pub type Timestamp = u64;
/// Permit of the advisory service to run a step on a worker, in that service's own format.
pub type Ticket = Arc<str>;
/// Number of an ended run within one incarnation of a worker, from one.
pub type EndNumber = u64;

/// A worker's entry in the platform's directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Name of the worker, which survives a restart.
    pub name: id::Instance,
    /// Start time of the incarnation that wrote the entry, as Unix time in milliseconds, if the
    /// worker provides it.
    pub started_at: Option<id::Incarnation>,
    /// Address for commands.
    pub address: SocketAddr,
    /// Service whose tasks the worker runs.
    pub service: id::Service,
    /// Failure domain of the worker.
    pub domain: id::Domain,
    /// Whether the worker is draining and will leave.
    pub draining: bool,
    /// Total capacity.
    pub capacity: Amount,
    /// Labels that a step may require: the worker's kind, its rack and possibly others.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Rack of the worker.
    pub rack: Option<id::Rack>,
    /// Remaining time for which the worker is slow after its start.
    pub warmup_left: Duration,
}

/// Longest name of a worker, in bytes. Job records hold a name for each placed task, so their size
/// is bounded only if names are.
pub const MAX_WORKER_NAME_BYTES: usize = 64;

/// Incarnation of a worker. A worker that restarts keeps its name but none of its state: its runs
/// are gone, its ended runs are numbered from one again, and its clock starts anew.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the worker.
    pub name: id::Instance,
    /// Start time as Unix time in milliseconds, if the worker provides it.
    pub started_at: Option<id::Incarnation>,
}

/// Recipient of a command: an incarnation of a worker and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the worker; a worker of another name refuses the command.
    pub name: id::Instance,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token of the command, above those of previous owners and of commands to previous
    /// incarnations, which the worker refuses from then on. No two incarnations of a name share one.
    pub epoch: id::Epoch,
    /// The worker's clock in the incarnation's latest report before the command, if it has reported.
    /// The clock of its next incarnation starts anew, so a response with an earlier time is from
    /// that one.
    pub clock: Option<Timestamp>,
}

/// Id of one run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Number of the run, from one.
    pub attempt: id::Attempt,
}

/// Command to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The run.
    pub run: Run,
    /// The job's payload.
    pub payload: Arc<str>,
    /// New lease deadline of all runs on the worker, on its clock.
    pub deadline: Timestamp,
    /// Checkpoint to resume from.
    pub checkpoint: Option<id::Checkpoint>,
    /// Permit of the advisory service, if the queue needs one.
    pub ticket: Option<Ticket>,
}

/// Command that extends a worker's lease and requests its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heartbeat {
    /// New lease deadline of all runs on the worker; `None` leaves it unchanged.
    pub deadline: Option<Timestamp>,
    /// Number of the last ended run that the worker may forget.
    pub acknowledged: EndNumber,
    /// Maximum time that the worker may delay its answer until a run ends.
    pub wait: Duration,
}

/// Reason for which a worker refused a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher epoch.
    Fenced,
    /// This run or a later one of the task has ended or was stopped on the worker.
    Stale,
    /// The lease deadline has passed on the worker's clock.
    LeaseExpired,
    /// The worker has no free capacity.
    NoCapacity,
    /// The queue's policy doesn't allow the run: it needs a valid ticket.
    TicketRequired,
    /// The worker reports that it is unhealthy.
    Unhealthy,
    /// A worker of another name answers at the address; the intended one has ended.
    OtherWorker,
    /// The worker can't interpret the command.
    Malformed,
}

/// Reason for which a command failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The worker refused the command and did nothing; with the time on its clock if it sent one.
    Refused(Refusal, Option<Timestamp>),
    /// The command was never sent.
    Unsent,
    /// The command may have been carried out, or may still be.
    Unknown,
}

/// Reason for which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The run finished its work.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    GangEnded,
    /// The rest of the gang did not start in time.
    GangTimeout,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// Id of the run.
    pub run: Run,
    /// Newest checkpoint.
    pub checkpoint: Option<id::Checkpoint>,
    /// Completed part of the work in percent; for a service task, 100 once it is up.
    pub percent: u8,
    /// Tail latency in milliseconds for a latency-critical task, processor use in thousandths of a
    /// core for any other task. Covers about the last half second.
    pub measurement: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Number of the ended run.
    pub number: EndNumber,
    /// Id of the run.
    pub run: Run,
    /// Reason for which it ended.
    pub reason: EndReason,
    /// Newest checkpoint.
    pub checkpoint: Option<id::Checkpoint>,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start time of the answering incarnation, as Unix time in milliseconds, if the worker provides it.
    pub started_at: Option<id::Incarnation>,
    /// Time on the worker's clock when it answered.
    pub clock: Timestamp,
    /// All runs in progress.
    pub running: Vec<Running>,
    /// Unacknowledged ended runs in ascending order of their numbers; only the oldest if there are many.
    pub ended: Vec<Ended>,
}

/// Commands to workers.
pub trait Fleet: Clone + Send + Sync + 'static {
    /// Starts a run; succeeds also if the worker already has that run. Returns the time on the worker's clock.
    fn start(
        &self,
        target: &Target,
        start: Start,
    ) -> impl Future<Output = Result<Timestamp, Failure>> + Send;

    /// Stops a run, or prevents it from ever starting. The run is reported as ended once it has stopped.
    fn stop(
        &self,
        target: &Target,
        run: Run,
    ) -> impl Future<Output = Result<Timestamp, Failure>> + Send;

    /// Throttles a run to a percentage of its full speed.
    fn set_speed_limit(
        &self,
        target: &Target,
        run: Run,
        percent: u8,
    ) -> impl Future<Output = Result<Timestamp, Failure>> + Send;

    /// Extends the lease and returns the worker's report.
    fn heartbeat(
        &self,
        target: &Target,
        hold: Heartbeat,
    ) -> impl Future<Output = Result<Report, Failure>> + Send;
}

/// The advisory service, which decides which workers a queue's policy allows.
pub trait Advisor: Clone + Send + Sync + 'static {
    /// Queries which of the given workers may run a step. The latency grows with the number of workers.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<id::Instance>,
        within: Duration,
    ) -> impl Future<Output = Result<Vec<(id::Instance, Ticket)>, Failure>> + Send;
}
