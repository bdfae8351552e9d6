//! What this process holds: its slots, the keys granted in them, and handovers for slots that are
//! about to be its own.

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

/// Bytes of answers that go with one slot; the other answers are dropped on the way.
const PARCEL_BYTES: usize = 64 * 1024;
/// Keys, and bytes of answers, after which a handover takes no further slot, so that a message of
/// peers holds it.
const HANDOVER_KEYS: usize = 1000;
const HANDOVER_BYTES: usize = 1024 * 1024;

/// A handover on its way.
pub(crate) struct Outgoing {
    pub to: Member,
    pub handover: Handover,
}

/// One slot that this process owns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ownership {
    /// Version of the roster with which it got the slot.
    since: Version,
    /// Until when a key that is not known may have been granted by an earlier owner.
    pub doubt: Time,
}

#[derive(Debug)]
pub(crate) struct Slots {
    pub table: Table,
    limits: Limits,
    holds: Vec<Option<Ownership>>,
    adopted: BTreeMap<Slot, Received>,
}

/// What was sent of a slot that may become this process's.
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

    /// Keeps a handover until the roster says whether the slots are given up with it.
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

    /// Copies what is known of all slots on offer, in messages of bounded size.
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

    /// Goes by a newer roster; returns how many slots changed here.
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

    /// Begins to own a slot, and tells how long its unknown keys are in doubt. Its former owner, if
    /// any, has surely stopped granting by now.
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

/// Tells whether a handover takes a further slot.
fn has_room(handover: &Handover) -> bool {
    handover.keys() < HANDOVER_KEYS && handover.answers_bytes() < HANDOVER_BYTES
}
