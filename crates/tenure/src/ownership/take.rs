//! Taking of free cells: the conditions, the order among placers, and the write that decides.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::kv;
use cowslipchute_ports::list;

use crate::action::Action;
use crate::event::Ticket;
use crate::inquiry::Inquiry;
use crate::key;
use crate::owner::Claim;
use crate::owner::Owner;
use crate::plan::CellIndex;
use crate::rank;
use crate::snapshot::Snapshot;
use crate::stage::Ownership;
use crate::stage::Stage;
use crate::stage::Taking;

use super::Drain;
use super::Manager;
use super::Purpose;

/// A free cell: its last epoch and previous owners, and the guards for taking it.
struct Vacancy {
    guards: Vec<kv::Precondition>,
    epoch: id::Epoch,
    previous_owners: Vec<Owner>,
}

impl Manager {
    /// Extends the plan by racks that have no cell yet.
    pub(super) fn extend_plan(&mut self, actions: &mut Vec<Action>) {
        if self.commits.values().any(|purpose| *purpose == Purpose::Plan) || !self.may_take() {
            return;
        }
        let (Some(view), Some(snapshot)) = (&self.view, &self.snapshot) else { return };
        let limit = self.settings.max_cell_workers;
        let Some(plan) = snapshot.plan.extended(&view.members, limit) else { return };
        let guard = self.plan_guard(snapshot);
        let key = key::plan(&self.settings.domain);
        let put = kv::Change::Put { key, value: plan.to_bytes(), lease: 0 };
        let txn = kv::Txn { preconditions: vec![guard], changes: vec![put] };
        self.commit(Purpose::Plan, txn, actions);
    }

    /// Returns a guard that fails if the plan has changed since it was read.
    fn plan_guard(&self, snapshot: &Snapshot) -> kv::Precondition {
        let key = key::plan(&self.settings.domain);
        match snapshot.plan_revision {
            0 => kv::Precondition::Missing(key),
            revision => kv::Precondition::Unchanged(key, revision),
        }
    }

    pub(super) fn commit(
        &mut self,
        purpose: Purpose,
        txn: kv::Txn,
        actions: &mut Vec<Action>,
    ) -> Ticket {
        let ticket = self.tickets.issue();
        self.commits.insert(ticket, purpose);
        actions.push(Action::Commit { ticket, txn });
        ticket
    }

    /// Returns `true` if this placer is eligible to take cells: it is listed as live and not
    /// draining.
    fn may_take(&self) -> bool {
        let listed = self.own_member().is_some_and(|member| member.state == list::State::Live);
        listed && self.drain == Drain::No
    }

    /// Returns `true` if this placer can take cells now.
    pub(super) fn can_take(&self, now: Time) -> bool {
        self.may_take() && self.reader.is_fresh() && self.lease.is_valid(now)
    }

    pub(super) fn take_cells(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.can_take(now) {
            return;
        }
        let indices: Vec<CellIndex> = self.stages.keys().copied().collect();
        for index in indices {
            self.take_if_due(now, index, actions);
        }
    }

    fn take_if_due(&mut self, now: Time, index: CellIndex, actions: &mut Vec<Action>) {
        let vacancy = self.vacancy(now, index);
        let rank = self.rank(index) as u32;
        let delay = self.settings.rank_delay * rank;
        let Some(Stage::Vacant(ownership)) = self.stages.get_mut(&index) else { return };
        let Some(vacancy) = vacancy else {
            ownership.state.free_since = None;
            return;
        };
        let since = *ownership.state.free_since.get_or_insert(now);
        if now >= since + delay {
            self.take(now, index, vacancy, actions);
        }
    }

    /// Returns the vacancy of a cell, if the cell is free.
    fn vacancy(&self, now: Time, index: CellIndex) -> Option<Vacancy> {
        let snapshot = self.snapshot.as_ref()?;
        let key = key::cell(&self.settings.domain, index);
        let Some(cell_entry) = snapshot.entry(index) else {
            let guards = vec![kv::Precondition::Missing(key)];
            return Some(Vacancy { guards, epoch: 0, previous_owners: Vec::new() });
        };
        // A value that can't be decoded was written by another version; its cell is never taken.
        let claim = cell_entry.claim.as_ref()?;
        let mut guards = vec![kv::Precondition::Unchanged(key, cell_entry.revision)];
        let mut previous_owners = claim.previous_owners.to_vec();
        if !claim.released {
            previous_owners.push(claim.owner.clone());
            if !claim.owner.is_same(&self.this_owner()) {
                if snapshot.is_alive(&claim.owner) || self.reader.in_grace_period(now) {
                    return None;
                }
                guards.push(kv::Precondition::Missing(self.liveness_key(&claim.owner)));
            }
        }
        Some(Vacancy { guards, epoch: claim.epoch, previous_owners })
    }

