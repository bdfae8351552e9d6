//! Decisions about waiting service tasks, and the reasons that follow from them.
//!
//! Many gates may keep a service task waiting, and the free capacity alone doesn't show which one
//! did. So each gate returns its decision, which is kept with the step for the log
//! ([`crate::service::service_wait`]).

use std::fmt;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;
use smallvec::SmallVec;

use crate::capacity::idle::Spare;
use crate::placement::fit::Misfit;
use crate::placement::room::Room;
use crate::placement::room::misfit_text;
use crate::planner::Planner;
use crate::queue::task::Task;

/// A gate that kept a step's tasks waiting in a placement pass.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Gate {
    /// A step with this demand, no larger than its own, had found no worker in the same pass.
    Covered(Amount),
    /// The rate limit on starts.
    RateLimit,
    /// The window of starts in flight.
    StartWindow,
    /// The reserve for short tasks, and what was left of the capacity that it allows.
    Reserve(Spare),
    /// No worker on which a crash can be attributed.
    Probation,
    /// Not all members of the gang are ready.
    GangMembers,
    /// No room for the whole gang.
    GangRoom,
    /// No worker that fits.
    NoWorker,
}

/// What became of a step's tasks in a placement pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Number of tasks that were placed.
    pub(crate) placed: u32,
    /// The gate at which the first task stopped that was neither placed nor on probation.
    pub(crate) gate: Option<Gate>,
    /// Tasks that found no worker for their probation.
    pub(crate) on_probation: SmallVec<[id::TaskIndex; 4]>,
}

impl Outcome {
    pub(crate) fn refused(self, gate: Gate) -> Outcome {
        Outcome { gate: Some(gate), ..self }
    }
}

/// The decision about a step in a placement pass, with the workers that it was made for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decision {
    /// Time of the pass.
    pub(crate) at: Time,
    /// Number of open workers of the step's service.
    pub(crate) open: usize,
    /// Number of these that the advisory service permits.
    pub(crate) permitted: usize,
    /// Number of these that the step's rack preference leaves.
    pub(crate) near: usize,
    /// Whether most of the cell was free, so that nothing yields to service tasks.
    pub(crate) mostly_free: bool,
    pub(crate) outcome: Outcome,
}

impl Decision {
    pub(crate) fn open(at: Time, mostly_free: bool) -> Decision {
        Decision { at, mostly_free, ..Decision::default() }
    }

    /// Returns how far advice and the rack preference narrow the open workers down.
    pub(crate) fn narrowing(&self) -> String {
        let mut text = String::new();
        if self.permitted < self.open {
            text.push_str(&format!("; {} permitted", self.permitted));
        }
        if self.near < self.permitted {
            text.push_str(&format!("; {} in its rack", self.near));
        }
        text
    }

    pub(crate) fn refuse(&mut self, gate: Gate) {
        self.outcome.gate = Some(gate);
    }
}

/// What a task lacks to be placed by the quota ([`crate::capacity::quota`]).
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Lack {
    /// It has never run.
    Run,
    /// Service tasks would hold this many millicores too much.
    Milli(f64),
}

impl fmt::Display for Lack {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Lack::Run => f.write_str("no quota for new tasks"),
            Lack::Milli(milli) => write!(f, "the quota lacks {milli:.0} millicores"),
        }
    }
}

