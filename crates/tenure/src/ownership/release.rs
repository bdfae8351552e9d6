//! Release of cells in the store, and the end of a drain.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::peer;

use crate::action::Action;
use crate::key;
use crate::plan::CellIndex;
use crate::stage::Ownership;
use crate::stage::Releasing;
use crate::stage::Stage;

use super::Drain;
use super::Manager;
use super::Purpose;

impl Manager {
    /// Handles the report that the process has stopped a cell.
    pub(super) fn quiesced(&mut self, cell: &str, epoch: id::Epoch, actions: &mut Vec<Action>) {
        let Some(index) = self.cell_index(cell) else { return };
        let Some(stage) = self.stages.remove(&index) else { return };
        let mut stage = match stage {
            Stage::Yielding(ownership) if ownership.state.claim.epoch == epoch => {
                let operation = self.next_operation();
                Stage::Releasing(ownership.quiesced(operation))
            }
            Stage::Stopping(ownership) if ownership.state.epoch == epoch => {
                Stage::Vacant(ownership.stopped())
            }
            other => other,
        };
        if stage.active().is_none() && !matches!(stage, Stage::Stopping(_)) {
            for call in stage.common().pending_calls.drain(..) {
                actions.push(Action::Answer { call, reply: peer::Reply::Released });
            }
        }
        self.stages.insert(index, stage);
    }

    pub(super) fn write_releases(&mut self, actions: &mut Vec<Action>) {
        let indices: Vec<CellIndex> = self.stages.keys().copied().collect();
        for index in indices {
            let Some(Stage::Releasing(ownership)) = self.stages.get(&index) else { continue };
            if ownership.state.ticket.is_some() {
                continue;
            }
            let txn = self.release_txn(index, &ownership.state);
            let ticket = self.commit(Purpose::Release(index), txn, actions);
            if let Some(Stage::Releasing(ownership)) = self.stages.get_mut(&index) {
                ownership.state.ticket = Some(ticket);
            }
        }
    }

    fn release_txn(&self, index: CellIndex, releasing: &Releasing) -> kv::Txn {
        let key = key::cell(&self.settings.domain, index);
        let guards = vec![kv::Precondition::Unchanged(key.clone(), releasing.revision)];
        let value = releasing.claim.to_bytes();
        kv::Txn { preconditions: guards, changes: vec![kv::Change::Put { key, value, lease: 0 }] }
    }

    pub(super) fn release_ended(
        &mut self,
        now: Time,
        index: CellIndex,
        outcome: Result<kv::TxnOutcome, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Stage::Releasing(mut ownership)) = self.stages.remove(&index) else { return };
        ownership.state.ticket = None;
        let stage = match outcome {
            // If the guard failed, the key is another owner's, and nothing is left to release.
            Ok(_) => self.released(ownership, actions),
            Err(_) => Stage::Releasing(ownership),
        };
        self.stages.insert(index, stage);
        self.invalidate(now);
    }

    pub(super) fn released(
        &self,
        ownership: Ownership<Releasing>,
        actions: &mut Vec<Action>,
    ) -> Stage {
        let cell = ownership.common.cell.clone();
        let reason = format!("epoch {}", ownership.state.claim.epoch);
        self.log(LogEvent::CellReleased, &cell, reason, actions);
        Stage::Vacant(ownership.released())
    }

    pub(super) fn finish_drain(&mut self, actions: &mut Vec<Action>) {
        let idle = |stage: &Stage| matches!(stage, Stage::Vacant(_));
        if self.drain != Drain::Requested || !self.stages.values().all(idle) {
            return;
        }
        self.drain = Drain::Done;
        if let Some(lease) = self.lease.id() {
            actions.push(Action::Revoke { lease });
        }
        self.lease.drop_lease(Time::MAX);
        actions.push(Action::Drained);
    }
}
