//! A pull, which requests pages of changes from one peer until none are missing.
//!
//! Pages are assembled before any of them is applied. A page has only the last change of each key,
//! so it lacks changes that were superseded later; only all pages together are consistent at one
//! revision. The last page is empty, so that neither side has to know the other's page size.

use std::collections::BTreeMap;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer::Item;

use crate::batch::Batch;
use crate::batch::Scope;
use crate::rank::Peer;

/// Next step after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the same peer for the changes after this revision.
    Ask(Revision),
    /// Apply the batch; the pull is complete.
    Apply(Batch),
}

#[derive(Clone, Debug)]
struct State {
    peer: Peer,
    from: Revision,
    reached: Revision,
    items: BTreeMap<String, Item>,
}

/// The pull in progress, if any.
#[derive(Clone, Debug, Default)]
pub struct Pull {
    state: Option<State>,
}

impl Pull {
    /// Starts a pull of a peer's changes above `in_force` and returns the revision to ask from, or
    /// `None` if a pull is in progress.
    pub fn begin(&mut self, peer: &Peer, in_force: Revision) -> Option<Revision> {
        if self.state.is_some() {
            return None;
        }
        let (peer, from, reached) = (peer.clone(), in_force, in_force);
        self.state = Some(State { peer, from, reached, items: BTreeMap::new() });
        Some(in_force)
    }

    /// Handles a page and returns the next step. `lacks_removals` means that the peer doesn't know
    /// every removal since the requested revision; the pull then restarts from zero.
    pub fn receive(
        &mut self,
        items: Vec<Item>,
        revision: Revision,
        lacks_removals: bool,
    ) -> Option<Step> {
        let state = self.state.as_mut()?;
        if lacks_removals && state.from > 0 {
            (state.from, state.reached) = (0, 0);
            state.items.clear();
            return Some(Step::Ask(0));
        }
        let last = items.is_empty() || revision <= state.reached;
        for item in items {
            state.take(item);
        }
        state.reached = state.reached.max(revision);
        if !last {
            return Some(Step::Ask(state.reached));
        }
        let state = self.state.take()?;
        Some(Step::Apply(state.batch()))
    }

    /// Cancels the pull from this peer and drops its pages; nothing was applied.
    pub fn failed(&mut self, peer: &Peer) {
        if self.state.as_ref().is_some_and(|state| state.peer == *peer) {
            self.state = None;
        }
    }
}

impl State {
    /// Adds an item; a key that changes during the pull arrives again in a later page.
    fn take(&mut self, item: Item) {
        let newer = |known: &Item| known.revision < item.revision;
        if self.items.get(&item.key).is_none_or(newer) {
            self.items.insert(item.key.clone(), item);
        }
    }

    fn batch(self) -> Batch {
        let mut items: Vec<_> = self.items.into_values().collect();
        items.sort_by_key(|item| item.revision);
        // All pages from zero on together are everything that exists.
        let scope = if self.from == 0 { Scope::Whole } else { Scope::After(self.from) };
        Batch { items, revision: self.reached, scope }
    }
}
