//! Runs that occupy, or may occupy, capacity of a worker.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;

use crate::colocation::forecast_error::Curve;
use crate::colocation::forecast_error::Record;
use crate::colocation::load::Deviation;
use crate::colocation::measurement::Headroom;
use crate::placement::pin::START_EXPIRY;

/// Speed limit of a run that isn't throttled, in percent.
pub(crate) const FULL_SPEED: u8 = 100;
/// Fraction of its CPU that a run without a speed limit uses at least.
const FULL_USE_FRACTION: f64 = 0.9;

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// Its job has ended, or another run has completed its task.
    Obsolete,
    /// Its worker is draining.
    WorkerDraining,
    /// It makes no progress.
    Stalled,
    /// Its start went unanswered and was refused when repeated; the first start must not be carried
    /// out later.
    Unsettled,
    /// The worker's report no longer lists it.
    Missing,
    /// Another member of its gang has ended.
    Gang,
    /// It interferes with a latency-critical task more than throttling can correct.
    Interference,
}

impl Reason {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Reason::Obsolete => "needless",
            Reason::WorkerDraining => "its worker is leaving",
            Reason::Stalled => "no progress",
            Reason::Unsettled => "an unanswered start was refused when repeated",
            Reason::Missing => "missing from the worker's report",
            Reason::Gang => "another member of its gang has ended",
            Reason::Interference => "it slows a task that serves",
        }
    }
}

/// State of a command about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// To be sent at this time.
    Due(Time),
    /// Sent, without a response so far.
    Sent,
    /// Carried out; the response came at this time.
    Done(Time),
}

/// Stage of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its assignment is being written to the store, as part of this version of the job.
    Intended { version: u64 },
    /// The start is due or sent; `unsettled` once a start went unanswered, so that its outcome is
    /// unknown.
    Starting { command: Command, unsettled: bool },
    /// The worker has confirmed that it runs, first at this time.
    Running { since: Time },
    /// The stop is due, sent or confirmed.
    Stopping { reason: Reason, command: Command },
    /// A previous owner assigned it; the worker's first report shows whether it runs.
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
    /// Bound on the tail latency of a latency-critical task.
    pub(crate) latency_target: Option<Duration>,
    pub(crate) estimate: Duration,
    /// Queue of its job, if durations are learnt.
    pub(crate) queue: Option<Arc<str>>,
    /// Whether this owner has assigned it with all of its work to do.
    pub(crate) is_whole: bool,
    /// Whether an earlier run of its task was given up on another worker, if durations are learnt.
    pub(crate) was_moved: bool,
    /// Time that it would have worked at full speed until `paced_at`.
    pub(crate) full_speed_time: Duration,
    /// When its speed limit last changed.
    pub(crate) paced_at: Time,
    pub(crate) checkpoint: Option<id::Checkpoint>,
    /// Number of crashes counted against its task, until this run has cleared the task.
    pub(crate) crashes: usize,
    /// Whether its start was repeated as a liveness probe of its worker.
    pub(crate) probed: bool,
    /// Whether its incarnation has reported it after the starts of previous owners had expired, or
    /// a previous owner has recorded it as settled.
    pub(crate) listed: bool,
    /// Whether a write that records it as settled has been planned.
    pub(crate) settlement_planned: bool,
    /// When its start was first sent by this owner.
    pub(crate) start_first_sent: Option<Time>,
    /// Number of its starts whose outcome is unknown: the worker's next incarnation may carry them
    /// out.
    pub(crate) starts_in_flight: u32,
    /// When its start was answered, if it isn't known by which of two successive incarnations
    /// ([`crate::workers::responder`]).
    pub(crate) undetermined_since: Option<Time>,
    /// Whether one of its starts went unanswered, so that the store has to hold it as outstanding.
    pub(crate) start_unanswered: bool,
    /// Number of times that its start was sent. The owner that assigned a run may have sent one
    /// before this owner took over.
    pub(crate) starts_sent: u32,
    /// When its latest start was sent. For a start of a previous owner, the latest possible time.
    pub(crate) start_last_sent: Time,
    /// When the starts of previous owners have expired.
    pub(crate) inherited_until: Time,
    /// Whether it was started on an earlier incarnation, if at all, and the current one hasn't
    /// reported it yet.
    pub(crate) carried_over: bool,
    /// Progress that the worker last reported, in percent.
    pub(crate) progress: u8,
    /// `progress` when it was first reported.
    pub(crate) first_progress: u8,
    /// When `progress` last changed, or the run got a new speed limit.
    pub(crate) progressed_at: Time,
    /// Last reported tail latency in milliseconds of a latency-critical task, or CPU use in
    /// millicores of any other task.
    pub(crate) measurement: u32,
    /// Headroom forecast of a latency-critical task, once it was measured.
    pub(crate) headroom: Option<Headroom>,
    /// Forecast of that headroom over the next seconds, if the feature is on.
    pub(crate) curve: Option<Box<Curve>>,
    /// Its earlier forecasts, to be compared with measurements.
    pub(crate) forecasts: Option<Box<Record>>,
    /// Deviation of its load from that of its step.
    pub(crate) deviation: Deviation,
    /// Since when a latency-critical task has violated its latency target.
    pub(crate) over_target_since: Option<Time>,
    /// Since when a best-effort task has been throttled heavily.
    pub(crate) throttled_since: Option<Time>,
    /// When the last heartbeat was sent whose report listed it as running.
    pub(crate) listed_at: Option<Time>,
    /// Since when the worker has reported it neither as running nor as ended
    /// ([`crate::workers::missing`]).
    pub(crate) missing_since: Option<Time>,
    /// The speed limit that it should have, in percent.
    pub(crate) speed_limit: u8,
    /// The speed limit that the worker has confirmed; `None` while it is unknown, as after an
    /// unanswered command, or when a previous owner may have set one.
    pub(crate) confirmed_speed_limit: Option<u8>,
    /// Whether a speed limit was sent and its response is outstanding.
    pub(crate) throttle_in_flight: bool,
}

