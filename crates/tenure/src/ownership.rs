//! The ownership manager: one placer's decisions about the cells of its failure domain.
//!
//! All store failures are handled in the same way: the manager invalidates what it has read
//! (`Manager::invalidate`) and writes nothing until a read begun afterwards has returned. That
//! read resolves writes whose answers were lost, shows cells that were taken while this process
//! was stalled or cut off, and shows that the store is reachable again.

mod cells;
mod peers;
mod read;
mod release;
mod status;
mod take;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;
use xxhash_rust::xxh3::xxh3_64;

use crate::action::Action;
use crate::event::Event;
use crate::event::Ticket;
use crate::key;
use crate::lease::Lease;
use crate::lease::Liveness;
use crate::lease::Tickets;
use crate::owner::Owner;
use crate::plan::CellIndex;
use crate::plan::Plan;
use crate::snapshot::Snapshot;
use crate::stage::Stage;

pub use status::Status;

use read::Reader;

/// A gap between steps longer than the lease divided by this counts as a stall.
const STALL_FRACTION: u32 = 2;
/// The manager requests a step at least at an interval of the lease divided by this.
const STEP_FRACTION: u32 = 8;

/// Settings of an ownership manager.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: id::Instance,
    /// The incarnation of the instance.
    pub incarnation: id::Incarnation,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The duration of its lease.
    pub lease: Duration,
    /// Maximum number of workers in a cell, unless a single rack has more.
    pub max_cell_workers: usize,
    /// Delay per rank before a placer takes a free cell. It only saves conflicting writes.
    pub rank_delay: Duration,
    /// How long another placer must rank first for a cell before the cell is handed over to it.
    pub handover_delay: Duration,
    /// Interval at which a previous owner is asked whether it has stopped.
    pub query_interval: Duration,
}

/// The purpose of a commit in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Plan,
    Take(CellIndex),
    Release(CellIndex),
}

/// The progress of the drain before the process exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drain {
    No,
    Requested,
    Done,
}

/// Decides which cells of a failure domain a placer owns.
#[derive(Clone, Debug)]
pub struct Manager {
    settings: Settings,
    liveness: Liveness,
    view: Option<list::View>,
    /// The placers of this domain in `view`. Most members are workers, and every step needs only
    /// the placers.
    placers: Vec<list::Member>,
    snapshot: Option<Snapshot>,
    plan: Plan,
    lease: Lease,
    reader: Reader,
    tickets: Tickets,
    commits: BTreeMap<Ticket, Purpose>,
    stages: BTreeMap<CellIndex, Stage>,
    operations: u64,
    /// Time of the last step.
    last: Option<Time>,
    drain: Drain,
}

impl Manager {
    /// Opens a manager that has read nothing and owns no cell.
    pub fn open(settings: Settings) -> Manager {
        let key = key::alive(&settings.domain, &settings.instance, settings.incarnation);
        let liveness = Liveness { key, value: settings.address.to_string().into_bytes() };
        Manager {
            liveness,
            view: None,
            placers: Vec::new(),
            snapshot: None,
            plan: Plan::default(),
            lease: Lease::open(settings.lease),
            reader: Reader::open(),
            tickets: Tickets::default(),
            commits: BTreeMap::new(),
            stages: BTreeMap::new(),
            operations: 0,
            last: None,
            drain: Drain::No,
            settings,
        }
    }

