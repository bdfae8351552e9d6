//! What a keeper tells about itself.

use cowslipchute_base::id;

use crate::key;

use super::Manager;

/// One cell as status output shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The cell.
    pub cell: id::Cell,
    /// How this placer stands to it.
    pub stage: &'static str,
    /// Our epoch, if we act for it.
    pub epoch: Option<id::Epoch>,
    /// The owner as last read.
    pub owner: Option<id::Instance>,
}

impl Manager {
    /// Lists every cell of the domain as this placer stands to it.
    pub fn cell_statuses(&self) -> impl Iterator<Item = Status> {
        self.stages.iter().map(|(&slice, stage)| {
            let title = self.scene.as_ref().and_then(|scene| scene.entry(slice));
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
