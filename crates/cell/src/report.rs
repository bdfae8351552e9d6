//! Handling of a worker's reports; the `inventory` module applies what they contain about runs.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_ports::worker::Report;

use crate::cell::Cell;
use crate::event::Sequence;
use crate::exchange::RETRY;
use crate::lease;
use crate::life::Life;
use crate::worker::Fence;
use crate::worker::Flight;
use crate::worker::Health;
use crate::worker::Reading;
use crate::worker::WorkerId;

/// Delay of the next exchange with a worker on which a run is ending.
const SOON: Duration = Duration::from_millis(200);

impl Cell {
    /// Handles a worker's report.
    pub(crate) fn report(&mut self, sequence: Sequence, report: &Report) {
        let Some((id, flight)) = self.land_flight(sequence, &report.instance) else { return };
        let Some(epoch) = self.ownership.epoch() else { return };
        if flight.stale {
            return;
        }
        if report.epoch > epoch {
            let reason = format!("worker {} has seen epoch {}", report.instance, report.epoch);
            return self.disown(&reason);
        }
        if self.workers[id].incarnation != report.incarnation {
            return self.meet(id, report.incarnation);
        }
        if !report.obeyed {
            return self.refused(id, flight);
        }
        self.obeyed(id, report);
    }

    /// Handles a report from another incarnation of the worker than the one addressed.
    fn meet(&mut self, id: WorkerId, incarnation: id::Incarnation) {
        if !self.workers[id].retired.contains(&incarnation) {
            // The list doesn't show this incarnation yet, so other owners may not know of it.
            self.restart_worker(id, incarnation);
        }
    }

    fn refused(&mut self, id: WorkerId, flight: Flight) {
        let worker = &mut self.workers[id];
        worker.acks.extend(flight.acks);
        worker.hush = self.now + RETRY;
        for hold in worker.holds.iter_mut().filter(|hold| hold.flying) {
            hold.flying = false;
            hold.flying_start = false;
            hold.need = true;
        }
    }

    fn obeyed(&mut self, id: WorkerId, report: &Report) {
        let now = self.now;
        let lease_max = self.census.lease_max;
        let worker = &mut self.workers[id];
        let was_missed = std::mem::take(&mut worker.misses) > 0;
        worker.hush = now;
        worker.reading = Some(Reading { stamp: report.stamp, received: now });
        if worker.fence != Fence::Fenced && !report.whole {
            // An incremental report can't be applied without the inventory that it is based on.
            worker.due = now;
            return;
        }
        worker.version = report.version;
        if report.leaving && !worker.leaving {
            worker.leaving = true;
            let name = worker.name.clone();
            self.note(Number::WorkerLeaving, &name, "it reports that it is leaving");
        }
        let was_fenced = self.workers[id].fence == Fence::Fenced;
        if !was_fenced {
            let worker = &mut self.workers[id];
            worker.fence = Fence::Fenced;
            worker.lapse = worker.lapse.max(lease::lapse(now, lease_max));
            // Its lease was granted by a former owner; grants one of ours at once.
            worker.due = now;
            self.fencing_changed = true;
        }
        self.take_inventory(id, report);
        self.land(id);
        self.take_usage(id, report);
        self.cheer(id);
        self.check_probe(id);
        self.refresh(id);
        if was_missed {
            // Its free capacity was not offered while it did not answer.
            self.mark(id);
        }
        self.hasten(id);
    }

    /// Advances the next exchange if a run is ending on a worker.
    fn hasten(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        if worker.holds.iter().any(|hold| hold.life.is_ending()) {
            worker.due = worker.due.min(self.now + SOON);
        }
    }

    /// Ends the delivery of the exchange's commands; a start that the report doesn't confirm is
    /// sent again after a delay.
    fn land(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        let mut unconfirmed = false;
        for hold in worker.holds.iter_mut().filter(|hold| hold.flying) {
            hold.flying = false;
            hold.flying_start = false;
            if matches!(hold.life, Life::Starting(_)) {
                hold.need = true;
                unconfirmed = true;
            }
        }
        if unconfirmed {
            worker.hush = self.now + RETRY;
        }
    }

    /// Marks a worker healthy if it was unfenced or suspect.
    fn cheer(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        if worker.leaving || !matches!(worker.health, Health::Unfenced | Health::Suspect) {
            return;
        }
        worker.health = Health::Healthy;
        let name = worker.name.clone();
        self.note(Number::WorkerHealthy, &name, "it answers and its inventory is known");
        self.mark(id);
    }
}