    /// Handles one event and appends the resulting actions in order.
    ///
    /// `now` must not decrease from one call to the next.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.check_stall(now);
        match event {
            Event::Tick => {}
            Event::Listed { view } => self.apply_list(view, actions),
            Event::Changed => self.reader.request(now),
            Event::DomainRead { ticket, outcome } => {
                self.domain_read(now, ticket, outcome, actions)
            }
            Event::Committed { ticket, outcome } => self.committed(now, ticket, outcome, actions),
            Event::Granted { ticket, outcome } => {
                self.store_call_ended(now, outcome.as_ref().err(), actions);
                self.lease.granted(now, ticket, outcome);
            }
            Event::Renewed { ticket, outcome } => {
                self.store_call_ended(now, outcome.as_ref().err(), actions);
                self.lease.renewed(now, ticket, outcome);
            }
            Event::StoppedQueried { call, cell, epoch } => {
                self.stopped_queried(call, &cell, epoch, actions)
            }
            Event::StopConfirmed { cell, epoch, owner } => {
                self.stop_confirmed(&cell, epoch, &owner, actions);
            }
            Event::HigherEpoch { cell, epoch } => self.higher_epoch(now, &cell, epoch, actions),
            Event::Quiesced { cell, epoch } => self.quiesced(&cell, epoch, actions),
            Event::Drain => self.drain = self.drain.requested(),
        }
        self.advance(now, actions);
        self.last = Some(now);
    }

    /// Performs everything that is due now.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.drain == Drain::Done {
            return;
        }
        self.lease.renew(now, &mut self.tickets, actions);
        self.begin_read(now, actions);
        if self.reader.is_fresh() {
            self.lease.obtain(now, &self.liveness, &mut self.tickets, actions);
            self.extend_plan(actions);
            self.start_releases(now, actions);
            self.write_releases(actions);
            self.take_cells(now, actions);
        }
        self.query_previous_owners(now, actions);
        self.log_isolation(now, actions);
        self.finish_drain(actions);
    }

    /// Returns `true` if the process must not step its cells: it was stalled for so long that
    /// another placer may have taken them, and the read that would show this has not returned yet.
    pub fn is_suspended(&self) -> bool {
        self.reader.is_suspended()
    }

    /// Returns `true` if the process must not step its cells at `now`, also because of a stall that
    /// [`Manager::step`] has not seen yet.
    pub fn is_suspended_at(&self, now: Time) -> bool {
        self.is_suspended() || self.is_stall(now)
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn next_due(&self, now: Time) -> Time {
        let idle = self.last.unwrap_or(now) + self.settings.lease / STEP_FRACTION;
        let mut due = idle.min(self.reader.next_due().unwrap_or(idle));
        due = due.min(self.lease.next_due().filter(|_| self.reader.is_fresh()).unwrap_or(idle));
        for stage in self.stages.values() {
            due = due.min(self.stage_due(now, stage).unwrap_or(idle));
        }
        due
    }

    /// Returns the assignment of racks to cells.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns `true` if the platform's list shows this incarnation.
    pub fn is_listed(&self) -> bool {
        self.own_member().is_some()
    }

    /// Returns `true` if the store was read successfully since its last failure.
    pub fn reaches_store(&self) -> bool {
        self.reader.is_fresh()
    }

    fn own_member(&self) -> Option<&list::Member> {
        let members = &self.view.as_ref()?.members;
        members.iter().find(|member| self.is_own(member))
    }

    fn is_own(&self, member: &list::Member) -> bool {
        member.instance == self.settings.instance && member.incarnation == self.settings.incarnation
    }

    /// Returns this incarnation as it is written into claims.
    fn this_owner(&self) -> Owner {
        Owner {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
            list_version: self.view.as_ref().map_or(0, |view| view.version),
        }
    }

    /// Returns a unique identity for the next write.
    fn next_operation(&mut self) -> id::Operation {
        self.operations += 1;
        let identity = format!("{}/{}", self.settings.instance, self.settings.incarnation);
        (u128::from(xxh3_64(identity.as_bytes())) << 64) | u128::from(self.operations)
    }

    fn is_stall(&self, now: Time) -> bool {
        let gap = now.saturating_sub(self.last.unwrap_or(now));
        gap > self.settings.lease / STALL_FRACTION
    }

    /// Invalidates everything known about the store after a stall, until the store is read again.
    fn check_stall(&mut self, now: Time) {
        if !self.is_stall(now) {
            return;
        }
        self.invalidate(now);
        self.reset_outranked();
        if self.stages.values().any(|stage| stage.active().is_some()) {
            self.reader.suspend();
        }
    }

    /// Updates the availability of the store from the outcome of a store call.
    fn store_call_ended(
        &mut self,
        now: Time,
        error: Option<&kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        match error {
            None | Some(kv::Error::LeaseExpired | kv::Error::Compacted(_)) => {
                self.store_answered(now, actions);
            }
            // The caller resolves a lost answer; it doesn't mean that the store is unavailable.
            Some(kv::Error::Unknown(_)) => self.reader.require_reread(now),
            Some(error) => self.store_failed(now, error, actions),
        }
    }

    fn log(&self, event: LogEvent, subject: &str, reason: String, actions: &mut Vec<Action>) {
        actions.push(Action::Note { event, subject: subject.into(), reason });
    }
}

impl Drain {
    fn requested(self) -> Drain {
        match self {
            Drain::No | Drain::Requested => Drain::Requested,
            Drain::Done => Drain::Done,
        }
    }
}
