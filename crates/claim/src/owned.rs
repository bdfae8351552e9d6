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
const PARCEL_BYTES: usize = 64 * 1024;
/// Number of keys, and bytes of answers, from which no further slot is added to a handover, so that
/// it fits into a frame between peers.
const HANDOVER_KEYS: usize = 1000;
const HANDOVER_BYTES: usize = 1024 * 1024;

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
    pub doubt: Time,
}

#[derive(Debug)]
pub(crate) struct Slots {
    pub table: Table,
    limits: Limits,
    holds: Vec<Option<Ownership>>,
    adopted: BTreeMap<Slot, Received>,
}

/// The received state of a slot that this process may become the owner of.
#[derive(Debug)]
struct Received {
    stamp: TransferId,
    parcel: SlotState,
}

impl Slots {
    pub(crate) fn open(limits: Limits) -> Slots {
        Slots {
            table: Table::open(limits),
            limits,
            holds: vec![None; slot::COUNT],
            adopted: BTreeMap::new(),
        }
    }

    pub(crate) fn hold(&self, slot: Slot) -> Option<Ownership> {
        self.holds[usize::from(slot)]
    }

    pub(crate) fn slots(&self) -> usize {
        self.holds.iter().flatten().count()
    }

    /// Stores a handover until the roster shows whether its transfer took effect. Returns `false`
    /// if there is no capacity for its keys.
    pub(crate) fn adopt(&mut self, handover: Handover) -> bool {
        let pending: usize = self.adopted.values().map(|held| held.parcel.grants.len()).sum();
        if self.table.len() + pending + handover.keys() > self.limits.claims {
            return false;
        }
        let stamp = handover.transfer;
        for parcel in handover.slots {
            self.adopted.insert(parcel.slot, Received { stamp, parcel });
        }
        true
    }

    /// Copies the state of all slots of a transfer into messages of bounded size.
    pub(crate) fn handovers(&self, now: Time, offer: &mut Transfer) -> Vec<Outgoing> {
        let mut moves = offer.moves.clone();
        moves.sort_by(|a, b| a.to.instance.cmp(&b.to.instance).then(a.slot.cmp(&b.slot)));
        let mut messages: Vec<Outgoing> = Vec::new();
        for moved in moves {
            let parcel = self.parcel(now, moved.slot);
            match messages.last_mut() {
                Some(last) if last.to.is_same(&moved.to) && has_room(&last.handover) => {
                    last.handover.slots.push(parcel);
                }
                _ => {
                    let handover =
                        Handover { transfer: offer.stamp, message_number: 0, slots: vec![parcel] };
                    messages.push(Outgoing { to: moved.to, handover });
                }
            }
        }
        for message in &mut messages {
            let slots = message.handover.slots.iter().map(|parcel| parcel.slot).collect();
            message.handover.message_number = offer.await_part(slots);
        }
        messages
    }

    fn parcel(&self, now: Time, slot: Slot) -> SlotState {
        let hold = self.hold(slot).expect("only slots that are held are offered");
        let grants = self.table.export(now, slot, PARCEL_BYTES);
        SlotState { slot, in_doubt_for: hold.doubt.saturating_sub(now), grants }
    }

    /// Applies a newer roster and returns the number of slots whose ownership changed here.
    pub(crate) fn take(&mut self, now: Time, roster: &Roster, me: &Member) -> usize {
        let changed = slot::all().filter(|slot| self.take_slot(now, *slot, roster, me)).count();
        self.adopted.retain(|_, held| held.stamp.base_version >= roster.version);
        changed
    }

    fn take_slot(&mut self, now: Time, slot: Slot, roster: &Roster, me: &Member) -> bool {
        let share = roster.assignment(slot);
        let is_mine = roster.owner_at(slot).is_same(me);
        let former = self.hold(slot);
        if is_mine && former.is_some_and(|former| former.since == share.since) {
            return false;
        }
        self.table.clear(slot);
        self.holds[usize::from(slot)] = None;
        if is_mine {
            let doubt = now + self.begin(now, slot, share);
            self.holds[usize::from(slot)] = Some(Ownership { since: share.since, doubt });
        }
        is_mine || former.is_some()
    }

    /// Starts owning a slot and returns how long its unknown keys are in doubt. The previous owner,
    /// if any, has stopped granting its keys.
    fn begin(&mut self, now: Time, slot: Slot, share: Assignment) -> Duration {
        let adopted = self.adopted.remove(&slot);
        match (share.origin, adopted) {
            (Origin::First, _) => Duration::ZERO,
            (Origin::Handed(number), Some(Received { stamp, parcel }))
                if stamp.number == number && stamp.base_version + 1 == share.since =>
            {
                self.table.import(now, parcel.grants);
                parcel.in_doubt_for
            }
            _ => self.limits.retention,
        }
    }
}

/// Returns `true` if another slot may be added to a handover.
fn has_room(handover: &Handover) -> bool {
    handover.keys() < HANDOVER_KEYS && handover.answers_bytes() < HANDOVER_BYTES
}
