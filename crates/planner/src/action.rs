//! Actions that a planner asks its caller to carry out.

use std::borrow::Cow;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_ports::executor::Heartbeat;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::RolloutNumber;

use crate::event::BatchNumber;
use crate::records::record::Record;

/// A change of the store, applied once and only while the cell is owned.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The record of a job has changed.
    Progress {
        /// The job.
        job: JobId,
        /// Its new record.
        record: Record,
    },
    /// A job has ended; the store keeps only its final state.
    End {
        /// The job.
        job: JobId,
        /// The final state.
        state: State,
    },
}

/// A decision to be logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// The event code.
    pub event: Event,
    /// The job concerned.
    pub job: Option<JobId>,
    /// The run concerned.
    pub run: Option<Run>,
    /// The worker concerned.
    pub worker: Option<id::Instance>,
    /// Why it was decided, as text for the reader of the log.
    pub detail: Cow<'static, str>,
}

/// An action to carry out. The result of each command to a worker is reported back in one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start {
        /// The worker.
        target: Target,
        /// The start command.
        start: Start,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        target: Target,
        /// The run.
        run: Run,
    },
    /// Limit the speed of a run.
    Throttle {
        /// The worker.
        target: Target,
        /// The run.
        run: Run,
        /// The speed limit, in percent of full speed.
        percent: u8,
    },
    /// Renew a worker's lease and request a report on its runs.
    Heartbeat {
        /// The worker.
        target: Target,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Query which of the workers the advisory service permits for a step.
    Advise {
        /// The step.
        step: StepId,
        /// The candidate workers.
        workers: Vec<id::Instance>,
        /// Timeout of the query.
        timeout: Duration,
    },
    /// Start maintenance of a machine.
    StartMaintenance {
        /// The rollout.
        rollout: RolloutNumber,
        /// The machine.
        machine: Name,
    },
    /// Store the progress of a maintenance rollout and report it to the operator.
    SaveRollout {
        /// The rollout.
        rollout: RolloutNumber,
        /// The progress that the operator sees.
        progress: Progress,
        /// The machines whose maintenance has started.
        started: Vec<Name>,
    },
    /// Write to the store, retrying until the changes are durable, then send
    /// [`crate::event::Event::Written`]. A change that the store refuses is reported by
    /// [`crate::event::Event::WriteRefused`] before.
    Write {
        /// Number of the write.
        batch: BatchNumber,
        /// The changes, at most one per job.
        changes: Vec<Change>,
    },
    /// Log a decision.
    Note(Note),
}

impl Action {
    /// Returns the name of the kind of action, for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Action::Start { .. } => "start",
            Action::Stop { .. } => "stop",
            Action::Throttle { .. } => "throttle",
            Action::Heartbeat { .. } => "heartbeat",
            Action::Advise { .. } => "advise",
            Action::StartMaintenance { .. } => "maintenance",
            Action::SaveRollout { .. } => "rollout",
            Action::Write { .. } => "write",
            Action::Note(_) => "note",
        }
    }
}
