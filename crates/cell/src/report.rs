//! Handling of a worker's reports; the `inventory` module applies what they contain about runs.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_ports::worker::Report;

use crate::cell::Cell;
use crate::event::Sequence;
use crate::exchange::RETRY_DELAY;
use crate::lease;
use crate::stage::Stage;
use crate::worker::Fence;
use crate::worker::Flight;
use crate::worker::Health;
use crate::worker::Reading;
use crate::worker::WorkerId;

/// Delay of the next exchange with a worker on which a run is ending.
const ENDING_POLL_DELAY: Duration = Duration::from_millis(200);

impl Cell {
    /// Handles a worker's report.
    pub(crate) fn handle_report(&mut self, sequence: Sequence, report: &Report) {
        let Some((id, flight)) = self.finish_exchange(sequence, &report.instance) else { return };
        let Some(epoch) = self.ownership.epoch() else { return };
        if flight.stale {
            return;
        }
        if report.epoch > epoch {
            let reason = format!("worker {} has seen epoch {}", report.instance, report.epoch);
            return self.lose_ownership(&reason);
        }
        if self.workers[id].incarnation != report.incarnation {
            return self.handle_incarnation(id, report.incarnation);
        }
        if !report.obeyed {
            return self.handle_refusal(id, flight);
        }
        self.apply_report(id, report);
    }

    /// Handles a report from another incarnation of the worker than the one addressed.
    fn handle_incarnation(&mut self, id: WorkerId, incarnation: id::Incarnation) {
        if !self.workers[id].ended_incarnations.contains(&incarnation) {
            // The list doesn't show this incarnation yet, so other owners may not know of it.
            self.restart_worker(id, incarnation);
        }
    }

    fn handle_refusal(&mut self, id: WorkerId, flight: Flight) {
        let worker = &mut self.workers[id];
        worker.acks.extend(flight.acks);
        worker.backoff_until = self.now + RETRY_DELAY;
        for allocation in
            worker.allocations.iter_mut().filter(|allocation| allocation.command_in_flight)
        {
            allocation.command_in_flight = false;
            allocation.start_in_flight = false;
            allocation.command_pending = true;
        }
    }

    fn apply_report(&mut self, id: WorkerId, report: &Report) {
        let now = self.now;
        let lease_max = self.membership.lease_max;
        let worker = &mut self.workers[id];
        let was_unreachable = std::mem::take(&mut worker.failed_exchanges) > 0;
        worker.backoff_until = now;
        worker.reading = Some(Reading { stamp: report.stamp, received: now });
        if worker.fence != Fence::Fenced && !report.whole {
            // An incremental report can't be applied without the inventory that it is based on.
            worker.next_exchange = now;
            return;
        }
        worker.version = report.version;
        if report.leaving && !worker.leaving {
            worker.leaving = true;
            let name = worker.name.clone();
            self.note(LogEvent::WorkerLeaving, &name, "it says that it is leaving");
        }
        let was_fenced = self.workers[id].fence == Fence::Fenced;
        if !was_fenced {
            let worker = &mut self.workers[id];
            worker.fence = Fence::Fenced;
            worker.lease_expiry = worker.lease_expiry.max(lease::expiry(now, lease_max));
            // Its lease was granted by a previous owner; grants one of ours at once.
            worker.next_exchange = now;
            self.fencing_changed = true;
        }
        self.apply_inventory(id, report);
        self.finish_delivery(id);
        self.apply_usage(id, report);
        self.mark_healthy(id);
        self.check_probe(id);
        self.update_free_capacity(id);
        if was_unreachable {
            // Its free capacity was not offered while it did not answer.
            self.mark_freed(id);
        }
        self.poll_soon(id);
    }

    /// Advances the next exchange if a run is ending on a worker.
    fn poll_soon(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        if worker.allocations.iter().any(|allocation| allocation.stage.is_ending()) {
            worker.next_exchange = worker.next_exchange.min(self.now + ENDING_POLL_DELAY);
        }
    }

    /// Ends the delivery of the exchange's commands; a start that the report doesn't confirm is
    /// sent again after a delay.
    fn finish_delivery(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        let mut unconfirmed = false;
        for allocation in
            worker.allocations.iter_mut().filter(|allocation| allocation.command_in_flight)
        {
            allocation.command_in_flight = false;
            allocation.start_in_flight = false;
            if matches!(allocation.stage, Stage::Starting(_)) {
                allocation.command_pending = true;
                unconfirmed = true;
            }
        }
        if unconfirmed {
            worker.backoff_until = self.now + RETRY_DELAY;
        }
    }

    /// Marks a worker healthy if it was unfenced or suspect.
    fn mark_healthy(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        if worker.leaving || !matches!(worker.health, Health::Unfenced | Health::Suspect) {
            return;
        }
        worker.health = Health::Healthy;
        let name = worker.name.clone();
        self.note(LogEvent::WorkerHealthy, &name, "it answers and its inventory is known");
        self.mark_freed(id);
    }
}
