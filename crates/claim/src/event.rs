//! What an owner is told.

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

/// Number by which a process matches a reply to what was asked of its owner.
pub type RequestId = u64;
/// Number of one read of the roster, rising within an owner.
pub type ReadId = u64;

/// What an owner is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A read of the roster that the owner asked for ended.
    RosterRead {
        /// Which read.
        read: ReadId,
        /// The store's revision of the roster's key; zero if there is none.
        revision: Revision,
        /// The roster, or nothing when there is none yet.
        roster: Option<Arc<Roster>>,
    },
    /// A roster came by a watch or a peer. It may be late, so it doesn't prove what is so now.
    RosterReceived {
        /// The store's revision of the roster's key.
        revision: Revision,
        /// The roster.
        roster: Arc<Roster>,
    },
    /// A proposal was decided by the store, either way.
    Proposed,
    /// A read or proposal of the roster failed; a proposal may still take effect.
    StoreFailed,
    /// The platform's list of all failure domains was read; an older version is ignored.
    Listed {
        /// The list.
        view: list::View,
    },
    /// An entry asks whether it may run the request with a key.
    Claim {
        /// To match the verdict.
        ask: RequestId,
        /// Who asks.
        claimant: Claimant,
        /// The key.
        key: Key,
        /// Version of the roster that the asker went by.
        roster: Version,
    },
    /// An entry tells what became of a request that it was granted. It does so once for a grant.
    Settle {
        /// To match the acknowledgement.
        ask: RequestId,
        /// Who was granted it.
        claimant: Claimant,
        /// The key.
        key: Key,
        /// What became of it.
        settlement: Settlement,
    },
    /// Another owner passes on what it knows of slots that it is about to give up.
    HandoverReceived {
        /// To match the acknowledgement.
        ask: RequestId,
        /// What it knows.
        handover: Handover,
    },
    /// A handover that this owner sent was acknowledged, or failed.
    HandedOver {
        /// The offer.
        transfer: TransferId,
        /// Number of the message within it.
        message_number: u32,
        /// Whether the other owner holds it.
        accepted: bool,
    },
    /// Time passed.
    Tick,
    /// Give up every slot; the process is about to stop.
    Drain,
}