    fn liveness_key(&self, owner: &Owner) -> String {
        key::alive(&self.settings.domain, &owner.instance, owner.incarnation)
    }

    /// Returns the number of live placers that rank before this one for a cell.
    pub(super) fn rank(&self, index: CellIndex) -> usize {
        let cell = key::name(&self.settings.domain, index);
        rank::rank(&cell, &self.settings.instance, self.candidates())
    }

    /// Returns the other placers that are listed as live and whose liveness key exists.
    pub(super) fn candidates(&self) -> impl Iterator<Item = &str> {
        let others = self.placers.iter().filter(|member| {
            member.state == list::State::Live && member.instance != self.settings.instance
        });
        let alive = others.filter(|member| {
            let snapshot = self.snapshot.as_ref();
            snapshot.is_some_and(|snapshot| {
                snapshot.is_incarnation_alive(&member.instance, member.incarnation)
            })
        });
        alive.map(|member| &*member.instance)
    }

    fn take(&mut self, now: Time, index: CellIndex, vacancy: Vacancy, actions: &mut Vec<Action>) {
        let Some(Stage::Vacant(ownership)) = self.stages.remove(&index) else { return };
        let own = self.this_owner();
        let view = self.view.as_ref().expect("a placer that takes cells is listed");
        let inquiry = Inquiry::open(&vacancy.previous_owners, &own, view, now);
        let epoch = vacancy.epoch.max(ownership.common.max_epoch) + 1;
        let previous_owners = inquiry.unconfirmed();
        let operation = self.next_operation();
        let claim = Claim { owner: own, epoch, operation, released: false, previous_owners };
        let mut guards = vacancy.guards;
        // The previous owner may have used a rack that an older plan doesn't assign to the cell.
        guards.extend(self.snapshot.as_ref().map(|snapshot| self.plan_guard(snapshot)));
        guards.push(kv::Precondition::Present(self.liveness.key.clone()));
        let key = key::cell(&self.settings.domain, index);
        let put = kv::Change::Put { key, value: claim.to_bytes(), lease: 0 };
        let txn = kv::Txn { preconditions: guards, changes: vec![put] };
        let ticket = self.commit(Purpose::Take(index), txn, actions);
        let taking = ownership.take(ticket, claim, vacancy.previous_owners);
        self.stages.insert(index, Stage::Taking(taking));
    }

    /// Handles the outcome of the write that takes a cell.
    pub(super) fn take_ended(
        &mut self,
        now: Time,
        index: CellIndex,
        outcome: Result<kv::TxnOutcome, kv::Error>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Stage::Taking(mut ownership)) = self.stages.remove(&index) else { return };
        let stage = match outcome {
            // An answer received after a stall or while cut off from the store may be outdated.
            Ok(verdict) if verdict.applied && self.is_answer_current(now) => {
                self.own_cell(now, ownership, verdict.revision, actions)
            }
            Ok(verdict) if !verdict.applied => Stage::Vacant(ownership.failed()),
            Err(kv::Error::Unavailable(_)) => Stage::Vacant(ownership.failed()),
            Ok(_) | Err(_) => {
                ownership.state.ticket = None;
                let reason = String::from("the answer to taking the cell was lost");
                let cell = ownership.common.cell.clone();
                self.log(LogEvent::StoreUnsettled, &cell, reason, actions);
                Stage::Taking(ownership)
            }
        };
        if !matches!(stage, Stage::Held(_)) {
            self.invalidate(now);
        }
        self.stages.insert(index, stage);
    }

    /// Returns `true` if an answer just received can be acted on without another read.
    fn is_answer_current(&self, now: Time) -> bool {
        self.reader.is_fresh() && self.lease.is_valid(now)
    }

    /// Records this placer as the owner, unless a higher epoch was seen meanwhile.
    pub(super) fn own_cell(
        &mut self,
        now: Time,
        ownership: Ownership<Taking>,
        revision: id::Revision,
        actions: &mut Vec<Action>,
    ) -> Stage {
        if ownership.state.claim.epoch <= ownership.common.max_epoch {
            return Stage::Vacant(ownership.failed());
        }
        let view = self.view.as_ref().expect("a placer that takes cells is listed");
        let inquiry =
            Inquiry::open(&ownership.state.previous_owners, &self.this_owner(), view, now);
        let former = inquiry.outcome();
        let held = ownership.taken(revision, inquiry);
        let cell = held.common.cell.clone();
        let epoch = held.state.claim.epoch;
        let reason = format!("epoch {epoch}, former owner {former:?}");
        self.log(LogEvent::CellOwned, &cell, reason, actions);
        actions.push(Action::Own { cell, epoch, revision, former });
        Stage::Held(held)
    }
}
