//! What a planner wants done.

use std::borrow::Cow;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_ports::executor::Hold;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::WaveNumber;

use crate::event::BatchNumber;
use crate::record::Record;

/// One change of the store, which its writer makes once and only as the owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A job has come further.
    Progress {
        /// The job.
        job: JobId,
        /// Replaces its record.
        record: Record,
    },
    /// A job has ended; nothing but its end is kept.
    End {
        /// The job.
        job: JobId,
        /// How.
        state: State,
    },
}

/// A decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// The event's number.
    pub event: Event,
    /// The job it is about.
    pub job: Option<JobId>,
    /// The run it is about.
    pub run: Option<Run>,
    /// The worker it is about.
    pub worker: Option<id::Instance>,
    /// What decided it, for a reader.
    pub detail: Cow<'static, str>,
}

/// What a planner wants done. Every order is answered by one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Order a start.
    Start {
        /// The worker.
        target: Target,
        /// The order.
        start: Start,
    },
    /// Order a stop.
    Stop {
        /// The worker.
        target: Target,
        /// The run.
        run: Run,
    },
    /// Order a pace.
    Throttle {
        /// The worker.
        target: Target,
        /// The run.
        run: Run,
        /// Share of its speed.
        percent: u8,
    },
    /// Extend a worker's deadline and ask what has become of its runs.
    Heartbeat {
        /// The worker.
        target: Target,
        /// The order.
        heartbeat: Hold,
    },
    /// Ask the advisory service which of some workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<id::Instance>,
        /// Bound on the answer.
        timeout: Duration,
    },
    /// Begin a machine's upkeep.
    StartMaintenance {
        /// The wave.
        rollout: WaveNumber,
        /// The machine.
        machine: Name,
    },
    /// Keep how far a wave is, and tell its operator.
    SaveRollout {
        /// The wave.
        rollout: WaveNumber,
        /// What the operator is told.
        progress: Progress,
        /// The machines whose upkeep has begun.
        started: Vec<Name>,
    },
    /// Write to the store until it is surely there, then say `Written`.
    Write {
        /// Number of the write.
        batch: BatchNumber,
        /// The changes, one at most for each job.
        changes: Vec<Change>,
    },
    /// Log a decision.
    Note(Note),
}
