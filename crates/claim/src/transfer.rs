//! Transfer of slots from this process to other members.
//!
//! The order of the steps makes it safe: granting keys of the slots stops first, then their state
//! is sent, then the roster is changed. A proposal may take effect long after its answer was lost.
//! So granting resumes only when a roster newer than the proposal's base version was read, because
//! the store can't apply the proposal after that.

use std::collections::BTreeMap;

use cowslipchute_base::id::Time;

use crate::handover::TransferId;
use crate::roster::Member;
use crate::roster::Move;
use crate::roster::Roster;
use crate::slot;
use crate::slot::Slot;

/// The progress of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The state of the slots is being sent to their next owners.
    Sending,
    /// The change of the roster is being proposed, or may have taken effect.
    Proposing,
}

#[derive(Debug)]
pub(crate) struct Transfer {
    /// The identifier, with the version of the roster that the transfer changes.
    pub id: TransferId,
    /// The slots and their next owners.
    pub moves: Vec<Move>,
    /// Whether the process is leaving, so that slots are transferred even to a member that did not
    /// receive their state.
    pub is_leaving: bool,
    pub stage: Stage,
    /// The slots of each message that is not acknowledged yet, by message number.
    pending: BTreeMap<u32, Vec<Slot>>,
    deadline: Time,
}

impl Transfer {
    /// Opens a transfer of the owned slots that another member should own by `roster`.
    ///
    /// Returns `None` if there are no such slots, unless the process is leaving and still has to be
    /// removed from the roster.
    pub(crate) fn open(
        roster: &Roster,
        is_owned: impl Fn(Slot) -> bool,
        member: &Member,
        is_leaving: bool,
        number: u64,
        deadline: Time,
    ) -> Option<Transfer> {
        let id = TransferId { base_version: roster.version, number };
        let leaver = is_leaving.then_some(member);
        let mut moves = Vec::new();
        for slot in slot::all().filter(|slot| is_owned(*slot)) {
            let Some(to) = roster.target(slot, leaver) else { continue };
            if !to.is_same(member) {
                moves.push(Move { slot, to: to.clone(), number });
            }
        }
        let removes_member = is_leaving && roster.contains(member) && roster.members.len() > 1;
        if moves.is_empty() && !removes_member {
            return None;
        }
        let (pending, stage) = (BTreeMap::new(), Stage::Sending);
        Some(Transfer { id, moves, is_leaving, stage, pending, deadline })
    }

    pub(crate) fn contains(&self, slot: Slot) -> bool {
        self.moves.iter().any(|moved| moved.slot == slot)
    }

    /// Registers a message to be acknowledged and returns its number.
    pub(crate) fn add_message(&mut self, slots: Vec<Slot>) -> u32 {
        let message = self.pending.len() as u32;
        self.pending.insert(message, slots);
        message
    }

    /// Records that a message was acknowledged or failed.
    pub(crate) fn acknowledged(&mut self, id: TransferId, message: u32, accepted: bool) {
        if self.stage == Stage::Proposing || id != self.id {
            return;
        }
        let slots = self.pending.remove(&message).unwrap_or_default();
        if !accepted {
            self.withdraw(&slots);
        }
    }

    /// Returns `true` if no acknowledgement is pending. After the timeout, pending ones count as
    /// failed.
    pub(crate) fn is_complete(&mut self, now: Time) -> bool {
        if now >= self.deadline {
            for slots in std::mem::take(&mut self.pending).into_values() {
                self.withdraw(&slots);
            }
        }
        self.pending.is_empty()
    }

    /// Returns the time at which waiting for acknowledgements ends.
    pub(crate) fn next_due(&self) -> Time {
        match self.stage {
            Stage::Sending => self.deadline,
            Stage::Proposing => Time::MAX,
        }
    }

    /// Withdraws slots whose state did not arrive from the transfer, unless the process is leaving:
    /// then their keys are in doubt for the next owner, as if this process had crashed.
    fn withdraw(&mut self, slots: &[Slot]) {
        if !self.is_leaving {
            self.moves.retain(|moved| !slots.contains(&moved.slot));
        }
    }
}
