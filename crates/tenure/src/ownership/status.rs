//! Status output of the ownership manager.

use cowslipchute_base::id;

use crate::key;

use super::Manager;

/// The status of one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The cell.
    pub cell: id::Cell,
    /// The stage of this placer's ownership.
    pub stage: &'static str,
    /// This placer's epoch, if it runs the cell.
    pub epoch: Option<id::Epoch>,
    /// The owner as last read from the store.
    pub owner: Option<id::Instance>,
}

impl Manager {
    /// Returns the status of every cell of the domain.
    pub fn cell_statuses(&self) -> impl Iterator<Item = Status> {
        self.stages.iter().map(|(&index, stage)| {
            let cell_entry = self.snapshot.as_ref().and_then(|snapshot| snapshot.entry(index));
            let claim = cell_entry.and_then(|cell_entry| cell_entry.claim.as_ref());
            Status {
                cell: key::name(&self.settings.domain, index),
                stage: stage.as_str(),
                epoch: stage.active(),
                owner: claim.filter(|claim| !claim.released).map(|c| c.owner.instance.clone()),
            }
        })
    }
}
