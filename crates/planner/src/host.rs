//! A run that takes, or may take, room on a worker.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;

use crate::load::Deviation;
use crate::measurement::Headroom;

/// Pace of a run that works at its full speed, in percent.
pub(crate) const FULL_SPEED: u8 = 100;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Its job has ended, or another run of the task has finished it.
    Obsolete,
    /// Its worker is leaving.
    WorkerDraining,
    /// It makes no progress.
    Stalled,
    /// A start that was not answered met a refusal; it must not be carried out later.
    Unsettled,
    /// The worker's account doesn't hold it any more.
    Missing,
    /// Another member of its gang has ended.
    Gang,
    /// It slows a task that serves more than its pace can mend.
    Interference,
}

impl Reason {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Reason::Obsolete => "needless",
            Reason::WorkerDraining => "its worker is leaving",
            Reason::Stalled => "no progress",
            Reason::Unsettled => "an unanswered start was refused when repeated",
            Reason::Missing => "missing from the worker's account",
            Reason::Gang => "another member of its gang has ended",
            Reason::Interference => "it slows a task that serves",
        }
    }
}

/// How far an order about a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// To be sent at this time.
    Due(Time),
    /// Sent and not answered yet.
    Sent,
    /// Carried out; answered at this time.
    Done(Time),
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its place is on its way to the store, as part of this version of the job.
    Intended { version: u64 },
    /// The start is ordered, `unsettled` once an answer has stayed out.
    Starting { command: Command, unsettled: bool },
    /// The worker has said that it runs, at this time for the first time.
    Running { since: Time },
    /// The stop is ordered.
    Stopping { reason: Reason, command: Command },
    /// An earlier owner placed it; the worker's first answer tells.
    Inherited,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Hosted {
    pub(crate) stage: Stage,
    pub(crate) demand: Amount,
    pub(crate) best_effort: bool,
    pub(crate) long_running: bool,
    pub(crate) checkpointing: bool,
    pub(crate) image: Option<Arc<str>>,
    /// Bound on the tail of a task that serves.
    pub(crate) latency_target: Option<Duration>,
    pub(crate) estimate: Duration,
    pub(crate) checkpoint: Option<id::Checkpoint>,
    /// Crashes that are counted against its task, until this run has cleared it.
    pub(crate) crashes: usize,
    /// Whether its start was repeated to see whether its worker lives.
    pub(crate) probed: bool,
    /// When its start was first sent by this owner.
    pub(crate) start_first_sent: Option<Time>,
    /// Starts of it that no answer has settled: the worker's next incarnation may carry them out.
    pub(crate) starts_in_flight: u32,
    /// Whether the answer to one of them has stayed out, so that the store has to hold that it is outstanding.
    pub(crate) start_unanswered: bool,
    /// When the newest start of it was sent, by this owner or at the latest by an earlier one.
    pub(crate) start_last_sent: Time,
    /// Whether it was begun on an earlier incarnation, if at all, and this one hasn't accounted for it yet.
    pub(crate) carried_over: bool,
    pub(crate) progress: u8,
    /// `progress` when it was first listed.
    pub(crate) first_progress: u8,
    /// When `progress` last rose.
    pub(crate) progressed_at: Time,
    pub(crate) measurement: u32,
    /// What is expected of a serving task's headroom, once it was read.
    pub(crate) headroom: Option<Headroom>,
    /// How that differs from its step's.
    pub(crate) deviation: Deviation,
    /// Since when a serving task's tail has been over its target.
    pub(crate) over_target_since: Option<Time>,
    /// Since when a filling task has been slowed down much.
    pub(crate) throttled_since: Option<Time>,
    /// Since when the worker has listed it neither as running nor as ended. It may be ending, which
    /// takes a while.
    pub(crate) missing_since: Option<Time>,
    /// The pace that it should have, in percent.
    pub(crate) speed_limit: u8,
    /// The pace that the worker has confirmed; none while it isn't known, as after an order without
    /// an answer, or where an earlier owner may have ordered one.
    pub(crate) confirmed_speed_limit: Option<u8>,
    pub(crate) throttle_in_flight: bool,
}

impl Hosted {
    pub(crate) fn new(step: &Step, stage: Stage, now: Time) -> Hosted {
        Hosted {
            stage,
            demand: step.demand,
            best_effort: step.fills,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            image: step.image.clone(),
            latency_target: step.target,
            estimate: step.estimate,
            checkpoint: None,
            crashes: 0,
            probed: false,
            start_first_sent: None,
            starts_in_flight: 0,
            start_unanswered: false,
            start_last_sent: Time::ZERO,
            carried_over: false,
            progress: 0,
            first_progress: 0,
            progressed_at: now,
            measurement: 0,
            headroom: None,
            deviation: Deviation::default(),
            over_target_since: None,
            throttled_since: None,
            missing_since: None,
            speed_limit: FULL_SPEED,
            confirmed_speed_limit: Some(FULL_SPEED),
            throttle_in_flight: false,
        }
    }

    /// A run that the worker lists though nobody knows its job any more. It may take all of the
    /// worker's room, so it counts as that until it is gone.
    pub(crate) fn orphan(capacity: Amount, stage: Stage, now: Time) -> Hosted {
        Hosted::new(&Step { demand: capacity, ..Step::default() }, stage, now)
    }

    /// A run that an earlier owner placed.
    pub(crate) fn inherited(step: &Step, now: Time) -> Hosted {
        let hosted = Hosted::new(step, Stage::Inherited, now);
        Hosted { confirmed_speed_limit: None, start_last_sent: now, ..hosted }
    }

    /// Tells whether its pace has to be ordered.
    pub(crate) fn needs_throttle(&self) -> bool {
        self.best_effort
            && self.confirmed_speed_limit != Some(self.speed_limit)
            && !self.throttle_in_flight
    }

    /// Tells whether its start is due once more, after an answer has stayed out.
    pub(crate) fn is_start_retry(&self) -> bool {
        matches!(self.stage, Stage::Starting { command: Command::Due(_), unsettled: true })
    }

    pub(crate) fn is_latency_critical(&self) -> bool {
        self.latency_target.is_some()
    }

    /// What it takes from the worker's room.
    pub(crate) fn reserved(&self) -> Amount {
        reserved(self.demand, self.best_effort)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. })
    }
}

/// What a task takes from a worker's room: tasks that fill reserve no processors.
pub(crate) fn reserved(demand: Amount, fills: bool) -> Amount {
    let cpu_milli = if fills { 0 } else { demand.cpu_milli };
    Amount { cpu_milli, ..demand }
}
