//! What each child has been pushed.
//!
//! At most one push to a child is under way; what changes meanwhile goes with the next one. A child
//! that can't be served by changes alone is left to its own pull.

use std::collections::BTreeMap;

use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use smallvec::SmallVec;

use crate::batch::Batch;
use crate::rank::Peer;
use crate::replica::PAGE_BYTES;
use crate::replica::Replica;

/// A push to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    /// To whom.
    pub peer: Peer,
    /// What; its scope is always [`crate::batch::Scope::After`].
    pub batch: Batch,
}

#[derive(Clone, Copy, Debug)]
struct Child {
    pushed: Revision,
    under_way: bool,
}

/// The children and how far each has been pushed.
#[derive(Clone, Debug, Default)]
pub struct Children {
    children: BTreeMap<Instance, Child>,
}

impl Children {
    /// Returns the pushes to make after changes that continue from `before`.
    pub fn changed<'a>(
        &mut self,
        held: &Replica,
        before: Revision,
        children: impl Iterator<Item = &'a Peer>,
    ) -> SmallVec<[Push; 8]> {
        let mut pushes = SmallVec::new();
        let mut kept = BTreeMap::new();
        for peer in children {
            let new = Child { pushed: before, under_way: false };
            let mut child = self.children.remove(&peer.instance).unwrap_or(new);
            pushes.extend(child.push(held, peer));
            kept.insert(peer.instance.clone(), child);
        }
        self.children = kept;
        pushes
    }

    /// Returns the next push to a child that took the last one, if more changed meanwhile.
    pub fn accepted(&mut self, held: &Replica, peer: &Peer) -> Option<Push> {
        let child = self.children.get_mut(&peer.instance)?;
        child.under_way = false;
        child.push(held, peer)
    }

    /// Forgets a child that did not take a push.
    pub fn failed(&mut self, peer: &Peer) {
        self.children.remove(&peer.instance);
    }
}

impl Child {
    fn push(&mut self, held: &Replica, peer: &Peer) -> Option<Push> {
        // A change ahead of `in_force` waits until what lies between is known.
        let known = held.last_change().min(held.in_force());
        if self.under_way || self.pushed >= known {
            return None;
        }
        let page = held.page(self.pushed, PAGE_BYTES);
        self.pushed = held.in_force();
        if page.lacks_removals || !page.last || page.batch.items.is_empty() {
            return None;
        }
        self.under_way = true;
        Some(Push { peer: peer.clone(), batch: page.batch })
    }
}
