//! A pull: asking one peer page by page until nothing is missing.
//!
//! Pages are put together before any of them is applied. A page holds the last change of each key up
//! to the revision it reached, so it lacks changes that were overtaken later; only all pages
//! together are what was so at one revision. The last page is empty, so neither side has to know the
//! other's limit.

use std::collections::BTreeMap;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer::Item;

use crate::batch::Batch;
use crate::batch::Scope;
use crate::rank::Peer;

/// What to do after a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the same peer for what comes after this revision.
    Ask(Revision),
    /// The pull is complete.
    Apply(Batch),
}

#[derive(Clone, Debug)]
struct Run {
    peer: Peer,
    from: Revision,
    reached: Revision,
    items: BTreeMap<String, Item>,
}

/// The pull under way, if any.
#[derive(Clone, Debug, Default)]
pub struct Pull {
    run: Option<Run>,
}

impl Pull {
    /// Begins a pull of what a peer has beyond `in_force`; nothing if one is under way. Returns the
    /// revision to ask from.
    pub fn begin(&mut self, peer: &Peer, in_force: Revision) -> Option<Revision> {
        if self.run.is_some() {
            return None;
        }
        let (peer, from, reached) = (peer.clone(), in_force, in_force);
        self.run = Some(Run { peer, from, reached, items: BTreeMap::new() });
        Some(in_force)
    }

    /// Takes a page. `whole` tells that the peer doesn't know every removal since the revision that
    /// was asked from, so that only a pull of everything helps.
    pub fn receive(&mut self, items: Vec<Item>, revision: Revision, whole: bool) -> Option<Step> {
        let run = self.run.as_mut()?;
        if whole && run.from > 0 {
            (run.from, run.reached) = (0, 0);
            run.items.clear();
            return Some(Step::Ask(0));
        }
        let last = items.is_empty() || revision <= run.reached;
        for item in items {
            run.take(item);
        }
        run.reached = run.reached.max(revision);
        if !last {
            return Some(Step::Ask(run.reached));
        }
        let run = self.run.take()?;
        Some(Step::Apply(run.batch()))
    }

    /// Gives the pull up; what was put together is lost, nothing was applied.
    pub fn failed(&mut self, peer: &Peer) {
        if self.run.as_ref().is_some_and(|run| run.peer == *peer) {
            self.run = None;
        }
    }
}

impl Run {
    /// A key that changed while the pull went on comes again, later.
    fn take(&mut self, item: Item) {
        let newer = |held: &Item| held.revision < item.revision;
        if self.items.get(&item.key).is_none_or(newer) {
            self.items.insert(item.key.clone(), item);
        }
    }

    fn batch(self) -> Batch {
        let mut items: Vec<_> = self.items.into_values().collect();
        items.sort_by_key(|item| item.revision);
        // From nothing on, what was put together is everything that exists.
        let scope = if self.from == 0 { Scope::Whole } else { Scope::After(self.from) };
        Batch { items, revision: self.reached, scope }
    }
}
