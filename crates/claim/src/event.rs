//! Events handled by an owner.

use std::sync::Arc;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::list;
pub use cowslipchute_ports::peer::Claimant;
use cowslipchute_ports::peer::Settlement;

use crate::handover::Handover;
use crate::handover::TransferId;
use crate::roster::Roster;
use crate::roster::Version;
use crate::slot::Key;

/// Identifier by which a process matches a reply to a request to its owner.
pub type RequestId = u64;
/// Identifier of a read of the roster, increasing within an owner.
pub type ReadId = u64;

/// An event handled by an owner.
#[derive(Clone, Debug)]
pub enum Event {
    /// A requested read of the roster ended.
    RosterRead {
        /// The read.
        read: ReadId,
        /// The store's revision of the roster's key, or zero if the key doesn't exist.
        revision: Revision,
        /// The roster, or `None` if there is none yet.
        roster: Option<Arc<Roster>>,
    },
    /// A roster arrived by a watch or from a peer. It may be late, so it doesn't prove the
    /// current state.
    RosterReceived {
        /// The store's revision of the roster's key.
        revision: Revision,
        /// The roster.
        roster: Arc<Roster>,
    },
    /// The store applied or rejected a proposal.
    Proposed,
    /// A read or proposal of the roster failed; a proposal may still take effect.
    StoreFailed,
    /// The platform's list of all failure domains was read; older versions are ignored.
    Listed {
        /// The list.
        view: list::View,
    },
    /// An entry process asks whether it may run the request with a key.
    Claim {
        /// Identifier that the verdict carries.
        ask: RequestId,
        /// The request for which the key is claimed.
        claimant: Claimant,
        /// The key.
        key: Key,
        /// Version of the roster by which the entry process chose the owner.
        roster: Version,
    },
    /// An entry process reports the outcome of a granted request, once for each grant.
    Settle {
        /// Identifier that the acknowledgement carries.
        ask: RequestId,
        /// The request that the key was granted to.
        claimant: Claimant,
        /// The key.
        key: Key,
        /// The outcome.
        settlement: Settlement,
    },
    /// Another owner sent the state of slots that it is about to give up.
    HandoverReceived {
        /// Identifier that the acknowledgement carries.
        ask: RequestId,
        /// The state of the slots.
        handover: Handover,
    },
    /// A handover sent by this owner was acknowledged or failed.
    HandedOver {
        /// The transfer.
        transfer: TransferId,
        /// Number of the message within the transfer.
        message_number: u32,
        /// Whether the other owner accepted it.
        accepted: bool,
    },
    /// Time passed.
    Tick,
    /// Transfer all slots; the process is about to stop.
    Drain,
}
