//! The backend servers of one service, which its trials share.

use std::time::Duration;

use cowslipchute_base::entity::Id;
use cowslipchute_base::entity::Table;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;

use crate::backend::Backend;
use crate::backend::Position;
use crate::backend::Totals;
use crate::eject::Failures;
use crate::eject::Status;
use crate::latency::Typical;
use crate::queue::Queue;

/// How long the own failure domain must have had room before requests stop going elsewhere.
const SPILL_HOLD: Duration = Duration::from_secs(1);

/// The backend servers of a pool in the own failure domain, or in all others.
#[derive(Debug, Default)]
pub struct Locality {
    /// Those that have room, in no order that means anything.
    pub ready: Vec<Id<Backend>>,
    /// Those that want one request to show that they answer.
    pub probes: Vec<Id<Backend>>,
    /// Sums over the backend servers.
    pub totals: Totals,
}

/// Whether requests go to other failure domains because the own one is short.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spill {
    /// When the own failure domain was last short; none while requests stay in it.
    short: Option<Time>,
}

impl Spill {
    /// The own failure domain is short; tells whether it wasn't before.
    pub fn start(&mut self, now: Time) -> bool {
        self.short.replace(now).is_none()
    }

    /// The own failure domain has room; tells whether it has had it for long enough to stop.
    pub fn stop(&mut self, now: Time) -> bool {
        let Some(short) = self.short else { return false };
        if now.saturating_sub(short) < SPILL_HOLD {
            return false;
        }
        self.short = None;
        true
    }

    /// Tells whether requests may go to other failure domains.
    pub fn is_on(&self) -> bool {
        self.short.is_some()
    }
}

/// The backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    /// Name of the service.
    pub name: id::Service,
    /// Those in the own failure domain.
    pub local: Locality,
    /// Those in the others.
    pub remote: Locality,
    /// Requests that wait for a slot.
    pub queue: Queue,
    /// The usual latency.
    pub typical: Typical,
    /// The usual failures.
    pub failures: Failures,
    /// Whether requests go to other failure domains.
    pub spill: Spill,
    /// The version of the list with which the pool got its first backend servers.
    pub initial_version: Option<u64>,
}

impl Pool {
    /// Opens a pool without backend servers.
    pub fn open(name: id::Service) -> Pool {
        Pool {
            name,
            local: Locality::default(),
            remote: Locality::default(),
            queue: Queue::default(),
            typical: Typical::default(),
            failures: Failures::default(),
            spill: Spill::default(),
            initial_version: None,
        }
    }

    /// Counts the backend servers that may get a request now or when their attempts have ended.
    pub fn usable(&self) -> usize {
        self.local.totals.usable + self.remote.totals.usable
    }

    /// Returns the side that trials may use: the own failure domain, unless nothing is there.
    pub fn trial_locality(&self) -> &Locality {
        if self.local.totals.usable > 0 { &self.local } else { &self.remote }
    }

    /// Brings sums and places up to date after anything about a backend server has changed.
    pub fn refresh(&mut self, now: Time, id: Id<Backend>, backends: &mut Table<Backend>) {
        let backend = &mut backends[id];
        let portion = backend.totals(now);
        let old = std::mem::replace(&mut backend.counted, portion);
        let is_home = backend.is_local;
        let has_room = backend.in_flight < backend.concurrency_limit(now);
        let is_probing = matches!(backend.health.status(), Status::Probing { .. });
        let spot = backend.position;
        let side = if is_home { &mut self.local } else { &mut self.remote };
        side.totals.slots_milli = side.totals.slots_milli + portion.slots_milli - old.slots_milli;
        side.totals.in_flight = side.totals.in_flight + portion.in_flight - old.in_flight;
        side.totals.usable = side.totals.usable + portion.usable - old.usable;
        match spot {
            Position::Ready(_) if has_room && !is_probing => return,
            Position::Probe(_) if has_room && is_probing => return,
            Position::None if !has_room => return,
            _ => {}
        }
        side.take_out(id, backends);
        if has_room {
            side.put_in(id, is_probing, backends);
        }
    }
}

impl Locality {
    fn put_in(&mut self, id: Id<Backend>, is_probing: bool, backends: &mut Table<Backend>) {
        let list = if is_probing { &mut self.probes } else { &mut self.ready };
        let index = list.len();
        list.push(id);
        backends[id].position =
            if is_probing { Position::Probe(index) } else { Position::Ready(index) };
    }

    fn take_out(&mut self, id: Id<Backend>, backends: &mut Table<Backend>) {
        let spot = std::mem::replace(&mut backends[id].position, Position::None);
        let (list, index) = match spot {
            Position::None => return,
            Position::Ready(index) => (&mut self.ready, index),
            Position::Probe(index) => (&mut self.probes, index),
        };
        list.swap_remove(index);
        if let Some(&moved) = list.get(index) {
            backends[moved].position = spot;
        }
    }
}
