//! Pool of the backend servers of one service, which its trial services share.

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

/// Time for which the local failure domain must have free capacity before spilling stops.
const SPILL_HOLD: Duration = Duration::from_secs(1);

/// The backend servers of a pool in the local failure domain, or in all remote ones.
#[derive(Debug, Default)]
pub struct Locality {
    /// Backend servers with free capacity, in arbitrary order.
    pub ready: Vec<Id<Backend>>,
    /// Backend servers to be probed with one request.
    pub probes: Vec<Id<Backend>>,
    /// Sums over the backend servers.
    pub totals: Totals,
}

/// Spilling of requests to remote failure domains while the local one lacks capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spill {
    /// Time at which the local failure domain last lacked capacity; `None` while not spilling.
    last_short: Option<Time>,
}

impl Spill {
    /// Starts or prolongs spilling; returns `true` if it was off.
    pub fn start(&mut self, now: Time) -> bool {
        self.last_short.replace(now).is_none()
    }

    /// Stops spilling if the local failure domain has had free capacity for long enough; returns
    /// `true` if it was stopped.
    pub fn stop(&mut self, now: Time) -> bool {
        let Some(last_short) = self.last_short else { return false };
        if now.saturating_sub(last_short) < SPILL_HOLD {
            return false;
        }
        self.last_short = None;
        true
    }

    /// Returns `true` if requests may go to remote failure domains.
    pub fn is_on(&self) -> bool {
        self.last_short.is_some()
    }
}

/// The backend servers of one service.
#[derive(Debug)]
pub struct Pool {
    /// Name of the service.
    pub name: id::Service,
    /// Backend servers in the local failure domain.
    pub local: Locality,
    /// Backend servers in remote failure domains.
    pub remote: Locality,
    /// Requests that wait for a slot.
    pub queue: Queue,
    /// Typical latency.
    pub typical: Typical,
    /// Failure rate of the pool.
    pub failures: Failures,
    /// Spilling to remote failure domains.
    pub spill: Spill,
    /// Version of the membership list that had the pool's first backend servers.
    pub initial_version: Option<u64>,
}

impl Pool {
    /// Creates a pool without backend servers.
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

    /// Returns the number of backend servers that can take a request now or when an attempt ends.
    pub fn usable(&self) -> usize {
        self.local.totals.usable + self.remote.totals.usable
    }

    /// Returns the locality that trials may use: the local one, unless it has no usable backend
    /// server.
    pub fn trial_locality(&self) -> &Locality {
        if self.local.totals.usable > 0 { &self.local } else { &self.remote }
    }

    /// Updates totals and lists after a change of a backend server.
    pub fn refresh(&mut self, now: Time, id: Id<Backend>, backends: &mut Table<Backend>) {
        let backend = &mut backends[id];
        let totals = backend.totals(now);
        let old = std::mem::replace(&mut backend.counted, totals);
        let is_local = backend.is_local;
        let has_free_slot = backend.in_flight < backend.concurrency_limit(now);
        let is_probing = matches!(backend.health.status(), Status::Probing { .. });
        let current = backend.position;
        let locality = if is_local { &mut self.local } else { &mut self.remote };
        locality.totals.slots_milli =
            locality.totals.slots_milli + totals.slots_milli - old.slots_milli;
        locality.totals.in_flight = locality.totals.in_flight + totals.in_flight - old.in_flight;
        locality.totals.usable = locality.totals.usable + totals.usable - old.usable;
        match current {
            Position::Ready(_) if has_free_slot && !is_probing => return,
            Position::Probe(_) if has_free_slot && is_probing => return,
            Position::None if !has_free_slot => return,
            _ => {}
        }
        locality.discard(id, backends);
        if has_free_slot {
            locality.add(id, is_probing, backends);
        }
    }
}

impl Locality {
    fn add(&mut self, id: Id<Backend>, is_probing: bool, backends: &mut Table<Backend>) {
        let list = if is_probing { &mut self.probes } else { &mut self.ready };
        let index = list.len();
        list.push(id);
        backends[id].position =
            if is_probing { Position::Probe(index) } else { Position::Ready(index) };
    }

    fn discard(&mut self, id: Id<Backend>, backends: &mut Table<Backend>) {
        let old_position = std::mem::replace(&mut backends[id].position, Position::None);
        let (list, index) = match old_position {
            Position::None => return,
            Position::Ready(index) => (&mut self.ready, index),
            Position::Probe(index) => (&mut self.probes, index),
        };
        list.swap_remove(index);
        if let Some(&moved) = list.get(index) {
            backends[moved].position = old_position;
        }
    }
}
