//! Workers of the planner's world that restart under their names.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Run;

use super::Arrival;
use super::World;
use super::workers::registration;

/// Workers that are down until they restart, and the directory entries of their previous
/// incarnations.
#[derive(Debug, Default)]
pub struct Restarts {
    up_at: BTreeMap<String, Time>,
    /// How far the clock of a worker's next incarnation starts ahead of the one before; it starts at
    /// zero if this is `None`.
    pub clock_lead: Option<Duration>,
    /// Time after a worker's start until its entry is in the directory.
    pub entry_delay: Duration,
    former_entries: BTreeMap<String, Registration>,
}

impl World {
    /// Crashes a worker, which restarts under its name after a while without any state.
    pub fn restart(&mut self, machine: &str, down: Duration) {
        if self.machines.is_down(machine) || !self.workers.get(machine).is_some_and(|w| w.up) {
            return;
        }
        self.record_crash_victims(machine);
        let worker = self.workers.get_mut(machine).expect("the worker was found above");
        worker.up = false;
        let lost_runs: Vec<Run> = std::mem::take(&mut worker.active).into_keys().collect();
        self.break_gangs(&lost_runs);
        self.restarts.up_at.insert(machine.to_owned(), self.now + down);
        self.advance_restarts();
    }

    /// Restarts the workers that are due.
    pub(super) fn advance_restarts(&mut self) {
        let now = self.now;
        let due = self.restarts.up_at.iter().filter(|(_, at)| **at <= now);
        let due: Vec<String> = due.map(|(machine, _)| machine.clone()).collect();
        for machine in due {
            self.restarts.up_at.remove(&machine);
            if self.machines.is_down(&machine) {
                // Its maintenance began after another incarnation had taken its place.
                continue;
            }
            let Some(worker) = self.workers.get_mut(&machine).filter(|worker| !worker.up) else {
                continue;
            };
            self.restarts.former_entries.insert(machine.clone(), registration(worker));
            let clock = worker.clock(now);
            *worker = worker.restarted(now);
            if let Some(lead) = self.restarts.clock_lead {
                worker.clock_start = clock + lead.as_millis() as u64;
            }
            let registration = registration(worker);
            self.bounds.remove(&machine);
            let at = now + self.restarts.entry_delay;
            self.push(at, Arrival::Event(self.term, Event::Listed { registration }));
        }
    }

    /// Delivers the directory entry of a worker's previous incarnation once more.
    pub fn deliver_former_entry(&mut self, machine: &str) {
        if let Some(registration) = self.restarts.former_entries.get(machine).cloned() {
            self.tell(Event::Listed { registration });
        }
    }
}