/// Why a service task waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reason {
    NotReady(Duration),
    Pinned(Duration),
    NoOpenWorker,
    Advice,
    Rack,
    Covered(Amount),
    RateLimit,
    StartWindow,
    Reserve(Spare, Lack),
    Probation,
    GangMembers,
    GangRoom,
    /// No open worker has room for it.
    NoRoom,
    /// Each worker with room for it has an obstacle, most often this one.
    Misfit(Misfit),
    /// There was no worker at the last pass; now there is room for it.
    NoWorker,
    /// There was no pass while it has been waiting.
    Undecided,
    /// No gate has refused it.
    None,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::NotReady(left) => write!(f, "not ready for {} ms", left.as_millis()),
            Reason::Pinned(left) => write!(f, "pinned for {} ms", left.as_millis()),
            Reason::NoOpenWorker => f.write_str("no open worker"),
            Reason::Advice => f.write_str("advice missing"),
            Reason::Rack => f.write_str("rack"),
            Reason::Covered(demand) => {
                write!(f, "covered by a refused demand of {} millicores", demand.cpu_milli)
            }
            Reason::RateLimit => f.write_str("rate limit"),
            Reason::StartWindow => f.write_str("starts in flight"),
            Reason::Reserve(spare, lack) => write!(
                f,
                "reserve ({lack}, {:.0} millicores beyond it, {:.0} for new tasks, {} slots through all windows)",
                spare.milli(),
                spare.new_milli(),
                spare.slots()
            ),
            Reason::Probation => f.write_str("probation"),
            Reason::GangMembers => f.write_str("gang members not ready"),
            Reason::GangRoom => f.write_str("no room for the gang"),
            Reason::NoRoom => f.write_str("no room"),
            Reason::Misfit(misfit) => f.write_str(misfit_text(*misfit)),
            Reason::NoWorker => f.write_str("no worker then"),
            Reason::Undecided => f.write_str("no pass yet"),
            Reason::None => f.write_str("none"),
        }
    }
}

impl Planner {
    /// Keeps the decision about a service step that has just been made, for the log.
    pub(crate) fn record_decision(&mut self, step: StepId, decision: Decision) {
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        let Some(state) = state.filter(|state| state.waiting > 0) else { return };
        self.service_waits.steps += 1;
        match &mut state.decision {
            Some(known) => **known = decision,
            None => state.decision = Some(Box::new(decision)),
        }
    }

    /// Returns why a task waits after a decision about its step.
    pub(crate) fn wait_reason(
        &self,
        id: TaskId,
        spec: &Step,
        task: &Task,
        decision: &Decision,
        room: &Room,
    ) -> Reason {
        if !task.is_ready(self.now) {
            return Reason::NotReady(task.not_before.saturating_sub(self.now));
        }
        if !spec.gang && self.is_pinned(id) {
            return Reason::Pinned(self.pinned_for(id));
        }
        match decision.outcome.gate {
            _ if decision.at < task.waiting_since => Reason::Undecided,
            Some(Gate::Covered(demand)) => Reason::Covered(demand),
            _ if decision.open == 0 => Reason::NoOpenWorker,
            _ if decision.permitted == 0 => Reason::Advice,
            _ if decision.outcome.on_probation.contains(&id.index) => Reason::Probation,
            Some(Gate::RateLimit) => Reason::RateLimit,
            Some(Gate::StartWindow) => Reason::StartWindow,
            Some(Gate::Reserve(spare)) => Reason::Reserve(spare, self.quota_lack(spec, task)),
            Some(Gate::Probation) => Reason::Probation,
            Some(Gate::GangMembers) => Reason::GangMembers,
            Some(Gate::GangRoom | Gate::NoWorker) if decision.near < decision.permitted => {
                Reason::Rack
            }
            Some(Gate::GangRoom | Gate::NoWorker) if decision.permitted < decision.open => {
                Reason::Advice
            }
            Some(Gate::GangRoom) => Reason::GangRoom,
            Some(Gate::NoWorker) => match room.obstacle() {
                Some(misfit) => Reason::Misfit(misfit),
                None if room.slots > 0 => Reason::NoWorker,
                None => Reason::NoRoom,
            },
            None => Reason::None,
        }
    }

    fn quota_lack(&self, spec: &Step, task: &Task) -> Lack {
        if task.attempt == 0 {
            return Lack::Run;
        }
        let (held, quota) = self.quota.usage();
        Lack::Milli(held + f64::from(spec.demand.cpu_milli) - quota)
    }
}
