//! Reconciliation of cells with the store, loss of ownership, and handovers.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;

use crate::action::Action;
use crate::event::Ticket;
use crate::key;
use crate::plan::CellIndex;
use crate::stage::Held;
use crate::stage::Ownership;
use crate::stage::Stage;
use crate::stage::Stopping;

use super::Drain;
use super::Manager;
use super::Purpose;

/// Maximum number of doublings: each handover of a cell doubles the delay before the next one.
const MAX_HANDOVER_DOUBLINGS: u32 = 6;

impl Manager {
    pub(super) fn committed(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: Result<kv::TxnOutcome, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let purpose = self.commits.remove(&ticket);
        self.store_call_ended(now, outcome.as_ref().err(), actions);
        if self.lease.published(now, ticket, &outcome) {
            // The previous lease may have expired, and a cell may have been taken meanwhile.
            self.reader.request(now);
            return;
        }
        match purpose {
            Some(Purpose::Plan) => self.invalidate(now),
            Some(Purpose::Take(index)) => self.take_ended(now, index, outcome, actions),
            Some(Purpose::Release(index)) => self.release_ended(now, index, outcome, actions),
            None => {}
        }
    }

    /// Reconciles all stages with the last snapshot of the store.
    pub(super) fn reconcile(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in 0..self.plan.cell_count() {
            let cell = key::name(&self.settings.domain, index);
            let vacant = || Stage::Vacant(Ownership::open(index, cell));
            self.stages.entry(index).or_insert_with(vacant);
        }
        let indices: Vec<CellIndex> = self.stages.keys().copied().collect();
        for index in indices {
            let stage = self.stages.remove(&index).expect("the key was just listed");
            let stage = self.reconcile_stage(now, index, stage, actions);
            self.stages.insert(index, stage);
        }
    }

    fn reconcile_stage(
        &mut self,
        now: Time,
        index: CellIndex,
        mut stage: Stage,
        actions: &mut Vec<Action>,
    ) -> Stage {
        let snapshot = self.snapshot.as_ref().expect("a snapshot was just read");
        let seen_revision = snapshot.revision;
        let cell_entry = snapshot.entry(index).cloned();
        let claim = cell_entry.as_ref().and_then(|cell_entry| cell_entry.claim.as_ref());
        let stored_operation = claim.map(|claim| claim.operation);
        if let Some(claim) = claim.filter(|claim| !stage.is_taking(claim.operation)) {
            stage.common().max_epoch = stage.common().max_epoch.max(claim.epoch);
        }
        match stage {
            Stage::Held(mut ownership) => {
                // A snapshot older than the ownership says nothing about it.
                if seen_revision < ownership.state.revision
                    || stored_operation == Some(ownership.state.claim.operation)
                {
                    ownership.state.isolated = false;
                    return Stage::Held(ownership);
                }
                self.ownership_lost(ownership.lose(), actions)
            }
            Stage::Yielding(ownership) => {
                if seen_revision < ownership.state.revision
                    || stored_operation == Some(ownership.state.claim.operation)
                {
                    return Stage::Yielding(ownership);
                }
                self.ownership_lost(ownership.lose(), actions)
            }
            Stage::Taking(ownership) if ownership.state.ticket.is_none() => {
                if stored_operation != Some(ownership.state.claim.operation) {
                    return Stage::Vacant(ownership.failed());
                }
                let revision = cell_entry.map_or(0, |cell_entry| cell_entry.revision);
                self.own_cell(now, ownership, revision, actions)
            }
            Stage::Releasing(ownership) if ownership.state.ticket.is_none() => {
                if stored_operation == Some(ownership.state.held_operation) {
                    return Stage::Releasing(ownership);
                }
                self.released(ownership, actions)
            }
            other => other,
        }
    }

    fn ownership_lost(&self, ownership: Ownership<Stopping>, actions: &mut Vec<Action>) -> Stage {
        let cell = ownership.common.cell.clone();
        let epoch = ownership.state.epoch;
        let reason = format!("epoch {epoch} is over; {} was met", ownership.common.max_epoch);
        self.log(LogEvent::CellLost, &cell, reason, actions);
        actions.push(Action::Stop { cell, epoch });
        Stage::Stopping(ownership)
    }

