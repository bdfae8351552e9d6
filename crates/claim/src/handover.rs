//! The state of slots that an owner sends to their next owner.

use std::time::Duration;

use cowslipchute_base::unit::Millis;
use cowslipchute_ports::peer::Answer;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::event::Claimant;
use crate::roster::Version;
use crate::slot::Key;
use crate::slot::Slot;

/// The state of a granted key, as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The key was granted and its outcome is not reported yet.
    Running,
    /// The request ran; the answer is kept if it is small enough.
    Ran(Option<Answer>),
    /// The request may have run.
    Unknown,
}

/// One key that was granted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The key.
    pub key: Key,
    /// The request that it was granted to.
    pub claimant: Claimant,
    /// The state of the key.
    pub state: State,
    /// The time for which the key still has to be kept.
    #[serde_as(as = "Millis")]
    pub expires_in: Duration,
}

/// The state of one slot.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotState {
    /// The slot.
    pub slot: Slot,
    /// The time for which a key missing from `grants` may have been granted by a previous owner.
    #[serde_as(as = "Millis")]
    pub in_doubt_for: Duration,
    /// The granted keys.
    pub grants: Vec<Grant>,
}

/// The identifier of a transfer of slots.
///
/// A received slot state is used only if the roster says that the slot was transferred under the
/// same number and by the version that follows `base_version`. Otherwise it was sent for a change
/// that did not take effect, and keys may have been granted since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TransferId {
    /// Version of the roster that the transfer changes.
    pub base_version: Version,
    /// Number of the transfer, unique for its sender.
    pub number: u64,
}

/// A message with the state of several slots for one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The transfer that the message belongs to.
    pub transfer: TransferId,
    /// Number of the message within the transfer.
    pub message_number: u32,
    /// The slots.
    pub slots: Vec<SlotState>,
}

impl Handover {
    /// Encodes the handover for a message between peers.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a handover can always be encoded")
    }

    /// Decodes the output of [`Handover::to_bytes`]. Returns `None` if the bytes are invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Handover> {
        let (handover, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(handover)
    }

    /// Returns the number of keys in all slots.
    pub fn keys(&self) -> usize {
        self.slots.iter().map(|parcel| parcel.grants.len()).sum()
    }

    /// Returns the total size of all answers in bytes.
    pub fn answers_bytes(&self) -> usize {
        let kept = self.slots.iter().flat_map(|parcel| &parcel.grants);
        kept.map(|kept| match &kept.state {
            State::Ran(Some(answer)) => {
                answer.body.len() + answer.content_type.as_ref().map_or(0, String::len)
            }
            _ => 0,
        })
        .sum()
    }
}
