//! Changes of the roster that this process proposes: joining, taking over from members that have
//! ended, and transferring slots.

use cowslipchute_base::id::Time;

use crate::action::Action;
use crate::owned::Outgoing;
use crate::owner::Owner;
use crate::roster::Member;
use crate::roster::Roster;
use crate::transfer::Stage;
use crate::transfer::Transfer;

/// Delay before a transfer that was not accepted is tried again, as a multiple of
/// `handover_timeout`. No key of a slot in transfer can be granted, so this bounds how often that
/// happens.
const TRANSFER_RETRY_FACTOR: u32 = 10;

impl Owner {
    /// Performs the next step of a change, or begins one that is due.
    pub(crate) fn advance_change(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.is_ended || self.required_read.is_some() || !self.calls.may_propose(now) {
            return;
        }
        if let Some(transfer) = self.transfer.take() {
            self.transfer = self.advance_transfer(now, transfer, actions);
            return;
        }
        match self.membership_change() {
            Some(next) => self.propose_membership(now, next, actions),
            None => {
                self.change_since = None;
                self.begin_transfer(now, actions);
            }
        }
    }

    /// Returns the roster to propose if this process is not a member yet or other members have
    /// ended.
    fn membership_change(&self) -> Option<Roster> {
        if self.is_draining || !self.listing.shows(&self.member) {
            return None;
        }
        let joining = Member { list_version: self.listing.version, ..self.member.clone() };
        match &self.roster {
            Some(roster) => roster.revised(&joining, |member| {
                !member.is_same(&self.member) && self.listing.has_ended(member)
            }),
            None => self.is_roster_missing.then(|| Roster::initial(joining)),
        }
    }

    /// Proposes a roster that adds this process or removes ended members: at once to join,
    /// otherwise with a delay by the order of the members, so that usually only one of them
    /// proposes it. The delay has no other effect.
    fn propose_membership(&mut self, now: Time, next: Roster, actions: &mut Vec<Action>) {
        let since = *self.change_since.get_or_insert(now);
        if let Some(roster) = &self.roster
            && roster.contains(&self.member)
        {
            let stays = roster.members.iter().filter(|member| next.contains(member));
            let rank = stays.take_while(|member| !member.is_same(&self.member)).count() as u32;
            if now < since + self.settings.takeover_delay * rank {
                return;
            }
        }
        self.propose(next, actions);
    }

    /// Stops granting keys of the slots that another member should own, and sends their state.
    fn begin_transfer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(roster) = &self.roster else { return };
        if now < self.transfer_after && !self.is_draining {
            return;
        }
        let deadline = now + self.settings.handover_timeout;
        let is_owned = |slot| self.slots.ownership(slot).is_some();
        let number = self.last_transfer + 1;
        let transfer =
            Transfer::open(roster, is_owned, &self.member, self.is_draining, number, deadline);
        let Some(mut transfer) = transfer else { return };
        self.last_transfer = number;
        for Outgoing { to, handover } in self.slots.handovers(now, &mut transfer) {
            actions.push(Action::HandOver { to, handover });
        }
        self.transfer = self.advance_transfer(now, transfer, actions);
    }

    fn advance_transfer(
        &mut self,
        now: Time,
        mut transfer: Transfer,
        actions: &mut Vec<Action>,
    ) -> Option<Transfer> {
        if transfer.stage == Stage::Sending && !transfer.is_complete(now) {
            return Some(transfer);
        }
        if transfer.moves.is_empty() && !transfer.is_leaving {
            self.transfer_after = now + self.settings.handover_timeout * TRANSFER_RETRY_FACTOR;
            return None;
        }
        transfer.stage = Stage::Proposing;
        let roster = self.roster.as_ref().expect("a transfer is based on a roster");
        debug_assert_eq!(
            roster.version, transfer.id.base_version,
            "a newer roster ends the transfer"
        );
        let leaver = transfer.is_leaving.then_some(&self.member);
        let next = roster.released(&transfer.moves, leaver);
        self.propose(next, actions);
        Some(transfer)
    }

    fn propose(&mut self, roster: Roster, actions: &mut Vec<Action>) {
        self.calls.begin_proposal();
        actions.push(Action::ProposeRoster { revision: self.revision, roster });
    }
}
