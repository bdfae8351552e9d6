//! The slots owned by this process, the keys granted in them, and received handovers of slots that
//! it is about to own.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id::Time;

use crate::handover::Handover;
use crate::handover::SlotState;
use crate::handover::TransferId;
use crate::roster::Assignment;
use crate::roster::Member;
use crate::roster::Origin;
use crate::roster::Roster;
use crate::roster::Version;
use crate::slot;
use crate::slot::Slot;
use crate::table::Limits;
use crate::table::Table;
use crate::transfer::Transfer;

/// Maximum bytes of answers sent with one slot; further answers are dropped.
const MAX_SLOT_ANSWER_BYTES: usize = 64 * 1024;
/// Number of keys, and bytes of answers, from which no further slot is added to a handover, so that
/// it fits into a frame between peers.
const MAX_HANDOVER_KEYS: usize = 1000;
const MAX_HANDOVER_BYTES: usize = 1024 * 1024;

/// A handover to be sent.
pub(crate) struct Outgoing {
    pub to: Member,
    pub handover: Handover,
}

/// The ownership of one slot by this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ownership {
    /// Version of the roster by which this process became the owner.
    since: Version,
    /// The time until which an unknown key may have been granted by a previous owner.
    pub in_doubt_until: Time,
}

#[derive(Debug)]
pub(crate) struct Slots {
    pub table: Table,
    limits: Limits,
    ownerships: Vec<Option<Ownership>>,
    received: BTreeMap<Slot, Received>,
}

/// The received state of a slot that this process may become the owner of.
#[derive(Debug)]
struct Received {
    transfer: TransferId,
    state: SlotState,
}

impl Slots {
    pub(crate) fn open(limits: Limits) -> Slots {
        Slots {
            table: Table::open(limits),
            limits,
            ownerships: vec![None; slot::COUNT],
            received: BTreeMap::new(),
        }
    }

    pub(crate) fn ownership(&self, slot: Slot) -> Option<Ownership> {
        self.ownerships[usize::from(slot)]
    }

    pub(crate) fn slot_count(&self) -> usize {
        self.ownerships.iter().flatten().count()
    }

    /// Stores a handover until the roster shows whether its transfer took effect. Returns `false`
    /// if there is no capacity for its keys.
    pub(crate) fn receive(&mut self, handover: Handover) -> bool {
        let pending: usize =
            self.received.values().map(|received| received.state.grants.len()).sum();
        if self.table.len() + pending + handover.keys() > self.limits.max_claims {
            return false;
        }
        let transfer = handover.transfer;
        for state in handover.slots {
            self.received.insert(state.slot, Received { transfer, state });
        }
        true
    }

    /// Copies the state of all slots of a transfer into messages of bounded size.
    pub(crate) fn handovers(&self, now: Time, transfer: &mut Transfer) -> Vec<Outgoing> {
        let mut moves = transfer.moves.clone();
        moves.sort_by(|a, b| a.to.instance.cmp(&b.to.instance).then(a.slot.cmp(&b.slot)));
        let mut messages: Vec<Outgoing> = Vec::new();
        for moved in moves {
            let state = self.slot_state(now, moved.slot);
            match messages.last_mut() {
                Some(last) if last.to.is_same(&moved.to) && has_capacity(&last.handover) => {
                    last.handover.slots.push(state);
                }
                _ => {
                    let handover =
                        Handover { transfer: transfer.id, message_number: 0, slots: vec![state] };
                    messages.push(Outgoing { to: moved.to, handover });
                }
            }
        }
        for message in &mut messages {
            let slots = message.handover.slots.iter().map(|state| state.slot).collect();
            message.handover.message_number = transfer.add_message(slots);
        }
        messages
    }

    fn slot_state(&self, now: Time, slot: Slot) -> SlotState {
        let ownership = self.ownership(slot).expect("only owned slots are transferred");
        let grants = self.table.export(now, slot, MAX_SLOT_ANSWER_BYTES);
        SlotState { slot, in_doubt_for: ownership.in_doubt_until.saturating_sub(now), grants }
    }

    /// Applies a newer roster and returns the number of slots whose ownership changed here.
    pub(crate) fn take(&mut self, now: Time, roster: &Roster, member: &Member) -> usize {
        let changed =
            slot::all().filter(|slot| self.apply_assignment(now, *slot, roster, member)).count();
        self.received.retain(|_, received| received.transfer.base_version >= roster.version);
        changed
    }

    fn apply_assignment(
        &mut self,
        now: Time,
        slot: Slot,
        roster: &Roster,
        member: &Member,
    ) -> bool {
        let assignment = roster.assignment(slot);
        let is_owned = roster.owner_at(slot).is_same(member);
        let previous = self.ownership(slot);
        if is_owned && previous.is_some_and(|previous| previous.since == assignment.since) {
            return false;
        }
        self.table.clear(slot);
        self.ownerships[usize::from(slot)] = None;
        if is_owned {
            let in_doubt_until = now + self.start_owning(now, slot, assignment);
            self.ownerships[usize::from(slot)] =
                Some(Ownership { since: assignment.since, in_doubt_until });
        }
        is_owned || previous.is_some()
    }

    /// Starts owning a slot and returns how long its unknown keys are in doubt. The previous owner,
    /// if any, has stopped granting its keys.
    fn start_owning(&mut self, now: Time, slot: Slot, assignment: Assignment) -> Duration {
        let received = self.received.remove(&slot);
        match (assignment.origin, received) {
            (Origin::First, _) => Duration::ZERO,
            (Origin::Handed(number), Some(Received { transfer, state }))
                if transfer.number == number && transfer.base_version + 1 == assignment.since =>
            {
                self.table.import(now, state.grants);
                state.in_doubt_for
            }
            _ => self.limits.retention,
        }
    }
}

/// Returns `true` if another slot may be added to a handover.
fn has_capacity(handover: &Handover) -> bool {
    handover.keys() < MAX_HANDOVER_KEYS && handover.answers_bytes() < MAX_HANDOVER_BYTES
}
