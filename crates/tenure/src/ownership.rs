//! The keeper: one placer's decisions about the cells of its failure domain.
//!
//! Everything that goes wrong with the store ends in one place: the keeper stops trusting what it
//! knows ([`Manager::invalidate`]) and writes nothing until a look begun afterwards has come back.
//! That look settles writes whose answers were lost, shows cells that were taken while this
//! process was frozen or cut off, and tells that the store is back.

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

/// A gap between steps of more than this part of the lease counts as a pause.
const PAUSE_PART: u32 = 2;
/// The keeper wants a step at least this often, as a part of the lease.
const STEP_PART: u32 = 8;

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub instance: id::Instance,
    /// Which life of it.
    pub incarnation: id::Incarnation,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// How long its lease lasts.
    pub lease: Duration,
    /// The most workers of a cell, unless one rack has more.
    pub max_cell_workers: usize,
    /// How long each rank waits for the one before it to take a free cell. Only saves writes.
    pub rank_delay: Duration,
    /// How long another placer has to rank before us until a cell is handed to it.
    pub handover_delay: Duration,
    /// How often a former owner is asked whether it has stopped.
    pub query_interval: Duration,
}

/// What a commit on its way is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Plan,
    Take(CellIndex),
    Release(CellIndex),
}

/// Whether the process is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Drain {
    No,
    Asked,
    Done,
}

/// Decides about the cells of one failure domain for one placer.
#[derive(Clone, Debug)]
pub struct Manager {
    settings: Settings,
    alive: Liveness,
    view: Option<list::View>,
    /// The placers among them; most of the list are workers, and every step looks for placers.
    placers: Vec<list::Member>,
    scene: Option<Snapshot>,
    plan: Plan,
    lease: Lease,
    reader: Reader,
    tickets: Tickets,
    commits: BTreeMap<Ticket, Purpose>,
    stages: BTreeMap<CellIndex, Stage>,
    operations: u64,
    last: Option<Time>,
    drain: Drain,
}

impl Manager {
    /// Opens a keeper that knows nothing and owns nothing.
    pub fn open(settings: Settings) -> Manager {
        let key = key::alive(&settings.domain, &settings.instance, settings.incarnation);
        let alive = Liveness { key, value: settings.address.to_string().into_bytes() };
        Manager {
            alive,
            view: None,
            placers: Vec::new(),
            scene: None,
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

    /// Takes one event at a time and appends what is to be done, in order.
    ///
    /// `now` never goes back from one call to the next.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.check_stall(now);
        match event {
            Event::Tick => {}
            Event::Listed { view } => self.listed(view, actions),
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
            Event::StoppedQueried { call, cell, epoch } => self.asked(call, &cell, epoch, actions),
            Event::StopConfirmed { cell, epoch, owner } => {
                self.confirmed(&cell, epoch, &owner, actions);
            }
            Event::HigherEpoch { cell, epoch } => self.outranked(now, &cell, epoch, actions),
            Event::Quiesced { cell, epoch } => self.quiesced(&cell, epoch, actions),
            Event::Drain => self.drain = self.drain.asked(),
        }
        self.advance(now, actions);
        self.last = Some(now);
    }

    /// Does what time and the last event made due.
    fn advance(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.drain == Drain::Done {
            return;
        }
        self.lease.renew(now, &mut self.tickets, actions);
        self.begin_read(now, actions);
        if self.reader.is_fresh() {
            self.lease.obtain(now, &self.alive, &mut self.tickets, actions);
            self.extend_plan(actions);
            self.give_up_cells(now, actions);
            self.write_releases(actions);
            self.take_cells(now, actions);
        }
        self.ask_formers(now, actions);
        self.log_isolation(now, actions);
        self.finish_drain(actions);
    }

    /// Tells whether the process must let its cells do nothing: it was paused for so long that
    /// another placer may have taken them, and the look that would show it is not back yet.
    pub fn is_suspended(&self) -> bool {
        self.reader.is_suspended()
    }

    /// Tells the same for a process that is about to step its cells at `now`.
    pub fn is_suspended_at(&self, now: Time) -> bool {
        self.is_suspended() || self.is_stall(now)
    }

    /// Returns when a [`Event::Tick`] is next due.
    pub fn next_due(&self, now: Time) -> Time {
        let idle = self.last.unwrap_or(now) + self.settings.lease / STEP_PART;
        let mut due = idle.min(self.reader.next_due().unwrap_or(idle));
        due = due.min(self.lease.next_due().filter(|_| self.reader.is_fresh()).unwrap_or(idle));
        for stage in self.stages.values() {
            due = due.min(self.stage_due(now, stage).unwrap_or(idle));
        }
        due
    }

    /// Returns which rack belongs to which cell.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Tells whether the platform's list shows this life.
    pub fn is_listed(&self) -> bool {
        self.own_member().is_some()
    }

    /// Tells whether the store has answered since it last failed.
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

    /// Returns this life as it stands in claims.
    fn own(&self) -> Owner {
        Owner {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            address: self.settings.address,
            list_version: self.view.as_ref().map_or(0, |view| view.version),
        }
    }

    /// Returns an identity that no other write has.
    fn next_operation(&mut self) -> id::Operation {
        self.operations += 1;
        let life = format!("{}/{}", self.settings.instance, self.settings.incarnation);
        (u128::from(xxh3_64(life.as_bytes())) << 64) | u128::from(self.operations)
    }

    fn is_stall(&self, now: Time) -> bool {
        let gap = now.saturating_sub(self.last.unwrap_or(now));
        gap > self.settings.lease / PAUSE_PART
    }

    /// After a pause nothing that was known about the store counts until it is read again.
    fn check_stall(&mut self, now: Time) {
        if !self.is_stall(now) {
            return;
        }
        self.invalidate(now);
        self.forget_ranks();
        if self.stages.values().any(|stage| stage.active().is_some()) {
            self.reader.suspend();
        }
    }

    /// Learns from the end of any store call whether the store answers.
    fn store_call_ended(
        &mut self,
        now: Time,
        error: Option<&kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        match error {
            None | Some(kv::Error::LeaseGone | kv::Error::Compacted(_)) => {
                self.store_answered(now, actions);
            }
            // A lost answer is settled by its own caller; it doesn't show that the store is gone.
            Some(kv::Error::Unknown(_)) => self.reader.require_reread(now),
            Some(error) => self.store_failed(now, error, actions),
        }
    }

    fn log(&self, event: LogEvent, subject: &str, reason: String, actions: &mut Vec<Action>) {
        actions.push(Action::Note { event, subject: subject.into(), reason });
    }
}

impl Drain {
    fn asked(self) -> Drain {
        match self {
            Drain::No | Drain::Asked => Drain::Asked,
            Drain::Done => Drain::Done,
        }
    }
}
