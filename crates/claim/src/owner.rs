//! The owner of slots: one entry process's decisions about the idempotency keys of its slots.

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

/// Number of steps that an owner requests per lease, so that a stall of half a lease is detected.
const STEPS_PER_LEASE: u32 = 8;

/// Settings of an owner, fixed while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process. `list_version` is filled in when it joins.
    pub member: Member,
    /// How long a key is kept after it was granted and after its request was settled. Must be
    /// longer than the deadline of any request.
    pub retention: Duration,
    /// A process that was stalled for half of this reads the roster before it grants again. Must be
    /// longer than twice the time for which a claimant waits for its verdict.
    pub lease: Duration,
    /// How long acknowledgements of handovers are waited for, and the retry delay after a failed
    /// call to the store.
    pub handover_timeout: Duration,
    /// Delay per preceding member before a member takes over the slots of ended members.
    pub takeover_delay: Duration,
    /// Maximum number of keys.
    pub max_claims: usize,
    /// Maximum bytes of one answer; of a larger one, only the fact that the request ran is kept.
    pub max_answer_bytes: usize,
    /// Maximum bytes of all answers; the oldest are evicted.
    pub max_total_answer_bytes: usize,
}

/// Decides about the keys whose slots this process owns.
#[derive(Debug)]
pub struct Owner {
    pub(crate) settings: Settings,
    pub(crate) member: Member,
    pub(crate) roster: Option<Arc<Roster>>,
    /// The store's revision of the roster's key.
    pub(crate) revision: Revision,
    /// Whether a read found no roster, so that the initial one may be proposed.
    pub(crate) is_roster_missing: bool,
    pub(crate) slots: Slots,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) last_transfer: u64,
    pub(crate) transfer_after: Time,
    pub(crate) listing: Listing,
    pub(crate) change_since: Option<Time>,
    pub(crate) calls: Calls,
    /// The read needed after a stall: only this read or a later one proves what is owned.
    pub(crate) required_read: Option<ReadId>,
    pub(crate) is_ended: bool,
    pub(crate) is_draining: bool,
    last_step: Option<Time>,
}

impl Owner {
    /// Opens an owner that knows no roster yet and owns no slots.
    pub fn open(settings: Settings) -> Owner {
        let limits = Limits {
            retention: settings.retention,
            max_claims: settings.max_claims,
            max_answer_bytes: settings.max_answer_bytes,
            max_total_answer_bytes: settings.max_total_answer_bytes,
        };
        let mut calls = Calls::default();
        calls.request_read();
        Owner {
            member: settings.member.clone(),
            settings,
            roster: None,
            revision: 0,
            is_roster_missing: false,
            slots: Slots::open(limits),
            transfer: None,
            last_transfer: 0,
            transfer_after: Time::ZERO,
            listing: Listing::default(),
            change_since: None,
            calls,
            required_read: None,
            is_ended: false,
            is_draining: false,
            last_step: None,
        }
    }

