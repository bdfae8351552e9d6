//! Pushes of changes to the children of this instance.
//!
//! At most one push to a child is in flight; changes made meanwhile are sent with the next one. A
//! child that needs more than one page of changes, or the whole configuration, isn't pushed to: it
//! pulls.

use std::collections::BTreeMap;

use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use smallvec::SmallVec;

use crate::batch::Batch;
use crate::rank::Peer;
use crate::replica::PAGE_BYTES;
use crate::replica::Replica;

/// A push to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// The receiver.
    pub peer: Peer,
    /// The changes; the scope is always [`crate::batch::Scope::After`].
    pub batch: Batch,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    pushed: Revision,
    in_flight: bool,
}

/// The children and the revision to which each has been pushed.
#[derive(Clone, Debug, Default)]
pub struct Children {
    children: BTreeMap<Instance, Child>,
}

impl Children {
    /// Returns the pushes to be made after changes. A new child is assumed to have everything up to
    /// `before`.
    pub fn changed<'a>(
        &mut self,
        replica: &Replica,
        before: Revision,
        children: impl Iterator<Item = &'a Peer>,
    ) -> SmallVec<[Push; 8]> {
        let mut pushes = SmallVec::new();
        let mut current = BTreeMap::new();
        for peer in children {
            let new = Child { pushed: before, in_flight: false };
            let mut child = self.children.remove(&peer.instance).unwrap_or(new);
            pushes.extend(child.push(replica, peer));
            current.insert(peer.instance.clone(), child);
        }
        self.children = current;
        pushes
    }

    /// Records that a child accepted a push; returns the next one if more changed meanwhile.
    pub fn accepted(&mut self, replica: &Replica, peer: &Peer) -> Option<Push> {
        let child = self.children.get_mut(&peer.instance)?;
        child.in_flight = false;
        child.push(replica, peer)
    }

    /// Removes a child that failed to accept a push.
    pub fn failed(&mut self, peer: &Peer) {
        self.children.remove(&peer.instance);
    }
}

impl Child {
    fn push(&mut self, replica: &Replica, peer: &Peer) -> Option<Push> {
        // A change above `in_force` isn't pushed before the changes in between are known.
        let latest = replica.last_change().min(replica.in_force());
        if self.in_flight || self.pushed >= latest {
            return None;
        }
        let page = replica.page(self.pushed, PAGE_BYTES);
        self.pushed = replica.in_force();
        if page.lacks_removals || !page.last || page.batch.items.is_empty() {
            return None;
        }
        self.in_flight = true;
        Some(Push { peer: peer.clone(), batch: page.batch })
    }
}