impl Hosted {
    pub(crate) fn new(step: &Step, stage: Stage, now: Time) -> Hosted {
        Hosted {
            stage,
            demand: step.demand,
            best_effort: step.best_effort,
            long_running: step.long_running,
            checkpointing: step.checkpointing,
            image: step.image.clone(),
            latency_target: step.latency_target,
            estimate: step.estimate,
            queue: None,
            is_whole: false,
            was_moved: false,
            full_speed_time: Duration::ZERO,
            paced_at: Time::ZERO,
            checkpoint: None,
            crashes: 0,
            probed: false,
            listed: false,
            settlement_planned: false,
            start_first_sent: None,
            starts_in_flight: 0,
            undetermined_since: None,
            start_unanswered: false,
            starts_sent: 0,
            start_last_sent: Time::ZERO,
            inherited_until: Time::ZERO,
            carried_over: false,
            progress: 0,
            first_progress: 0,
            progressed_at: now,
            measurement: 0,
            headroom: None,
            curve: None,
            forecasts: None,
            deviation: Deviation::default(),
            over_target_since: None,
            throttled_since: None,
            listed_at: None,
            missing_since: None,
            speed_limit: FULL_SPEED,
            confirmed_speed_limit: Some(FULL_SPEED),
            throttle_in_flight: false,
        }
    }

    /// Returns a run that the worker reports although its job is unknown. It may use the whole
    /// worker, so it is counted with the worker's capacity until it is gone.
    pub(crate) fn orphan(capacity: Amount, stage: Stage, now: Time) -> Hosted {
        Hosted::new(&Step { demand: capacity, ..Step::default() }, stage, now)
    }

    /// Returns a run that a previous owner assigned.
    pub(crate) fn inherited(step: &Step, now: Time) -> Hosted {
        let hosted = Hosted::new(step, Stage::Inherited, now);
        let inherited_until = now + START_EXPIRY;
        Hosted {
            confirmed_speed_limit: None,
            starts_sent: 1,
            start_last_sent: now,
            inherited_until,
            ..hosted
        }
    }

    /// Returns `true` if its speed limit has to be sent.
    pub(crate) fn needs_throttle(&self) -> bool {
        self.best_effort
            && self.confirmed_speed_limit != Some(self.speed_limit)
            && !self.throttle_in_flight
    }

    /// Returns how long a run has worked, with the time under a speed limit counted by the limit.
    pub(crate) fn worked(&self, now: Time) -> Duration {
        let Stage::Running { since } = self.stage else { return Duration::ZERO };
        let percent = self.confirmed_speed_limit.unwrap_or(self.speed_limit);
        let span = now.saturating_sub(since.max(self.paced_at));
        self.full_speed_time + span.mul_f64(f64::from(percent) / f64::from(FULL_SPEED))
    }

    /// Records that the worker has answered a change of the speed limit; `None` if it hasn't.
    pub(crate) fn confirm_speed_limit(&mut self, now: Time, percent: Option<u8>) {
        self.full_speed_time = self.worked(now);
        self.paced_at = now;
        self.confirmed_speed_limit = percent;
    }

    /// Takes a best-effort run whose speed limit is unknown for unlimited if it uses nearly all the
    /// CPU that it asks for. After a takeover thousands of runs need no command then.
    pub(crate) fn infer_full_speed(&mut self) {
        let is_unknown = self.confirmed_speed_limit.is_none() && !self.throttle_in_flight;
        let used = f64::from(self.measurement);
        let is_full = used >= f64::from(self.demand.cpu_milli) * FULL_USE_FRACTION;
        if self.best_effort && is_unknown && is_full {
            self.confirmed_speed_limit = Some(FULL_SPEED);
        }
    }

    /// Records that the worker has listed the run. If its start was sent only once, it has been
    /// carried out and is no longer in flight, whether or not it was answered.
    pub(crate) fn settle_listed_start(&mut self) {
        if self.starts_sent == 1 {
            self.starts_in_flight = 0;
        }
    }

    /// Returns `true` if its start was sent only once, so that one incarnation at most has carried it
    /// out. A previous owner may have sent more.
    pub(crate) fn has_single_start(&self) -> bool {
        self.starts_sent == 1 && self.inherited_until.is_zero()
    }

    /// Returns `true` if its start is due again after it went unanswered.
    pub(crate) fn is_start_retry(&self) -> bool {
        matches!(self.stage, Stage::Starting { command: Command::Due(_), unsettled: true })
    }

    /// Returns `true` if this owner has sent its start, and neither an answer nor a report has shown
    /// that it has begun.
    pub(crate) fn awaits_start_answer(&self) -> bool {
        let is_waiting = matches!(self.stage, Stage::Starting { .. } | Stage::Inherited);
        is_waiting && self.start_first_sent.is_some()
    }

    pub(crate) fn is_latency_critical(&self) -> bool {
        self.latency_target.is_some()
    }

    /// Returns the amount that it reserves on its worker.
    pub(crate) fn reserved(&self) -> Amount {
        reserved(self.demand, self.best_effort)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Stopping { .. })
    }
}

/// Returns the amount that a task reserves on a worker. Best-effort tasks reserve no CPU.
pub(crate) fn reserved(demand: Amount, fills: bool) -> Amount {
    let cpu_milli = if fills { 0 } else { demand.cpu_milli };
    Amount { cpu_milli, ..demand }
}
