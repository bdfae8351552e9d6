//! The state machine of a cell's ownership, with one type for each state, so that only the
//! transitions in this module are possible.
//!
//! `Vacant -> Taking -> Held -> Yielding -> Releasing -> Vacant`, and from `Held` or `Yielding`
//! through `Stopping` to `Vacant` when a higher epoch is seen.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::event::CallId;
use crate::event::Ticket;
use crate::inquiry::Inquiry;
use crate::owner::Claim;
use crate::owner::Owner;
use crate::plan::CellIndex;

/// The data kept in all states.
#[derive(Clone, Debug)]
pub struct Common {
    /// Index of the cell within its domain.
    pub index: CellIndex,
    /// Name of the cell.
    pub cell: id::Cell,
    /// The highest epoch seen in the store or at a worker; a new epoch must be above it.
    pub max_epoch: id::Epoch,
    /// Queries of later owners, answered once this placer has stopped the cell.
    pub pending_calls: SmallVec<[CallId; 1]>,
    /// How often this placer has released the cell.
    pub handovers: u32,
}

/// This placer's ownership of one cell, in state `S`.
#[derive(Clone, Debug)]
pub struct Ownership<S> {
    /// The data kept in all states.
    pub common: Common,
    /// The data of the state.
    pub state: S,
}

/// The cell is not owned by this placer.
#[derive(Clone, Debug)]
pub struct Vacant {
    /// The time since which the cell has been free to take.
    pub free_since: Option<Time>,
}

/// The write that takes the cell is in flight, or its answer was lost.
#[derive(Clone, Debug)]
pub struct Taking {
    /// The call, or `None` once its answer was lost.
    pub ticket: Option<Ticket>,
    /// The value being written.
    pub claim: Claim,
    /// All previous owners that have not released the cell.
    pub previous_owners: Vec<Owner>,
}

/// The cell is owned by this placer.
#[derive(Clone, Debug)]
pub struct Held {
    /// The value at the cell's key.
    pub claim: Claim,
    /// Revision of the key.
    pub revision: id::Revision,
    /// The state of the queries to the previous owners.
    pub inquiry: Inquiry,
    /// Whether it was logged that this placer keeps running the cell without the store.
    pub isolated: bool,
    /// The time since which a live placer has ranked before this one.
    pub outranked_since: Option<Time>,
}

/// The cell is still owned and is being quiesced.
#[derive(Clone, Debug)]
pub struct Yielding {
    /// The value at the cell's key.
    pub claim: Claim,
    /// Revision of the key.
    pub revision: id::Revision,
    /// The state of the queries to the previous owners.
    pub inquiry: Inquiry,
}

/// The cell is quiesced, and its release is being written to the store.
#[derive(Clone, Debug)]
pub struct Releasing {
    /// The value being written.
    pub claim: Claim,
    /// Identity of the write whose value is at the key until the release takes effect.
    pub held_operation: id::Operation,
    /// Revision of the key until the release takes effect.
    pub revision: id::Revision,
    /// The call, if one is in flight.
    pub ticket: Option<Ticket>,
}

/// The ownership is lost, and requests still in flight are being waited for.
#[derive(Clone, Debug)]
pub struct Stopping {
    /// The epoch whose ownership was lost.
    pub epoch: id::Epoch,
}

impl Ownership<Vacant> {
    /// Opens the ownership of a cell that is not owned by this placer.
    pub fn open(index: CellIndex, cell: id::Cell) -> Ownership<Vacant> {
        let pending_calls = SmallVec::new();
        let common = Common { index, cell, max_epoch: 0, pending_calls, handovers: 0 };
        Ownership { common, state: Vacant { free_since: None } }
    }

    /// Records that the write that takes the cell was sent.
    pub fn take(
        self,
        ticket: Ticket,
        claim: Claim,
        previous_owners: Vec<Owner>,
    ) -> Ownership<Taking> {
        assert!(claim.epoch > self.common.max_epoch, "a new epoch is above all epochs seen");
        Ownership {
            common: self.common,
            state: Taking { ticket: Some(ticket), claim, previous_owners },
        }
    }
}

