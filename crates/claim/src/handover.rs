//! What an owner passes on when it gives up a slot.

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

/// What became of one granted key, so far as its owner was told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It was granted and not settled since.
    Running,
    /// It ran; the answer is kept if it was small enough.
    Ran(Option<Answer>),
    /// It may have run.
    Unknown,
}

/// One key that was granted.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The key.
    pub key: Key,
    /// To whom it was granted.
    pub claimant: Claimant,
    /// What became of it.
    pub state: State,
    /// How long it has to be kept yet.
    #[serde_as(as = "Millis")]
    pub expires_in: Duration,
}

/// All that is known of one slot.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotState {
    /// The slot.
    pub slot: Slot,
    /// How long a key that is not among `grants` may have been granted by an earlier owner.
    #[serde_as(as = "Millis")]
    pub in_doubt_for: Duration,
    /// The keys granted.
    pub grants: Vec<Grant>,
}

/// Names what was sent of an offer of slots.
///
/// A parcel is used only if the roster says that its slot was given up under the same number and
/// right after the same version. Anything else was sent for a change that did not come about, and
/// keys may have been granted since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct TransferId {
    /// Version of the roster that is to be changed.
    pub base_version: Version,
    /// Number of the offer, never used again by its sender.
    pub number: u64,
}

/// Several slots for one owner, in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// Which offer it belongs to.
    pub transfer: TransferId,
    /// Number of this message within the offer.
    pub message_number: u32,
    /// The slots.
    pub slots: Vec<SlotState>,
}

impl Handover {
    /// Encodes it for a message between peers.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a handover always has a postcard form")
    }

    /// Reads what [`Handover::to_bytes`] made; nothing if the bytes are no handover.
    pub fn from_bytes(bytes: &[u8]) -> Option<Handover> {
        let (handover, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(handover)
    }

    /// Counts the keys of all slots.
    pub fn keys(&self) -> usize {
        self.slots.iter().map(|parcel| parcel.grants.len()).sum()
    }

    /// Counts the bytes of all answers.
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
