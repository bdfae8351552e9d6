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

/// Delay before slots are offered again to a member that did not accept them, as a multiple of
/// `handover_timeout`. No key of an offered slot can be granted, so this bounds how often that
/// happens.
const OFFER_PAUSE: u32 = 10;

impl Owner {
    /// Performs the next step of a change, or begins one that is due.
    pub(crate) fn advance_change(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.is_ended || self.unproven.is_some() || !self.calls.may_propose(now) {
            return;
        }
        if let Some(offer) = self.offer.take() {
            self.offer = self.advance_offer(now, offer, actions);
            return;
        }
        match self.vacancy() {
            Some(next) => self.fill_vacancy(now, next, actions),
            None => {
                self.vacancy_since = None;
                self.begin_offer(now, actions);
            }
        }
    }

    /// Returns the roster to propose if this process is not a member yet or other members have
    /// ended.
    fn vacancy(&self) -> Option<Roster> {
        if self.is_draining || !self.listing.shows(&self.me) {
            return None;
        }
        let joining = Member { list_version: self.listing.version, ..self.me.clone() };
        match &self.roster {
            Some(roster) => roster.revised(&joining, |member| {
                !member.is_same(&self.me) && self.listing.has_ended(member)
            }),
            None => self.is_missing.then(|| Roster::initial(joining)),
        }
    }

    /// Proposes a roster that adds this process or removes ended members: at once to join,
    /// otherwise with a delay by the order of the members, so that usually only one of them
    /// proposes it. The delay has no other effect.
    fn fill_vacancy(&mut self, now: Time, next: Roster, actions: &mut Vec<Action>) {
        let since = *self.vacancy_since.get_or_insert(now);
        if let Some(roster) = &self.roster
            && roster.contains(&self.me)
        {
            let stays = roster.members.iter().filter(|member| next.contains(member));
            let rank = stays.take_while(|member| !member.is_same(&self.me)).count() as u32;
            if now < since + self.settings.takeover_delay * rank {
                return;
            }
        }
        self.propose(next, actions);
    }

    /// Stops granting keys of the slots that another member should own, and sends their state.
    fn begin_offer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(roster) = &self.roster else { return };
        if now < self.offer_after && !self.is_draining {
            return;
        }
        let until = now + self.settings.handover_timeout;
        let is_held = |slot| self.holding.hold(slot).is_some();
        let number = self.offers + 1;
        let offer = Transfer::open(roster, is_held, &self.me, self.is_draining, number, until);
        let Some(mut offer) = offer else { return };
        self.offers = number;
        for Outgoing { to, handover } in self.holding.handovers(now, &mut offer) {
            actions.push(Action::HandOver { to, handover });
        }
        self.offer = self.advance_offer(now, offer, actions);
    }

    fn advance_offer(
        &mut self,
        now: Time,
        mut offer: Transfer,
        actions: &mut Vec<Action>,
    ) -> Option<Transfer> {
        if offer.stage == Stage::Sending && !offer.is_sent(now) {
            return Some(offer);
        }
        if offer.moves.is_empty() && !offer.is_last {
            self.offer_after = now + self.settings.handover_timeout * OFFER_PAUSE;
            return None;
        }
        offer.stage = Stage::Proposing;
        let roster = self.roster.as_ref().expect("an offer is made from a roster");
        debug_assert_eq!(roster.version, offer.stamp.base_version, "a newer roster ends the offer");
        let leaver = offer.is_last.then_some(&self.me);
        let next = roster.released(&offer.moves, leaver);
        self.propose(next, actions);
        Some(offer)
    }

    fn propose(&mut self, roster: Roster, actions: &mut Vec<Action>) {
        self.calls.begin_proposal();
        actions.push(Action::ProposeRoster { revision: self.revision, roster });
    }
}
