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
        self.stages.iter().map(|(&slice, stage)| {
            let title = self.snapshot.as_ref().and_then(|scene| scene.entry(slice));
            let claim = title.and_then(|title| title.claim.as_ref());
            Status {
                cell: key::name(&self.settings.domain, slice),
                stage: stage.as_str(),
                epoch: stage.active(),
                owner: claim.filter(|claim| !claim.released).map(|c| c.owner.instance.clone()),
            }
        })
    }
}