impl Ownership<Taking> {
    /// Records that the write took effect.
    pub fn taken(self, revision: id::Revision, inquiry: Inquiry) -> Ownership<Held> {
        let mut common = self.common;
        let claim = self.state.claim;
        common.max_epoch = common.max_epoch.max(claim.epoch);
        let state = Held { claim, revision, inquiry, isolated: false, outranked_since: None };
        Ownership { common, state }
    }

    /// Records that the write did not take effect.
    pub fn failed(self) -> Ownership<Vacant> {
        Ownership { common: self.common, state: Vacant { free_since: None } }
    }
}

impl Ownership<Held> {
    /// Starts to quiesce the cell.
    pub fn start_yielding(self) -> Ownership<Yielding> {
        let Held { claim, revision, inquiry, .. } = self.state;
        Ownership { common: self.common, state: Yielding { claim, revision, inquiry } }
    }

    /// Records that a higher epoch was seen.
    pub fn lose(self) -> Ownership<Stopping> {
        Ownership { common: self.common, state: Stopping { epoch: self.state.claim.epoch } }
    }
}

impl Ownership<Yielding> {
    /// Records that the cell is quiesced.
    pub fn quiesced(self, operation: id::Operation) -> Ownership<Releasing> {
        let Yielding { claim, revision, inquiry } = self.state;
        let held_operation = claim.operation;
        let previous_owners = inquiry.unconfirmed();
        let claim = Claim { operation, released: true, previous_owners, ..claim };
        Ownership {
            common: self.common,
            state: Releasing { claim, held_operation, revision, ticket: None },
        }
    }

    /// Records that a higher epoch was seen.
    pub fn lose(self) -> Ownership<Stopping> {
        Ownership { common: self.common, state: Stopping { epoch: self.state.claim.epoch } }
    }
}

impl Ownership<Releasing> {
    /// Records that the release is in the store or that another owner has taken the cell.
    pub fn released(self) -> Ownership<Vacant> {
        let mut common = self.common;
        common.handovers = common.handovers.saturating_add(1);
        Ownership { common, state: Vacant { free_since: None } }
    }
}

impl Ownership<Stopping> {
    /// Records that no request of the cell is in flight any more.
    pub fn stopped(self) -> Ownership<Vacant> {
        Ownership { common: self.common, state: Vacant { free_since: None } }
    }
}

/// The ownership of a cell in any state.
#[derive(Clone, Debug)]
pub enum Stage {
    /// The cell is not owned by this placer.
    Vacant(Ownership<Vacant>),
    /// The cell is being taken.
    Taking(Ownership<Taking>),
    /// The cell is owned by this placer.
    Held(Ownership<Held>),
    /// The cell is owned and being quiesced.
    Yielding(Ownership<Yielding>),
    /// The cell is quiesced and being released in the store.
    Releasing(Ownership<Releasing>),
    /// The ownership is lost and the cell is being stopped.
    Stopping(Ownership<Stopping>),
}

impl Stage {
    /// Returns the data kept in all states.
    pub fn common(&mut self) -> &mut Common {
        match self {
            Stage::Vacant(ownership) => &mut ownership.common,
            Stage::Taking(ownership) => &mut ownership.common,
            Stage::Held(ownership) => &mut ownership.common,
            Stage::Yielding(ownership) => &mut ownership.common,
            Stage::Releasing(ownership) => &mut ownership.common,
            Stage::Stopping(ownership) => &mut ownership.common,
        }
    }

    /// Returns the epoch under which this placer runs the cell, if it does.
    pub fn active(&self) -> Option<id::Epoch> {
        match self {
            Stage::Held(ownership) => Some(ownership.state.claim.epoch),
            Stage::Yielding(ownership) => Some(ownership.state.claim.epoch),
            _ => None,
        }
    }

    /// Returns `true` if the cell is being taken by the given write.
    pub fn is_taking(&self, operation: id::Operation) -> bool {
        matches!(self, Stage::Taking(ownership) if ownership.state.claim.operation == operation)
    }

    /// Returns the name of the stage in status output and scenarios.
    pub fn as_str(&self) -> &'static str {
        match self {
            Stage::Vacant(_) => "vacant",
            Stage::Taking(_) => "taking",
            Stage::Held(ownership) if ownership.state.isolated => "isolated",
            Stage::Held(_) => "held",
            Stage::Yielding(_) => "yielding",
            Stage::Releasing(_) => "releasing",
            Stage::Stopping(_) => "stopping",
        }
    }
}