    /// Handles one event and appends the resulting actions in order.
    ///
    /// `now` must not decrease from one call to the next, and must be read right before the call.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.check_stall(now);
        self.slots.table.expire(now);
        match event {
            Event::RosterRead { read, revision, roster } => {
                self.roster_read(now, read, revision, roster, actions);
            }
            Event::RosterReceived { revision, roster } => self.take(now, revision, roster, actions),
            Event::Proposed => self.calls.end_proposal(),
            Event::StoreFailed => self.calls.fail(now + self.settings.handover_timeout),
            Event::Listed { view } => self.apply_list(&view),
            Event::Claim { ask, claimant, key, roster } => {
                let verdict = self.claim(now, claimant, key, roster);
                actions.push(verdict.into_action(ask));
            }
            Event::Settle { ask, claimant, key, settlement } => {
                let accepted = self.accepts_settlement(key.slot());
                if accepted {
                    self.slots.table.settle(now, key, claimant, settlement);
                }
                actions.push(Action::Acknowledge { ask, accepted });
            }
            Event::HandoverReceived { ask, handover } => {
                let accepted = self.receive_handover(handover);
                actions.push(Action::Acknowledge { ask, accepted });
            }
            Event::HandedOver { transfer, message_number, accepted } => {
                if let Some(current) = &mut self.transfer {
                    current.acknowledged(transfer, message_number, accepted);
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

    /// Returns the time at which the next [`Event::Tick`] is due. Much later steps count as a
    /// stall.
    pub fn next_due(&self) -> Option<Time> {
        let step = self.last_step? + self.settings.lease / STEPS_PER_LEASE;
        let transfer = self.transfer.as_ref().map_or(Time::MAX, Transfer::next_due);
        Some(step.min(transfer))
    }

    /// Returns the roster in force here, by which the owner of a key is found.
    pub fn roster(&self) -> Option<&Arc<Roster>> {
        self.roster.as_ref()
    }

    /// Returns the number of keys kept.
    pub fn claims(&self) -> usize {
        self.slots.table.len()
    }

    /// Returns the number of slots owned by this process.
    pub fn slots(&self) -> usize {
        self.slots.slot_count()
    }

    /// Returns `true` if this process is draining and has left the roster or is its only member.
    pub fn is_drained(&self) -> bool {
        let Some(roster) = &self.roster else { return self.is_draining };
        let has_others = roster.members.iter().any(|member| !member.is_same(&self.member));
        self.is_draining && !(roster.contains(&self.member) && has_others)
    }

    /// Returns `true` if other members consider this process ended. It grants nothing from then on.
    /// A new owner with a later start time may join once the platform lists the instance.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Detects a stall. During a stall the roster may have changed and this process may have been
    /// considered ended, so nothing is granted until a read begun afterwards proves what it owns.
    fn check_stall(&mut self, now: Time) {
        let last = self.last_step.replace(now).unwrap_or(now);
        debug_assert!(now >= last, "time must not decrease");
        if now - last > self.settings.lease / 2 {
            self.required_read = Some(self.calls.request_fresh_read(now));
        }
    }

    fn claim(
        &mut self,
        now: Time,
        claimant: Claimant,
        key: Key,
        claimant_version: Version,
    ) -> Verdict {
        let Some(roster) = &self.roster else { return Verdict::not_owner(MIN_RETRY_AFTER) };
        if claimant_version > roster.version {
            // The claimant knows a newer roster, which may have moved this slot.
            self.calls.request_read();
            return Verdict::not_owner(MIN_RETRY_AFTER);
        }
        let slot = key.slot();
        let Some(ownership) = self.slots.ownership(slot) else {
            return Verdict::not_owner(MIN_RETRY_AFTER);
        };
        if let Some(record) = self.slots.table.find(&key) {
            return Verdict::of_state(&record.state);
        }
        if !self.may_grant(slot) {
            return Verdict::not_owner(MIN_RETRY_AFTER);
        }
        if now < ownership.in_doubt_until {
            return Verdict::not_owner(ownership.in_doubt_until - now);
        }
        if !self.slots.table.has_capacity() {
            // Evicting a key early could run its request twice, so the new one has to wait.
            let expiry = self.slots.table.next_expiry().unwrap_or(now);
            return Verdict::not_owner(expiry.saturating_sub(now));
        }
        self.slots.table.grant(now, key, claimant);
        Verdict::granted()
    }

    fn may_grant(&self, slot: Slot) -> bool {
        self.required_read.is_none() && !self.is_ended && !self.is_in_transfer(slot)
    }

    fn is_in_transfer(&self, slot: Slot) -> bool {
        self.transfer.as_ref().is_some_and(|current| current.contains(slot))
    }

    /// Returns `true` if a settlement is accepted here: state already sent to the next owner must
    /// not change.
    fn accepts_settlement(&self, slot: Slot) -> bool {
        self.slots.ownership(slot).is_some() && !self.is_in_transfer(slot)
    }

    fn receive_handover(&mut self, handover: Handover) -> bool {
        let is_old = self
            .roster
            .as_ref()
            .is_some_and(|roster| roster.version > handover.transfer.base_version);
        !is_old && !self.is_draining && self.slots.receive(handover)
    }

    fn apply_list(&mut self, view: &list::View) {
        if !self.listing.take(view) {
            return;
        }
        let mut members = self.roster.iter().flat_map(|roster| &roster.members);
        let member = members.find(|member| member.is_same(&self.member));
        self.is_ended |= member.is_some_and(|member| self.listing.has_ended(member));
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
            None => self.is_roster_missing = self.roster.is_none(),
        }
        if self.required_read.is_some_and(|needed| read >= needed) {
            self.required_read = None;
        }
    }

    /// Applies a roster if it is newer than the one in force.
    fn take(
        &mut self,
        now: Time,
        revision: Revision,
        roster: Arc<Roster>,
        actions: &mut Vec<Action>,
    ) {
        let is_newer = self.roster.as_ref().is_none_or(|known| roster.version > known.version);
        if !is_newer || roster.check().is_err() {
            return;
        }
        self.is_roster_missing = false;
        self.revision = revision;
        // A proposal based on an older version can't be applied any more.
        self.transfer = None;
        self.is_ended |= roster.members.iter().any(|member| is_successor(member, &self.member));
        let changed = self.slots.take(now, &roster, &self.member);
        if changed > 0 {
            let reason = format!("roster {}: {changed} slots changed here", roster.version);
            let subject = self.member.instance.clone();
            actions.push(Action::Note { event: LogEvent::KeyOwnerChanged, subject, reason });
        }
        self.roster = Some(roster);
    }
}

/// Returns `true` if `other` is a later incarnation or start of this process's instance.
fn is_successor(other: &Member, member: &Member) -> bool {
    other.instance == member.instance
        && (other.incarnation, other.started_at) > (member.incarnation, member.started_at)
}
