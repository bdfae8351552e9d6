//! Actions requested by an owner.

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

/// An action requested by an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a claim.
    Verdict {
        /// The claim.
        ask: RequestId,
        /// The verdict.
        verdict: Claimed,
        /// The delay after which a retry may get another verdict, if it may.
        retry_after: Option<Duration>,
    },
    /// Acknowledge a settlement or a handover.
    Acknowledge {
        /// The request that is acknowledged.
        ask: RequestId,
        /// Whether it was accepted. If not, this process doesn't own the slot, and a settlement has
        /// to be sent to the owner by a newer roster.
        accepted: bool,
    },
    /// Read the roster from the store and report the outcome. At most one read counts at a time.
    ReadRoster {
        /// Identifier of the read.
        read: ReadId,
    },
    /// Write the roster if its key is still at a revision, and report the outcome. At most one
    /// proposal is in flight.
    ProposeRoster {
        /// The revision, or zero if the key must not exist.
        revision: Revision,
        /// The roster to write.
        roster: Roster,
    },
    /// Send the state of some slots to another owner and report the outcome.
    HandOver {
        /// The other owner.
        to: Member,
        /// The state of the slots.
        handover: Handover,
    },
    /// Write a log event.
    Note {
        /// The event.
        event: Event,
        /// The instance that the event is about.
        subject: Instance,
        /// The reason, in plain text.
        reason: String,
    },
}
