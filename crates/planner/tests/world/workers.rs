//! Workers of the planner's world: their directory entries and their incarnations.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Run;
use cowslipchute_standin::site::worker::DEFAULT_DOMAIN;
use cowslipchute_standin::site::worker::Worker;

use super::World;

impl World {
    pub fn add_worker(&mut self, name: &str, capacity: Amount, rack: &str) {
        self.add_worker_in(DEFAULT_DOMAIN, name, capacity, rack);
    }

    pub fn add_worker_in(&mut self, domain: &str, name: &str, capacity: Amount, rack: &str) {
        let mut worker = Worker::open(name, capacity, rack);
        worker.domain = domain.into();
        self.workers.insert(name.to_owned(), worker);
        self.list(name);
    }

    pub fn list(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.listed = true;
        let registration = registration(worker);
        self.tell(Event::Listed { registration });
    }

    /// Writes a foreign directory entry with the address of a worker.
    pub fn list_foreign(&mut self, name: &str, at: &str, service: &str) {
        let Some(worker) = self.workers.get(at) else { return };
        let registration =
            Registration { name: name.into(), service: service.into(), ..registration(worker) };
        self.tell(Event::Listed { registration });
    }

    pub fn unlist(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.listed = false;
        let name = worker.name.clone();
        self.tell(Event::Unlisted { name });
    }

    /// Ends a worker; if `replaced`, a worker of another name takes its place.
    pub fn crash(&mut self, name: &str, replaced: bool) {
        if self.machines.is_down(name) {
            return;
        }
        if self.workers.contains_key(name) {
            self.record_crash_victims(name);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.up = false;
        worker.active.clear();
        if !replaced {
            return;
        }
        self.left.remove(name);
        self.incarnations += 1;
        let mut successor = Worker::open(
            &format!("{name}+{}", self.incarnations),
            worker.capacity,
            &worker.rack.clone(),
        );
        successor.advanced_to = self.now;
        successor.checks_capacity = worker.checks_capacity;
        successor.max_listed_ends = worker.max_listed_ends;
        successor.domain = worker.domain.clone();
        self.bounds.remove(name);
        let old = self.workers.insert(name.to_owned(), successor);
        let old = old.expect("it was looked up before");
        let registration = registration(&self.workers[name]);
        self.tell(Event::Listed { registration });
        self.tell(Event::Unlisted { name: old.name });
    }

    /// Crashes a machine's worker, which leaves the directory and isn't replaced.
    pub fn leave(&mut self, machine: &str) {
        if self.machines.is_down(machine) || !self.workers[machine].up {
            return;
        }
        let lost_runs: Vec<Run> = self.workers[machine].active.keys().copied().collect();
        self.crash(machine, false);
        self.break_gangs(&lost_runs);
        self.unlist(machine);
        self.left.insert(machine.to_owned());
    }

    /// Returns `true` if a machine's worker has left and no other has started in its place.
    pub fn has_left(&self, machine: &str) -> bool {
        self.left.contains(machine)
    }

    /// Starts a worker of another name in the place of one that has left.
    pub fn return_machine(&mut self, machine: &str) {
        if self.left.remove(machine) {
            self.crash(machine, true);
        }
    }

    pub(super) fn by_name(&mut self, name: &str) -> Option<&mut Worker> {
        let machine = name.split('+').next().unwrap_or_default();
        self.workers.get_mut(machine).filter(|worker| &*worker.name == name)
    }
}

/// Returns the directory entry that a worker writes.
pub(super) fn registration(worker: &Worker) -> Registration {
    // The address belongs to the machine, whichever worker runs on it.
    let machine = worker.name.split('+').next().unwrap_or_default();
    let host =
        machine.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    Registration {
        name: worker.name.clone(),
        started_at: worker.reported_start(),
        address: std::net::SocketAddr::from((std::net::Ipv4Addr::from(host), 80)),
        service: "desk".into(),
        domain: worker.domain.clone(),
        draining: worker.draining,
        capacity: worker.capacity,
        labels: [Arc::from("a"), worker.rack.clone()].into_iter().collect(),
        rack: Some(worker.rack.clone()),
        warmup_left: Duration::ZERO,
    }
}
