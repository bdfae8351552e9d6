//! The owner: one entry process's decisions about the idempotency keys of its slots.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;

use crate::action::Action;
use crate::calls::Calls;
use crate::event::Claimant;
use crate::event::Event;
use crate::event::ReadId;
use crate::handover::Handover;
use crate::listing::Listing;
use crate::owned::Slots;
use crate::roster::Member;
use crate::roster::Roster;
use crate::roster::Version;
use crate::slot::Key;
use crate::slot::Slot;
use crate::table::Limits;
use crate::transfer::Transfer;
use crate::verdict::MIN_RETRY_AFTER;
use crate::verdict::Verdict;

/// Steps that an owner asks for within one lease, so that a pause of half a lease stands out.
const STEPS_A_LEASE: u32 = 8;

/// Settings of an owner that no operator changes while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process. `list_version` is filled in when it joins.
    pub member: Member,
    /// How long a key is remembered after it was granted and after its request was settled. Has to
    /// be longer than any request's deadline.
    pub retention: Duration,
    /// A process that was paused for half of this reads the roster before it grants again. Has to
    /// be longer than twice the time for which a claimant waits for its verdict.
    pub lease: Duration,
    /// How long handovers are waited for before a slot is given up, and how long the store is left
    /// alone after a call that failed.
    pub handover_timeout: Duration,
    /// How much longer each member waits than the one before it to take over from one that ended.
    pub takeover_delay: Duration,
    /// Keys kept at most.
    pub max_claims: usize,
    /// Bytes of one answer at most; of a larger one it is only kept that the request ran.
    pub max_answer_bytes: usize,
    /// Bytes of all answers at most; the oldest give way.
    pub max_total_answer_bytes: usize,
}

/// Decides about every key whose slot this process owns.
#[derive(Debug)]
pub struct Owner {
    pub(crate) settings: Settings,
    pub(crate) me: Member,
    pub(crate) roster: Option<Arc<Roster>>,
    /// The store's revision of the roster's key.
    pub(crate) revision: Revision,
    /// A read found no roster, so the first one may be made.
    pub(crate) is_missing: bool,
    pub(crate) holding: Slots,
    pub(crate) offer: Option<Transfer>,
    pub(crate) offers: u64,
    pub(crate) offer_after: Time,
    pub(crate) listing: Listing,
    pub(crate) vacancy_since: Option<Time>,
    pub(crate) calls: Calls,
    /// Set after a pause: only this read or a later one proves what is owned.
    pub(crate) unproven: Option<ReadId>,
    pub(crate) is_ended: bool,
    pub(crate) is_draining: bool,
    last_step: Option<Time>,
}

impl Owner {
    /// Opens an owner that knows no roster yet and owns nothing.
    pub fn open(settings: Settings) -> Owner {
        let limits = Limits {
            retention: settings.retention,
            claims: settings.max_claims,
            answer_bytes: settings.max_answer_bytes,
            answers_bytes: settings.max_total_answer_bytes,
        };
        let mut calls = Calls::default();
        calls.want_read();
        Owner {
            me: settings.member.clone(),
            settings,
            roster: None,
            revision: 0,
            is_missing: false,
            holding: Slots::open(limits),
            offer: None,
            offers: 0,
            offer_after: Time::ZERO,
            listing: Listing::default(),
            vacancy_since: None,
            calls,
            unproven: None,
            is_ended: false,
            is_draining: false,
            last_step: None,
        }
    }

