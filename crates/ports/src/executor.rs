//! Port to workers that are called once for each order.
//!
//! A worker keeps the highest epoch that it has seen and ignores orders of lower ones. Everything
//! it runs is held by one deadline on its own clock, which only ever moves on. Ends are numbered
//! and listed again until they are acknowledged. An order without an answer may be carried out,
//! also seconds later.

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

/// Milliseconds on a worker's own clock, which may run two percent slow.
pub type Stamp = u64;
/// Leave to run a step on a worker, as the advisory service words it.
pub type Ticket = Arc<str>;
/// Number of an end within one incarnation of a worker, from one.
pub type EndNumber = u64;

/// What a worker says of itself in the platform's directory.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// The worker's name, which it keeps when it starts again.
    pub name: id::Instance,
    /// Which of its starts wrote the entry, by the Unix time in milliseconds, where it tells.
    pub born: Option<id::Incarnation>,
    /// Where orders go.
    pub address: SocketAddr,
    /// The service whose tasks it runs.
    pub service: id::Service,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is about to leave.
    pub draining: bool,
    /// All that it has.
    pub capacity: Amount,
    /// All that a step may require: its kind, its rack and maybe more.
    pub labels: SmallVec<[Arc<str>; 2]>,
    /// Its rack.
    pub rack: Option<id::Rack>,
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// One start of a worker. A worker may start again under its name; it then holds and knows nothing of
/// before, its ends are numbered from one again, and its clock starts anew.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation {
    /// The worker's name.
    pub name: id::Instance,
    /// Unix time of the start in milliseconds, where the worker tells it.
    pub born: Option<id::Incarnation>,
}

/// The incarnation of a worker that an order is meant for, and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The worker's name; a worker of another name refuses the order.
    pub name: id::Instance,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Ranks the order above those of earlier owners and those to earlier incarnations, which the
    /// worker refuses from then on. No two incarnations of a name share one.
    pub epoch: id::Epoch,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Which of its runs, from one.
    pub attempt: id::Attempt,
}

/// Asks a worker to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The run.
    pub run: Run,
    /// The job's payload.
    pub payload: Arc<str>,
    /// The deadline for all that runs there, on the worker's clock.
    pub deadline: Stamp,
    /// Resumes from here.
    pub checkpoint: Option<id::Checkpoint>,
    /// Leave of the advisory service, where the queue needs one.
    pub ticket: Option<Ticket>,
}

/// Extends a worker's deadline and asks what has become of its runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// The deadline for all that runs there; none leaves it as it is.
    pub deadline: Option<Stamp>,
    /// Ends up to here need not be listed again.
    pub acknowledged: EndNumber,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// Why a worker did not carry an order out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher epoch.
    Fenced,
    /// This run, or a higher one of the task, has ended or was stopped there.
    Old,
    /// The deadline has passed on its clock.
    Late,
    /// It has no room.
    Room,
    /// The queue's policy doesn't allow it.
    Ticket,
    /// It says that it is not healthy.
    Unhealthy,
    /// A worker of another name answers at the address; the one meant is over.
    OtherWorker,
    /// It understands the order otherwise than we do.
    Malformed,
}

/// Why an order brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The worker answered that it did nothing, and its clock where it said so.
    Refused(Refusal, Option<Stamp>),
    /// The order never left.
    Unsent,
    /// The order may have been carried out, or may yet be.
    Unknown,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// It finished its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped as ordered.
    Stopped,
    /// The deadline passed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the rest of its gang.
    Alone,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Running {
    /// The run.
    pub run: Run,
    /// The newest checkpoint.
    pub checkpoint: Option<id::Checkpoint>,
    /// How much of its work is done; for a task that lasts, 100 when it is at work.
    pub percent: u8,
    /// For a task that serves, the tail of its response times in milliseconds; for any other, the
    /// thousandths of a processor in use. Over the last half second, roughly.
    pub figure: u32,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Its number.
    pub number: EndNumber,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub how: How,
    /// The newest checkpoint.
    pub checkpoint: Option<id::Checkpoint>,
}

/// A worker's account of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Which of the worker's starts answers, by the Unix time in milliseconds, where it tells.
    pub born: Option<id::Incarnation>,
    /// Its clock as it answered.
    pub clock: Stamp,
    /// All that runs.
    pub running: Vec<Running>,
    /// Ends by rising number; the oldest where there are many.
    pub ended: Vec<Ended>,
}

/// The workers.
pub trait Fleet: Clone + Send + Sync + 'static {
    /// Starts a run; also succeeds if that run is already there. Returns the worker's clock.
    fn start(
        &self,
        target: &Target,
        start: Start,
    ) -> impl Future<Output = Result<Stamp, Failure>> + Send;

    /// Stops a run, or keeps it from ever starting. The end is listed once it is gone.
    fn stop(
        &self,
        target: &Target,
        run: Run,
    ) -> impl Future<Output = Result<Stamp, Failure>> + Send;

    /// Lets a run work at a share of its speed, in percent.
    fn pace(
        &self,
        target: &Target,
        run: Run,
        percent: u8,
    ) -> impl Future<Output = Result<Stamp, Failure>> + Send;

    /// Extends the deadline and lists the runs.
    fn hold(
        &self,
        target: &Target,
        hold: Hold,
    ) -> impl Future<Output = Result<Report, Failure>> + Send;
}

/// The service that knows which workers a queue's policy allows.
pub trait Advisor: Clone + Send + Sync + 'static {
    /// Asks which of some workers may run a step. It takes a while for each worker named.
    fn advise(
        &self,
        step: StepId,
        workers: Vec<id::Instance>,
        within: Duration,
    ) -> impl Future<Output = Result<Vec<(id::Instance, Ticket)>, Failure>> + Send;
}
