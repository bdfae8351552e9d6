//! The state of a worker at the owner of its cell.

use std::net::SocketAddr;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::entity;
use cowslipchute_base::id;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker;
use smallvec::SmallVec;

use crate::event::Sequence;
use crate::failure;
use crate::job::JobId;
use crate::measurement::Ended;
use crate::measurement::Measurement;
use crate::measurement::Throttle;
use crate::preempt::Reservation;
use crate::stage::Stage;

pub(crate) type WorkerId = entity::Id<Worker>;

/// The allocation of part of a worker to a run that is, or may be, on it.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) job: JobId,
    pub(crate) task: TaskIndex,
    pub(crate) attempt: Attempt,
    pub(crate) amount: Amount,
    pub(crate) stage: Stage,
    /// The time at which the run was placed or found; replaced by the time of its confirmation.
    pub(crate) since: Time,
    /// The time at which its eviction was decided; zero before that.
    pub(crate) evicted_at: Time,
    pub(crate) measurement: Measurement,
    /// The throttle before the current one.
    pub(crate) previous_throttle: Option<Throttle>,
    /// Whether a command about it has to be sent, for the first time or again.
    pub(crate) command_pending: bool,
    /// Whether the exchange in flight contains a command about it.
    pub(crate) command_in_flight: bool,
    /// Number of exchanges with a command about it that may have reached the worker.
    pub(crate) sends: u32,
    /// Whether the exchange in flight contains its start command.
    pub(crate) start_in_flight: bool,
    /// The time until which a start command that was not answered may still be executed.
    pub(crate) late_start_until: Time,
}

impl Allocation {
    /// Returns `true` if the run's start has certainly never reached the worker.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self.stage, Stage::Starting(_)) && self.sends == 0
    }
}

/// A deferred acknowledgement: while a late exchange may still repeat the run's start, the worker
/// has to retain the result, by which it recognises the run.
#[derive(Clone, Debug)]
pub(crate) struct Ack {
    pub(crate) run: worker::Run,
    pub(crate) from: Time,
}

/// The exchange in flight.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) sequence: Sequence,
    pub(crate) acks: Vec<worker::Run>,
    /// Whether it belongs to an ended ownership or incarnation of the worker, so that its report is
    /// ignored.
    pub(crate) stale: bool,
}

impl Flight {
    /// Creates the flight of an exchange that was sent to an earlier incarnation of the worker.
    pub(crate) fn stale(sequence: Sequence) -> Flight {
        Flight { sequence, acks: Vec::new(), stale: true }
    }
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) stamp: u64,
    pub(crate) received: Time,
}

/// The fencing state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fence {
    /// It may have runs that we don't know of.
    Unfenced,
    /// It has seen our epoch, and we have its complete inventory.
    Fenced,
    /// It can't be reached and every lease that it may hold has expired.
    Expired,
}

/// The health of a worker as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Health {
    /// Its inventory is not known to the owner yet.
    Unfenced,
    /// It takes tasks.
    Healthy,
    /// It did not answer; its tasks may be running.
    Suspect,
    /// Too many of its runs failed.
    Quarantined,
    /// It is leaving: it finishes its runs and gets no new ones.
    Leaving,
    /// The platform has ended it.
    Gone,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: id::Instance,
    pub(crate) incarnation: Incarnation,
    /// Its ended incarnations, which a lagging list may still show.
    pub(crate) ended_incarnations: SmallVec<[Incarnation; 2]>,
    pub(crate) address: SocketAddr,
    pub(crate) rack: u16,
    pub(crate) capacity: Amount,
    pub(crate) leaving: bool,
    pub(crate) fence: Fence,
    pub(crate) health: Health,
    pub(crate) allocations: Vec<Allocation>,
    pub(crate) committed: Amount,
    /// Its record of failures.
    pub(crate) history: failure::History,
    /// Runs that ended recently.
    pub(crate) ended_runs: Vec<Ended>,
    /// The time at which its runs were last throttled, evicted or unthrottled for interference.
    pub(crate) mitigated: Time,
    /// Capacity reserved for a job that preempted runs on it.
    pub(crate) reservation: Option<Reservation>,
    /// The inventory version that we have; zero for none.
    pub(crate) version: u64,
    pub(crate) flight: Option<Flight>,
    pub(crate) acks: Vec<worker::Run>,
    /// Results that may be acknowledged later.
    pub(crate) deferred_acks: Vec<Ack>,
    pub(crate) reading: Option<Reading>,
    /// The time by which every lease that it may hold has expired.
    pub(crate) lease_expiry: Time,
    /// The number of the membership write from which on every later owner knows of this
    /// incarnation; `None` before a list has shown it.
    pub(crate) known_from: Option<u64>,
    /// Number of consecutive failed exchanges.
    pub(crate) failed_exchanges: u32,
    /// The time of the next exchange if no command has to be sent.
    pub(crate) next_exchange: Time,
    /// The time before which nothing is sent, after an exchange that failed or confirmed nothing.
    pub(crate) backoff_until: Time,
    /// The time of its entry in the cell's timers.
    pub(crate) timer: Option<Time>,
    /// Whether it is among the workers touched in this step.
    pub(crate) touched: bool,
}

impl Worker {
    pub(crate) fn find(&self, job: JobId, task: TaskIndex, attempt: Attempt) -> Option<usize> {
        self.allocations.iter().position(|allocation| {
            allocation.task == task && allocation.job == job && allocation.attempt == attempt
        })
    }

    /// Returns the free capacity.
    pub(crate) fn free(&self) -> Amount {
        self.capacity.minus(self.committed)
    }

    /// Returns `true` if a command has to be sent before the next heartbeat.
    pub(crate) fn has_commands(&self) -> bool {
        self.allocations.iter().any(|allocation| allocation.command_pending)
    }

    /// Clears all state that belongs to an ended ownership or incarnation.
    pub(crate) fn reset(&mut self, now: Time) {
        self.fence = Fence::Unfenced;
        self.reservation = None;
        self.ended_runs.clear();
        self.mitigated = Time::ZERO;
        self.history = failure::History::default();
        self.version = 0;
        self.acks.clear();
        self.deferred_acks.clear();
        self.reading = None;
        if let Some(flight) = &mut self.flight {
            flight.stale = true;
        }
        self.failed_exchanges = 0;
        self.next_exchange = now;
        self.backoff_until = now;
        self.lease_expiry = Time::ZERO;
        self.health = Health::Unfenced;
    }
}
