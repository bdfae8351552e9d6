//! The state of a domain's cells as read from the store at one revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipchute_base::id;
use cowslipchute_ports::kv;

use crate::key;
use crate::key::Kind;
use crate::owner::Claim;
use crate::owner::Owner;
use crate::plan::CellIndex;
use crate::plan::Plan;

/// A cell's key as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value, or `None` if it can't be decoded; such a cell is never taken.
    pub claim: Option<Claim>,
    /// Revision of the key.
    pub revision: id::Revision,
}

/// One incarnation of a placer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Identity {
    instance: id::Instance,
    incarnation: id::Incarnation,
}

/// The decoded state of a domain at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: id::Revision,
    /// The plan.
    pub plan: Plan,
    /// Revision of the plan's key, or zero if the key doesn't exist.
    pub plan_revision: id::Revision,
    entries: BTreeMap<CellIndex, Entry>,
    live: BTreeSet<Identity>,
}

impl Snapshot {
    /// Decodes the entries below the domain's prefix. If the plan can't be decoded, `last` stays in
    /// force, since a rack must never lose its cell.
    pub fn parse(domain: &str, snapshot: &kv::Snapshot, last: &Plan) -> Snapshot {
        let mut parsed =
            Snapshot { revision: snapshot.revision, plan: last.clone(), ..Snapshot::default() };
        for entry in &snapshot.entries {
            match key::parse(domain, &entry.key) {
                Some(Kind::Cell(index)) => parsed.put_entry(index, entry),
                Some(Kind::Alive { instance, incarnation }) => {
                    parsed.live.insert(Identity { instance: instance.into(), incarnation });
                }
                Some(Kind::Plan) => parsed.put_plan(entry),
                None => {}
            }
        }
        parsed
    }

    fn put_entry(&mut self, index: CellIndex, entry: &kv::Entry) {
        let claim = Claim::from_bytes(&entry.value);
        self.entries.insert(index, Entry { claim, revision: entry.revision });
    }

    fn put_plan(&mut self, entry: &kv::Entry) {
        self.plan_revision = entry.revision;
        if let Some(plan) = Plan::from_bytes(&entry.value) {
            self.plan = plan;
        }
    }

    /// Returns the entry of a cell's key, or `None` if the key doesn't exist.
    pub fn entry(&self, index: CellIndex) -> Option<&Entry> {
        self.entries.get(&index)
    }

    /// Returns `true` if the liveness key of the owner's incarnation existed.
    pub fn is_alive(&self, owner: &Owner) -> bool {
        let identity =
            Identity { instance: owner.instance.clone(), incarnation: owner.incarnation };
        self.live.contains(&identity)
    }

    /// Returns `true` if the liveness key of an incarnation existed.
    pub fn is_incarnation_alive(
        &self,
        instance: &id::Instance,
        incarnation: id::Incarnation,
    ) -> bool {
        self.live.contains(&Identity { instance: instance.clone(), incarnation })
    }
}
