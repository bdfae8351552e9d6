//! The life cycle of a cell's ownership, one type for each state, so that no state can be left
//! but by the transitions written here.
//!
//! `Vacant -> Taking -> Held -> Yielding -> Releasing -> Vacant`, and from `Held` or `Yielding`
//! through `Stopping` to `Vacant` when a higher epoch is met.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::event::CallId;
use crate::event::Ticket;
use crate::inquiry::Inquiry;
use crate::owner::Claim;
use crate::owner::Owner;
use crate::plan::CellIndex;

/// What lasts over all states.
#[derive(Clone, Debug)]
pub struct Common {
    /// Number of the cell.
    pub index: CellIndex,
    /// Name of the cell.
    pub cell: id::Cell,
    /// The highest epoch met anywhere; ours is to be above it.
    pub max_epoch: id::Epoch,
    /// Later owners waiting to hear that we have stopped.
    pub pending_calls: SmallVec<[CallId; 1]>,
    /// How often we have handed the cell to a placer that ranks before us.
    pub handovers: u32,
}

/// One cell as this placer stands to it.
#[derive(Clone, Debug)]
pub struct Ownership<S> {
    /// What lasts over all states.
    pub common: Common,
    /// What belongs to the state.
    pub state: S,
}

/// Not ours.
#[derive(Clone, Debug)]
pub struct Vacant {
    /// Since when it could be taken.
    pub free_since: Option<Time>,
}

/// A write that would make it ours is on its way, or its answer was lost.
#[derive(Clone, Debug)]
pub struct Taking {
    /// The call; nothing once its answer was lost.
    pub ticket: Option<Ticket>,
    /// What is written.
    pub claim: Claim,
    /// All former owners that have not released it.
    pub previous_owners: Vec<Owner>,
}

/// Ours.
#[derive(Clone, Debug)]
pub struct Held {
    /// What stands at the key.
    pub claim: Claim,
    /// Revision of the key.
    pub revision: id::Revision,
    /// The former owners.
    pub inquiry: Inquiry,
    /// Whether operators were told that we go on without the store.
    pub isolated: bool,
    /// Since when a live placer ranks before us.
    pub outranked_since: Option<Time>,
}

/// Ours, and being finished in good order.
#[derive(Clone, Debug)]
pub struct Yielding {
    /// What stands at the key.
    pub claim: Claim,
    /// Revision of the key.
    pub revision: id::Revision,
    /// The former owners.
    pub inquiry: Inquiry,
}

/// Nothing is done for it any more; the store is being told.
#[derive(Clone, Debug)]
pub struct Releasing {
    /// What is written.
    pub claim: Claim,
    /// Identity of the write that stands at the key until then.
    pub held_operation: id::Operation,
    /// Revision of the key until then.
    pub revision: id::Revision,
    /// The call, if one is on its way.
    pub ticket: Option<Ticket>,
}

/// Lost; what was on its way is running out.
#[derive(Clone, Debug)]
pub struct Stopping {
    /// The epoch that was lost.
    pub epoch: id::Epoch,
}

impl Ownership<Vacant> {
    /// Starts with a cell that is not ours.
    pub fn open(index: CellIndex, cell: id::Cell) -> Ownership<Vacant> {
        let pending_calls = SmallVec::new();
        let common = Common { index, cell, max_epoch: 0, pending_calls, handovers: 0 };
        Ownership { common, state: Vacant { free_since: None } }
    }

    /// Sends the write that makes the cell ours.
    pub fn take(
        self,
        ticket: Ticket,
        claim: Claim,
        previous_owners: Vec<Owner>,
    ) -> Ownership<Taking> {
        assert!(claim.epoch > self.common.max_epoch, "an epoch is above every one met");
        Ownership {
            common: self.common,
            state: Taking { ticket: Some(ticket), claim, previous_owners },
        }
    }
}

impl Ownership<Taking> {
    /// The write stands at the key.
    pub fn taken(self, revision: id::Revision, inquiry: Inquiry) -> Ownership<Held> {
        let mut common = self.common;
        let claim = self.state.claim;
        common.max_epoch = common.max_epoch.max(claim.epoch);
        let state = Held { claim, revision, inquiry, isolated: false, outranked_since: None };
        Ownership { common, state }
    }

    /// The write does not stand at the key.
    pub fn failed(self) -> Ownership<Vacant> {
        Ownership { common: self.common, state: Vacant { free_since: None } }
    }
}

impl Ownership<Held> {
    /// Starts to give the cell up in good order.
    pub fn give_up(self) -> Ownership<Yielding> {
        let Held { claim, revision, inquiry, .. } = self.state;
        Ownership { common: self.common, state: Yielding { claim, revision, inquiry } }
    }

    /// Meets a higher epoch.
    pub fn lose(self) -> Ownership<Stopping> {
        Ownership { common: self.common, state: Stopping { epoch: self.state.claim.epoch } }
    }
}

impl Ownership<Yielding> {
    /// Nothing is done for the cell any more.
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

    /// Meets a higher epoch.
    pub fn lose(self) -> Ownership<Stopping> {
        Ownership { common: self.common, state: Stopping { epoch: self.state.claim.epoch } }
    }
}

impl Ownership<Releasing> {
    /// The store knows, or another owner is there already.
    pub fn released(self) -> Ownership<Vacant> {
        let mut common = self.common;
        common.handovers = common.handovers.saturating_add(1);
        Ownership { common, state: Vacant { free_since: None } }
    }
}

impl Ownership<Stopping> {
    /// Nothing of it is on its way any more.
    pub fn stopped(self) -> Ownership<Vacant> {
        Ownership { common: self.common, state: Vacant { free_since: None } }
    }
}

/// A cell in whichever state.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Not ours.
    Vacant(Ownership<Vacant>),
    /// Being taken.
    Taking(Ownership<Taking>),
    /// Ours.
    Held(Ownership<Held>),
    /// Ours, being finished.
    Yielding(Ownership<Yielding>),
    /// Finished, being given up in the store.
    Releasing(Ownership<Releasing>),
    /// Lost, running out.
    Stopping(Ownership<Stopping>),
}

impl Stage {
    /// Returns what lasts over all states.
    pub fn common(&mut self) -> &mut Common {
        match self {
            Stage::Vacant(tenure) => &mut tenure.common,
            Stage::Taking(tenure) => &mut tenure.common,
            Stage::Held(tenure) => &mut tenure.common,
            Stage::Yielding(tenure) => &mut tenure.common,
            Stage::Releasing(tenure) => &mut tenure.common,
            Stage::Stopping(tenure) => &mut tenure.common,
        }
    }

    /// Returns the epoch under which we act for the cell, if we do.
    pub fn active(&self) -> Option<id::Epoch> {
        match self {
            Stage::Held(tenure) => Some(tenure.state.claim.epoch),
            Stage::Yielding(tenure) => Some(tenure.state.claim.epoch),
            _ => None,
        }
    }

    /// Tells whether the cell is being taken by that write.
    pub fn is_taking(&self, operation: id::Operation) -> bool {
        matches!(self, Stage::Taking(tenure) if tenure.state.claim.operation == operation)
    }

    /// Returns the word used in status output and scenarios.
    pub fn as_str(&self) -> &'static str {
        match self {
            Stage::Vacant(_) => "vacant",
            Stage::Taking(_) => "taking",
            Stage::Held(tenure) if tenure.state.isolated => "isolated",
            Stage::Held(_) => "held",
            Stage::Yielding(_) => "yielding",
            Stage::Releasing(_) => "releasing",
            Stage::Stopping(_) => "stopping",
        }
    }
}
