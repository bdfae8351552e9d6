//! Updates from the platform's list of workers.

use std::collections::HashSet;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_ports::list::View;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::failure;
use crate::worker::Fence;
use crate::worker::Flight;
use crate::worker::Health;
use crate::worker::Worker;
use crate::worker::WorkerId;

impl Cell {
    /// Applies a list; a worker that is no longer listed has been ended by the platform.
    pub(crate) fn apply_list(&mut self, view: &View) {
        if view.version < self.list_version {
            return;
        }
        self.list_version = view.version;
        let members = view.members.iter().filter(|member| member.role == Role::Worker);
        let mut listed = HashSet::new();
        for member in members {
            listed.insert(member.instance.clone());
            self.apply_member(member);
        }
        let missing: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| !listed.contains(&worker.name))
            .map(|(id, _)| id)
            .collect();
        for id in missing {
            self.remove_worker(id);
        }
        self.fencing_changed = true;
        self.update_totals();
        self.check_fit_all();
    }

    fn apply_member(&mut self, member: &Member) {
        let Some(&id) = self.worker_names.get(&member.instance) else {
            self.add_worker(member);
            return;
        };
        let worker = &self.workers[id];
        if worker.incarnation != member.incarnation
            && !worker.ended_incarnations.contains(&member.incarnation)
        {
            self.restart_worker(id, member.incarnation);
            self.mark_listed(id);
        } else if worker.incarnation == member.incarnation && worker.known_from.is_none() {
            self.mark_listed(id);
        }
        let rack = self.rack_index(&member.rack);
        let worker = &mut self.workers[id];
        let was_leaving = worker.leaving;
        worker.address = member.address;
        worker.capacity = member.capacity;
        worker.rack = rack;
        worker.leaving = member.state == State::Leaving;
        if worker.leaving && !was_leaving {
            let name = worker.name.clone();
            self.note(LogEvent::WorkerLeaving, &name, "the platform lists it as leaving");
        }
        self.mark_freed(id);
        self.update_free_capacity(id);
    }

    fn add_worker(&mut self, member: &Member) {
        let rack = self.rack_index(&member.rack);
        let worker = Worker {
            name: member.instance.clone(),
            incarnation: member.incarnation,
            ended_incarnations: SmallVec::new(),
            address: member.address,
            rack,
            capacity: member.capacity,
            leaving: member.state == State::Leaving,
            fence: Fence::Unfenced,
            health: Health::Unfenced,
            allocations: Vec::new(),
            committed: Amount::ZERO,
            history: failure::History::default(),
            ended_runs: Vec::new(),
            mitigated: id::Time::ZERO,
            reservation: None,
            version: 0,
            flight: self.unlisted_exchanges.remove(&member.instance).map(Flight::stale),
            acks: Vec::new(),
            deferred_acks: Vec::new(),
            reading: None,
            lease_expiry: id::Time::ZERO,
            known_from: None,
            failed_exchanges: 0,
            next_exchange: self.now,
            backoff_until: self.now,
            timer: None,
            touched: false,
        };
        let id = self.workers.insert(worker);
        self.worker_names.insert(member.instance.clone(), id);
        self.update_free_capacity(id);
        self.mark_listed(id);
        self.touch(id);
    }

    fn rack_index(&mut self, rack: &id::Rack) -> u16 {
        let next = u16::try_from(self.racks.len()).unwrap_or(u16::MAX);
        *self.racks.entry(rack.clone()).or_insert(next)
    }

    fn remove_worker(&mut self, id: WorkerId) {
        self.lose_runs(id, "its worker is gone from the list");
        if let Some(time) = self.workers[id].timer.take() {
            self.timers.remove(&(time, id));
        }
        let Some(worker) = self.workers.remove(id) else { return };
        self.free_capacity[id.index()] = Amount::ZERO;
        self.worker_names.remove(&worker.name);
        if let Some(flight) = &worker.flight {
            self.unlisted_exchanges.insert(worker.name.clone(), flight.sequence);
        }
        self.unmark_freed(id);
        if self.ownership.epoch().is_some() {
            self.note(LogEvent::WorkerGone, &worker.name, "the platform lists it no more");
        }
    }

    /// Replaces a worker by a new incarnation, which has no runs of the old one but may have runs
    /// of another owner.
    pub(crate) fn restart_worker(&mut self, id: WorkerId, incarnation: id::Incarnation) {
        self.lose_runs(id, "its worker was replaced");
        let now = self.now;
        let worker = &mut self.workers[id];
        worker.ended_incarnations.push(worker.incarnation);
        worker.incarnation = incarnation;
        worker.reset(now);
        worker.known_from = None;
        self.mark_freed(id);
        self.touch(id);
        self.fencing_changed = true;
        self.update_free_capacity(id);
    }
}
