//! Evacuated failure domains of the planner's world, and the check for late starts there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Run;
use cowslipchute_standin::site::worker::Worker;

use super::World;

/// Time after which an evacuation that an owner could read is in effect.
const EFFECT_DELAY: Duration = Duration::from_millis(500);

/// Failure domains that the operator has evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The set in the store.
    pub domains: BTreeSet<id::Domain>,
    /// The set that the owner was last notified of.
    notified: BTreeSet<id::Domain>,
    /// When an owner could first read each of them.
    known_since: BTreeMap<id::Domain, Time>,
}

impl World {
    pub fn evacuate(&mut self, domain: &str) {
        self.evacuations.domains.insert(domain.into());
    }

    pub fn restore(&mut self, domain: &str) {
        self.evacuations.domains.remove(domain);
        self.evacuations.known_since.remove(domain);
    }

    /// Notifies the owner of changes as soon as the store can be read.
    pub(super) fn advance_evacuations(&mut self) {
        let changed = self.evacuations.notified != self.evacuations.domains;
        if changed && self.store_up && self.planner.is_some() {
            let event = self.read_evacuations();
            self.tell(event);
        }
    }

    /// Returns what a new owner receives before it owns the cell.
    pub(super) fn read_evacuations(&mut self) -> Event {
        let evacuations = &mut self.evacuations;
        for domain in &evacuations.domains {
            evacuations.known_since.entry(domain.clone()).or_insert(self.now);
        }
        evacuations.notified = evacuations.domains.clone();
        Event::Evacuated { domains: evacuations.domains.clone() }
    }

    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuations.domains.contains(&worker.domain)
    }

    /// Checks that nothing is started in a failure domain whose evacuation is in effect.
    pub(super) fn check_domain(&self, worker: &str, run: Run) {
        let worker = self.workers.values().find(|known| &*known.name == worker);
        let domain = &worker.expect("it has just begun the run").domain;
        let Some(&known) = self.evacuations.known_since.get(domain) else { return };
        let late = self.now > known + EFFECT_DELAY;
        assert!(!late, "{run:?} is started in {domain}, which is evacuated");
    }
}
