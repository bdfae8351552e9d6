//! Information about ownership from the platform's list, other placers and workers.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;

use crate::action::Action;
use crate::event::CallId;
use crate::owner::Owner;
use crate::stage::Stage;

use super::Manager;

impl Manager {
    /// Applies a newer list, which may show that a previous owner has ended.
    pub(super) fn apply_list(&mut self, view: list::View, actions: &mut Vec<Action>) {
        if self.view.as_ref().is_some_and(|last| last.version >= view.version) {
            return;
        }
        for stage in self.stages.values_mut() {
            let Stage::Held(ownership) = stage else { continue };
            if ownership.state.inquiry.apply_list(&view) {
                let former = ownership.state.inquiry.outcome();
                actions
                    .push(Action::PreviousOwners { cell: ownership.common.cell.clone(), former });
            }
        }
        let here = |member: &&list::Member| {
            member.role == list::Role::Placer && member.domain == self.settings.domain
        };
        self.placers = view.members.iter().filter(here).cloned().collect();
        self.view = Some(view);
    }

    /// Answers the query of a later owner, once this placer has stopped the cell.
    pub(super) fn stopped_queried(
        &mut self,
        call: CallId,
        cell: &str,
        epoch: id::Epoch,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.cell_index(cell) else {
            actions.push(Action::Answer { call, reply: peer::Reply::Misdirected });
            return;
        };
        self.stop_below_epoch(index, epoch, actions);
        let reply = match self.stages.get_mut(&index) {
            Some(stage) if stage.active().is_some() => peer::Reply::Misdirected,
            Some(Stage::Stopping(ownership)) => {
                ownership.common.pending_calls.push(call);
                return;
            }
            _ => peer::Reply::Released,
        };
        actions.push(Action::Answer { call, reply });
    }

    pub(super) fn query_previous_owners(&mut self, now: Time, actions: &mut Vec<Action>) {
        let interval = self.settings.query_interval;
        for stage in self.stages.values_mut() {
            let Stage::Held(ownership) = stage else { continue };
            for owner in ownership.state.inquiry.due(now, interval) {
                let cell = ownership.common.cell.clone();
                actions.push(Action::QueryStopped {
                    cell,
                    epoch: ownership.state.claim.epoch,
                    owner,
                });
            }
        }
    }

    pub(super) fn stop_confirmed(
        &mut self,
        cell: &str,
        epoch: id::Epoch,
        owner: &Owner,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.cell_index(cell) else { return };
        let Some(Stage::Held(ownership)) = self.stages.get_mut(&index) else { return };
        if ownership.state.claim.epoch == epoch && ownership.state.inquiry.confirm_stopped(owner) {
            let former = ownership.state.inquiry.outcome();
            actions.push(Action::PreviousOwners { cell: ownership.common.cell.clone(), former });
        }
    }

    /// Handles a higher epoch reported by a worker: this placer's epoch has ended, whatever the
    /// store last showed.
    pub(super) fn higher_epoch(
        &mut self,
        now: Time,
        cell: &str,
        epoch: id::Epoch,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.cell_index(cell) else { return };
        if self.stop_below_epoch(index, epoch, actions) {
            self.invalidate(now);
        }
    }
}
