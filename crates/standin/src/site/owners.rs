//! Who owned the cell, by the store's key, and when each began to start tasks.

use cowslipchute_base::id;
use cowslipchute_base::id::Time;

use super::State;

/// The key of the store that names the owner.
pub(super) const KEY: &str = "cell/owner";

/// One ownership of the cell.
#[derive(Clone, Debug)]
pub struct Ownership {
    /// The value of the key, which identifies a start of a process.
    pub holder: Vec<u8>,
    /// The revision at which the key was created.
    pub created: u64,
    /// The time at which the key was seen first.
    pub since: Time,
    /// The time of the first start of a task in this ownership.
    pub first_start: Option<Time>,
    /// The highest epoch of a start before.
    highest_before: id::Epoch,
}

/// The ownerships of the cell.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// All of them, the newest at the end.
    pub all: Vec<Ownership>,
    highest: id::Epoch,
}

impl Owners {
    /// Records a start that a worker has carried out. Epochs of an ownership are above all of the one before.
    pub(super) fn start(&mut self, epoch: id::Epoch, now: Time) {
        self.highest = self.highest.max(epoch);
        if let Some(newest) = self.all.last_mut()
            && epoch > newest.highest_before
        {
            newest.first_start.get_or_insert(now);
        }
    }
}

impl State {
    /// Records an ownership that has begun.
    pub(super) fn watch_owners(&mut self, now: Time) {
        let Some(created) = self.store.created(KEY) else { return };
        if self.owners.all.last().is_some_and(|newest| newest.created == created) {
            return;
        }
        let holder = self.store.value(KEY).unwrap_or_default().to_vec();
        let highest_before = self.owners.highest;
        let since = now;
        let ownership = Ownership { holder, created, since, first_start: None, highest_before };
        self.owners.all.push(ownership);
    }
}
