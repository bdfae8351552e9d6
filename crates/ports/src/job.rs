//! Port for clients that submit jobs: the job model and the client API.
//!
//! A job is a list of steps, each with a number of equal tasks; a step begins when the steps that it
//! depends on are done. Adapters translate between these types and a wire format.

use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use smallvec::SmallVec;

use crate::deployment::Config;
use crate::deployment::Queue;

/// Id of a job, chosen by its client.
pub type JobId = u64;
/// Index of a step within its job, from zero.
pub type StepIndex = u16;
/// Number of an occurrence of a repeated job, from zero.
pub type Occurrence = u32;

/// Id of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: Occurrence,
    /// Index of the step.
    pub step: StepIndex,
}

impl StepId {
    /// Returns the id of a task of the step.
    pub fn task(self, index: id::TaskIndex) -> TaskId {
        TaskId { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Id of a task, the same for all its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job.
    pub occurrence: Occurrence,
    /// Index of the step.
    pub step: StepIndex,
    /// Index of the task within the step.
    pub index: id::TaskIndex,
}

impl TaskId {
    /// Returns the id of the task's step.
    pub fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step_id(), self.index)
    }
}

/// Requirements and behavior of the tasks of one step.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub demand: Amount,
    /// Estimated run time of a task; may be inaccurate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub estimate: Duration,
    /// Earlier steps that this step depends on.
    pub after: SmallVec<[StepIndex; 2]>,
    /// Whether the tasks are gang-scheduled: all run together or none does.
    pub gang: bool,
    /// Whether the tasks are slower when spread over several racks.
    pub same_rack: bool,
    /// Label that the worker must carry.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the tasks' data; tasks are slower on other racks.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; zero for no limit.
    pub max_per_worker: u32,
    /// Whether copies of a task may run concurrently, of which the first to finish counts.
    pub speculative: bool,
    /// Whether these are service tasks, which run until the job is cancelled and are restarted whenever they end.
    pub long_running: bool,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Upper bound on the tail latency of a latency-critical task.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub latency_target: Option<Duration>,
    /// Whether these are best-effort tasks, which use the processor time that others leave and reserve none.
    pub best_effort: bool,
    /// Disruption budget of a step of service tasks: the number of its tasks that the scheduler may
    /// make unavailable at once; `None` for no limit.
    pub max_unavailable: Option<u32>,
}

/// Schedule of a repeated job's occurrences.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of the first occurrence as Unix time (since 1970).
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub start: Duration,
    /// Time between the due times of two occurrences.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub interval: Duration,
}

/// Job as submitted by a client.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spec {
    /// Opaque payload that each task receives.
    pub payload: Arc<str>,
    /// Steps in an order in which [`Step::after`] refers only to earlier ones.
    pub steps: Vec<Step>,
    /// Schedule of a repeated or delayed job; `None` if it runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl Step {
    /// Returns the core-seconds of one task, as estimated by the client.
    pub fn task_work(&self) -> f64 {
        self.estimate.as_secs_f64() * f64::from(self.demand.cpu_milli) / 1e3
    }
}

impl Spec {
    /// Returns the core-seconds of one occurrence, as estimated by the client.
    pub fn work(&self) -> f64 {
        self.steps.iter().map(|step| f64::from(step.count) * step.task_work()).sum()
    }

    /// Returns the critical path of one occurrence, as estimated by the client.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_by(|_, step| step.estimate)
    }

    /// Returns the critical path of one occurrence if its steps take these times.
    pub fn critical_path_by(&self, duration: impl Fn(usize, &Step) -> Duration) -> Duration {
        let mut end_times: SmallVec<[Duration; 8]> = SmallVec::new();
        for (index, step) in self.steps.iter().enumerate() {
            let start = step.after.iter().map(|&earlier| end_times[usize::from(earlier)]).max();
            end_times.push(start.unwrap_or_default() + duration(index, step));
        }
        end_times.into_iter().max().unwrap_or_default()
    }
}

/// Job as stored from its acceptance until it ends.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// Queue to which the job was submitted.
    pub queue: Arc<str>,
    /// Service whose workers run the job.
    pub service: id::Service,
    /// Job as submitted.
    pub spec: Spec,
    /// Whether the client has cancelled the job.
    pub cancelled: bool,
}

/// State of a job as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Active,
    /// Every task is done.
    Completed,
    /// A task has used up the failed runs that its queue allows.
    Failed,
    /// The client has cancelled it.
    Cancelled,
    /// A task has crashed more workers than the limit allows.
    Crashed,
    /// The store refuses its record, so that none of its tasks may start. Comes last because states are stored by position.
    Unstorable,
}

impl State {
    /// Returns `true` if the job has ended, so that its state no longer changes.
    pub fn is_final(self) -> bool {
        !matches!(self, State::Queued | State::Active)
    }

    /// Returns the reason for which the job failed, if it did.
    pub fn failure(self) -> Option<&'static str> {
        match self {
            State::Failed => Some("a task failed as often as its queue allows"),
            State::Crashed => Some("a task crashed the workers that started it"),
            State::Unstorable => Some("the state of the job can't be stored"),
            State::Queued | State::Active | State::Completed | State::Cancelled => None,
        }
    }
}

/// Negative answer to a client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejection {
    /// Numbered result code.
    pub code: Code,
    /// Reason for people.
    pub reason: String,
    /// Delay after which the client may retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection without a retry delay.
    pub fn new(code: Code, reason: impl Into<String>) -> Rejection {
        Rejection { code, reason: reason.into(), retry_after: None }
    }

    /// Sets the retry delay.
    pub fn retry_after(mut self, pause: Duration) -> Rejection {
        self.retry_after = Some(pause);
        self
    }
}

/// Operation that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Submits a job.
    Submit,
    /// Returns the state of a job.
    State,
    /// Cancels a job.
    Cancel,
    /// Returns the number of waiting jobs of a queue.
    Pending,
    /// An unsupported operation.
    Other,
}

impl Operation {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Submit => "submit",
            Operation::State => "state",
            Operation::Cancel => "cancel",
            Operation::Pending => "pending",
            Operation::Other => "other",
        }
    }
}

/// Summary of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Requested operation.
    pub operation: Operation,
    /// Job in the request path, if there is one.
    pub job: Option<JobId>,
}

/// Client API of a scheduler process.
pub trait ClientApi: Clone + Send + Sync + 'static {
    /// Returns the configuration in force, if one is known yet.
    fn config(&self) -> Option<Arc<Config>>;

    /// Returns the time after which a client should retry while no configuration is known here.
    fn unconfigured_retry_after(&self) -> Duration;

    /// Accepts a job. Success means that the job is stored.
    ///
    /// # Errors
    ///
    /// Returns a code whose outcome is `NotRun` only if the job is not stored and never will be.
    fn submit(
        &self,
        job: JobId,
        queue: &Queue,
        spec: Spec,
        within: Duration,
    ) -> impl Future<Output = Result<(), Rejection>> + Send;

    /// Returns the state of a job.
    fn state(&self, job: JobId) -> impl Future<Output = Result<State, Rejection>> + Send;

    /// Cancels a job. Success means that the cancellation is stored or that the job had already ended.
    fn cancel(&self, job: JobId) -> impl Future<Output = Result<(), Rejection>> + Send;

    /// Returns the number of the queue's jobs of which no task has started.
    fn pending(&self, queue: &Queue) -> impl Future<Output = Result<u32, Rejection>> + Send;

    /// Records each answer in metrics and logs, including answers to requests that reached none of the other methods.
    fn record_response(&self, request: Request, outcome: Result<(), &Rejection>, took: Duration);
}
