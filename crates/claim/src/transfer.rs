//! Slots on offer: being given up by this process, and not granted meanwhile.
//!
//! The order is what makes it safe. Granting stops first; then what is known is sent; then the
//! roster is changed. As a proposal may take effect long after its answer was lost, granting begins
//! again only when a roster of a later version than the proposal's basis was read, because the
//! store can't apply the proposal after that.

use std::collections::BTreeMap;

use cowslipchute_base::id::Time;

use crate::handover::TransferId;
use crate::roster::Member;
use crate::roster::Move;
use crate::roster::Roster;
use crate::slot;
use crate::slot::Slot;

/// How far an offer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Other owners are being sent what is known.
    Sending,
    /// The roster is to be changed, or may have been.
    Proposing,
}

#[derive(Debug)]
pub(crate) struct Transfer {
    /// Names it, and the version of the roster that it is made from.
    pub stamp: TransferId,
    /// The slots and where they go.
    pub moves: Vec<Move>,
    /// Whether the process leaves, so that slots are given up even to one that got no handover.
    pub is_last: bool,
    pub stage: Stage,
    /// The slots of each message that is not acknowledged yet.
    waiting: BTreeMap<u32, Vec<Slot>>,
    until: Time,
}

impl Transfer {
    /// Makes an offer of the slots that are held here and that another should own by `roster`.
    ///
    /// Nothing if there is none, unless the process leaves: then it leaves the roster too.
    pub(crate) fn open(
        roster: &Roster,
        is_held: impl Fn(Slot) -> bool,
        me: &Member,
        is_last: bool,
        number: u64,
        until: Time,
    ) -> Option<Transfer> {
        let stamp = TransferId { base_version: roster.version, number };
        let leaver = is_last.then_some(me);
        let mut moves = Vec::new();
        for slot in slot::all().filter(|slot| is_held(*slot)) {
            let Some(to) = roster.target(slot, leaver) else { continue };
            if !to.is_same(me) {
                moves.push(Move { slot, to: to.clone(), number });
            }
        }
        let leaves = is_last && roster.contains(me) && roster.members.len() > 1;
        if moves.is_empty() && !leaves {
            return None;
        }
        let (waiting, stage) = (BTreeMap::new(), Stage::Sending);
        Some(Transfer { stamp, moves, is_last, stage, waiting, until })
    }

    pub(crate) fn contains(&self, slot: Slot) -> bool {
        self.moves.iter().any(|moved| moved.slot == slot)
    }

    /// Waits for the acknowledgement of one more message.
    pub(crate) fn await_part(&mut self, slots: Vec<Slot>) -> u32 {
        let part = self.waiting.len() as u32;
        self.waiting.insert(part, slots);
        part
    }

    /// Notes that a message was acknowledged or failed.
    pub(crate) fn handed_over(&mut self, stamp: TransferId, part: u32, held: bool) {
        if self.stage == Stage::Proposing || stamp != self.stamp {
            return;
        }
        let slots = self.waiting.remove(&part).unwrap_or_default();
        if !held {
            self.keep(&slots);
        }
    }

    /// Gives up waiting when the time has passed; tells whether nothing is waited for.
    pub(crate) fn is_sent(&mut self, now: Time) -> bool {
        if now >= self.until {
            for slots in std::mem::take(&mut self.waiting).into_values() {
                self.keep(&slots);
            }
        }
        self.waiting.is_empty()
    }

    /// Tells until when handovers are waited for.
    pub(crate) fn due(&self) -> Time {
        match self.stage {
            Stage::Sending => self.until,
            Stage::Proposing => Time::MAX,
        }
    }

    /// Keeps slots that their next owner knows nothing of, unless the process leaves: then the next
    /// owner is in doubt about their keys, which is no worse than if the process had just ended.
    fn keep(&mut self, slots: &[Slot]) {
        if !self.is_last {
            self.moves.retain(|moved| !slots.contains(&moved.slot));
        }
    }
}