    /// Takes one event at a time and appends what is to be done, in order.
    ///
    /// `now` never goes back from one call to the next, and is read right before the call.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.notice_pause(now);
        self.holding.table.expire(now);
        match event {
            Event::RosterRead { read, revision, roster } => {
                self.roster_read(now, read, revision, roster, actions);
            }
            Event::RosterReceived { revision, roster } => self.take(now, revision, roster, actions),
            Event::Proposed => self.calls.end_proposal(),
            Event::StoreFailed => self.calls.fail(now + self.settings.handover_timeout),
            Event::Listed { view } => self.listed(&view),
            Event::Claim { ask, claimant, key, roster } => {
                let verdict = self.claim(now, claimant, key, roster);
                actions.push(verdict.answer(ask));
            }
            Event::Settle { ask, claimant, key, settlement } => {
                let accepted = self.is_settled_here(key.slot());
                if accepted {
                    self.holding.table.settle(now, key, claimant, settlement);
                }
                actions.push(Action::Acknowledge { ask, accepted });
            }
            Event::HandoverReceived { ask, handover } => {
                let accepted = self.adopt(handover);
                actions.push(Action::Acknowledge { ask, accepted });
            }
            Event::HandedOver { transfer, message_number, accepted } => {
                if let Some(offer) = &mut self.offer {
                    offer.handed_over(transfer, message_number, accepted);
                }
            }
            Event::Tick => {}
            Event::Drain => self.is_draining = true,
        }
        if let Some(read) = self.calls.begin_read(now) {
            actions.push(Action::ReadRoster { read });
        }
        self.advance_change(now, actions);
    }

    /// Tells when a [`Event::Tick`] is next due. Steps that come later than this look like a pause.
    pub fn next_due(&self) -> Option<Time> {
        let beat = self.last_step? + self.settings.lease / STEPS_A_LEASE;
        let offer = self.offer.as_ref().map_or(Time::MAX, Transfer::due);
        Some(beat.min(offer))
    }

    /// Returns the roster in force here, to find the owner of a key by.
    pub fn roster(&self) -> Option<&Arc<Roster>> {
        self.roster.as_ref()
    }

    /// Counts the keys kept.
    pub fn claims(&self) -> usize {
        self.holding.table.len()
    }

    /// Counts the slots owned by the roster in force here.
    pub fn slots(&self) -> usize {
        self.holding.slots()
    }

    /// Tells whether a draining process has left the roster, or is alone in it.
    pub fn is_drained(&self) -> bool {
        let Some(roster) = &self.roster else { return self.is_draining };
        let has_others = roster.members.iter().any(|member| !member.is_same(&self.me));
        self.is_draining && !(roster.contains(&self.me) && has_others)
    }

    /// Tells whether others take this process for ended. It grants nothing from then on; an owner
    /// opened anew, under a higher life, may join again once the platform lists the instance.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// After a pause the roster may have changed and this process may have been taken for ended, so
    /// it proves what it owns by a read that begins after the pause.
    fn notice_pause(&mut self, now: Time) {
        let last = self.last_step.replace(now).unwrap_or(now);
        debug_assert!(now >= last, "time never goes back");
        if now - last > self.settings.lease / 2 {
            self.unproven = Some(self.calls.want_fresh_read(now));
        }
    }

    fn claim(&mut self, now: Time, claimant: Claimant, key: Key, asked: Version) -> Verdict {
        let Some(roster) = &self.roster else { return Verdict::not_owner(MIN_RETRY_AFTER) };
        if asked > roster.version {
            // The asker knows of a change that has not come here; it may be about this slot.
            self.calls.want_read();
            return Verdict::not_owner(MIN_RETRY_AFTER);
        }
        let slot = key.slot();
        let Some(hold) = self.holding.hold(slot) else {
            return Verdict::not_owner(MIN_RETRY_AFTER);
        };
        if let Some(record) = self.holding.table.find(&key) {
            return Verdict::of_state(&record.state);
        }
        if !self.may_grant(slot) {
            return Verdict::not_owner(MIN_RETRY_AFTER);
        }
        if now < hold.doubt {
            return Verdict::not_owner(hold.doubt - now);
        }
        if !self.holding.table.has_room() {
            // Forgetting a key early could run its request twice, so a new one has to wait.
            let room = self.holding.table.next_room().unwrap_or(now);
            return Verdict::not_owner(room.saturating_sub(now));
        }
        self.holding.table.grant(now, key, claimant);
        Verdict::granted()
    }

    fn may_grant(&self, slot: Slot) -> bool {
        self.unproven.is_none() && !self.is_ended && !self.is_offered(slot)
    }

    fn is_offered(&self, slot: Slot) -> bool {
        self.offer.as_ref().is_some_and(|offer| offer.contains(slot))
    }

    /// What was sent to the next owner is not changed here any more.
    fn is_settled_here(&self, slot: Slot) -> bool {
        self.holding.hold(slot).is_some() && !self.is_offered(slot)
    }

    fn adopt(&mut self, handover: Handover) -> bool {
        let is_old = self
            .roster
            .as_ref()
            .is_some_and(|roster| roster.version > handover.transfer.base_version);
        !is_old && !self.is_draining && self.holding.adopt(handover)
    }

    fn listed(&mut self, view: &list::View) {
        if !self.listing.take(view) {
            return;
        }
        let mut members = self.roster.iter().flat_map(|roster| &roster.members);
        let me = members.find(|member| member.is_same(&self.me));
        self.is_ended |= me.is_some_and(|me| self.listing.has_ended(me));
    }

    fn roster_read(
        &mut self,
        now: Time,
        read: ReadId,
        revision: Revision,
        roster: Option<Arc<Roster>>,
        actions: &mut Vec<Action>,
    ) {
        self.calls.end_read(read);
        match roster {
            Some(roster) => self.take(now, revision, roster, actions),
            None => self.is_missing = self.roster.is_none(),
        }
        if self.unproven.is_some_and(|needed| read >= needed) {
            self.unproven = None;
        }
    }

    /// Goes by a roster that is newer than the one in force.
    fn take(
        &mut self,
        now: Time,
        revision: Revision,
        roster: Arc<Roster>,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = self.roster.as_ref().is_none_or(|held| roster.version > held.version);
        if !is_newer || roster.check().is_err() {
            return;
        }
        self.is_missing = false;
        self.revision = revision;
        // A proposal from an earlier version can't be applied any more.
        self.offer = None;
        self.is_ended |= roster.members.iter().any(|member| is_later(member, &self.me));
        let changed = self.holding.take(now, &roster, &self.me);
        if changed > 0 {
            let reason = format!("roster {}: {changed} slots changed here", roster.version);
            let subject = self.me.instance.clone();
            actions.push(Action::Note { event: LogEvent::KeyOwnerChanged, subject, reason });
        }
        self.roster = Some(roster);
    }
}

/// Tells whether `other` came in the place of `me`.
fn is_later(other: &Member, me: &Member) -> bool {
    other.instance == me.instance
        && (other.incarnation, other.started_at) > (me.incarnation, me.started_at)
}