    /// Stops a cell at once if it runs here under an epoch below `epoch`. Returns `true` if it did.
    pub(super) fn stop_below_epoch(
        &mut self,
        index: CellIndex,
        epoch: id::Epoch,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(mut stage) = self.stages.remove(&index) else { return false };
        stage.common().max_epoch = stage.common().max_epoch.max(epoch);
        let below = stage.active().is_some_and(|own| own < epoch);
        let stage = match stage {
            Stage::Held(ownership) if below => self.ownership_lost(ownership.lose(), actions),
            Stage::Yielding(ownership) if below => self.ownership_lost(ownership.lose(), actions),
            other => other,
        };
        self.stages.insert(index, stage);
        below
    }

    /// Starts to release the cells that another placer should own, and all cells during a drain.
    pub(super) fn start_releases(&mut self, now: Time, actions: &mut Vec<Action>) {
        let indices: Vec<CellIndex> = self.stages.keys().copied().collect();
        for index in indices {
            if self.should_release(now, index) {
                self.start_release(index, actions);
            }
        }
    }

    fn should_release(&mut self, now: Time, index: CellIndex) -> bool {
        let leaving = self.own_member().is_some_and(|own| own.state == list::State::Leaving);
        let leaving = leaving && self.candidates().next().is_some();
        let outranked = self.rank(index) > 0;
        let wait = self.settings.handover_delay;
        let Some(Stage::Held(ownership)) = self.stages.get_mut(&index) else { return false };
        if self.drain == Drain::Requested || leaving {
            return true;
        }
        if !outranked {
            ownership.state.outranked_since = None;
            return false;
        }
        let since = *ownership.state.outranked_since.get_or_insert(now);
        now >= since + handover_delay(wait, ownership)
    }

    /// Resets the time since which others have ranked before this placer: while the store can't be
    /// read, no placer is known to be alive.
    pub(super) fn reset_outranked(&mut self) {
        for stage in self.stages.values_mut() {
            if let Stage::Held(ownership) = stage {
                ownership.state.outranked_since = None;
            }
        }
    }

    fn start_release(&mut self, index: CellIndex, actions: &mut Vec<Action>) {
        let Some(Stage::Held(ownership)) = self.stages.remove(&index) else { return };
        let cell = ownership.common.cell.clone();
        let epoch = ownership.state.claim.epoch;
        actions.push(Action::Quiesce { cell, epoch });
        self.stages.insert(index, Stage::Yielding(ownership.start_yielding()));
    }

    /// Logs once per cell that it is kept running without the store.
    pub(super) fn log_isolation(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.reader.is_down() || self.lease.is_valid(now) {
            return;
        }
        for stage in self.stages.values_mut() {
            let Stage::Held(ownership) = stage else { continue };
            if ownership.state.isolated {
                continue;
            }
            ownership.state.isolated = true;
            actions.push(Action::Note {
                event: LogEvent::CellIsolated,
                subject: ownership.common.cell.clone(),
                reason: format!("epoch {} goes on", ownership.state.claim.epoch),
            });
        }
    }

    /// Returns the time at which a stage next has something to do, if any.
    pub(super) fn stage_due(&self, now: Time, stage: &Stage) -> Option<Time> {
        match stage {
            Stage::Vacant(ownership) if self.can_take(now) => {
                let since = ownership.state.free_since?;
                Some(since + self.settings.rank_delay * self.rank(ownership.common.index) as u32)
            }
            Stage::Held(ownership) => ownership.state.inquiry.next_due(),
            _ => None,
        }
    }

    /// Returns the index of a cell if the cell is of this domain.
    pub(super) fn cell_index(&self, cell: &str) -> Option<CellIndex> {
        let rest = cell.strip_prefix(&*self.settings.domain)?.strip_prefix('/')?;
        rest.parse().ok()
    }
}

fn handover_delay(settle: Duration, ownership: &Ownership<Held>) -> Duration {
    settle * 2u32.pow(ownership.common.handovers.min(MAX_HANDOVER_DOUBLINGS))
}
