//! What an owner wants done.

use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer::Claimed;

use crate::event::ReadId;
use crate::event::RequestId;
use crate::handover::Handover;
use crate::roster::Member;
use crate::roster::Roster;

/// What an owner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a claim.
    Verdict {
        /// The claim.
        ask: RequestId,
        /// The verdict.
        verdict: Claimed,
        /// When it makes sense to come back, if the verdict may be another then.
        retry_after: Option<Duration>,
    },
    /// Acknowledge a settlement or a handover.
    Acknowledge {
        /// What is acknowledged.
        ask: RequestId,
        /// Whether it was taken in. If not, this process doesn't own the slot: a settlement is to
        /// be told to the owner by a newer roster.
        accepted: bool,
    },
    /// Read the roster from the store and tell how that ended. Never more than one at a time.
    ReadRoster {
        /// Number of the read.
        read: ReadId,
    },
    /// Write the roster if its key is still at a revision, and tell how that ended. Never more than
    /// one at a time.
    ProposeRoster {
        /// The revision; zero if the key must not exist.
        revision: Revision,
        /// The roster to write.
        roster: Roster,
    },
    /// Send what is known of some slots to another owner and tell how that ended.
    HandOver {
        /// The other owner.
        to: Member,
        /// What is known.
        handover: Handover,
    },
    /// Write a log event.
    Note {
        /// The event.
        event: Event,
        /// The instance that it is about.
        subject: Instance,
        /// Why, for a reader.
        reason: String,
    },
}
