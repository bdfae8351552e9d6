//! Epochs that make workers refuse starts which went unanswered.
//!
//! An unanswered start may be carried out seconds later, when its task has been completed by a
//! repetition of the start. An incarnation refuses it from its first command with a higher epoch
//! on. If the epoch changed only with the incarnation, a heartbeat that is sent to one incarnation
//! and reaches the next would let that one accept the start, until the owner has learned of the
//! restart. So the epoch of a worker's commands is raised after each unanswered start: whichever
//! command is the first to reach an incarnation then makes it refuse the start.
//!
//! A worker answers a waiting heartbeat with a refusal once it sees a higher epoch, and commands
//! in flight may arrive after later ones. The epoch is therefore raised between two heartbeats,
//! when no other command to the worker is in flight.

use cowslipchute_base::id;

use crate::planner::Planner;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

impl Hosted {
    fn has_command_in_flight(&self) -> bool {
        let is_sent = matches!(
            self.stage,
            Stage::Starting { command: Command::Sent, .. }
                | Stage::Stopping { command: Command::Sent, .. }
        );
        is_sent || self.throttle_in_flight
    }
}

impl Worker {
    /// Raises the epoch of its commands if a start went unanswered and nothing is in flight.
    fn raise_epoch(&mut self) {
        if self.start_unanswered && !self.runs.values().any(Hosted::has_command_in_flight) {
            self.start_unanswered = false;
            self.generation += 1;
        }
    }
}

impl Planner {
    /// Records that a start with this epoch went unanswered.
    pub(crate) fn record_unanswered_start(&mut self, worker: WorkerId, epoch: id::Epoch) {
        let Some(owner_epoch) = self.epoch else { return };
        let state = &mut self.workers[worker];
        state.start_unanswered |= state.command_epoch(owner_epoch) == epoch;
    }

    /// Raises the epoch of a worker's commands if needed, between two of its heartbeats.
    pub(crate) fn raise_epoch(&mut self, worker: WorkerId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.raise_epoch();
        }
    }

    /// Keeps the generations of an incarnation that ends from being used again.
    pub(crate) fn retire_generation(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        self.next_generation = self.next_generation.max(state.generation) + 1;
    }
}
