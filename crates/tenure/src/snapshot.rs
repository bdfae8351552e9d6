//! What the store showed about a domain's cells at one revision.

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

/// A cell's key as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value; nothing if it can't be read, in which case the cell is left alone.
    pub claim: Option<Claim>,
    /// Revision of the key.
    pub revision: id::Revision,
}

/// One life of a placer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Identity {
    instance: id::Instance,
    incarnation: id::Incarnation,
}

/// What the store showed at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The store's revision.
    pub revision: id::Revision,
    /// The plan.
    pub plan: Plan,
    /// Revision of the plan's key; zero if there is none.
    pub plan_revision: id::Revision,
    entries: BTreeMap<CellIndex, Entry>,
    alive: BTreeSet<Identity>,
}

impl Snapshot {
    /// Reads a snapshot of the domain's prefix. A plan that can't be read leaves `last` in force,
    /// since racks must never lose their cell.
    pub fn parse(domain: &str, snapshot: &kv::Snapshot, last: &Plan) -> Snapshot {
        let mut scene =
            Snapshot { revision: snapshot.revision, plan: last.clone(), ..Snapshot::default() };
        for entry in &snapshot.entries {
            match key::parse(domain, &entry.key) {
                Some(Kind::Cell(slice)) => scene.put_title(slice, entry),
                Some(Kind::Alive { instance, incarnation }) => {
                    scene.alive.insert(Identity { instance: instance.into(), incarnation });
                }
                Some(Kind::Plan) => scene.put_plan(entry),
                None => {}
            }
        }
        scene
    }

    fn put_title(&mut self, slice: CellIndex, entry: &kv::Entry) {
        let claim = Claim::from_bytes(&entry.value);
        self.entries.insert(slice, Entry { claim, revision: entry.revision });
    }

    fn put_plan(&mut self, entry: &kv::Entry) {
        self.plan_revision = entry.revision;
        if let Some(plan) = Plan::from_bytes(&entry.value) {
            self.plan = plan;
        }
    }

    /// Returns a cell's key as it was read; nothing if there was none.
    pub fn entry(&self, slice: CellIndex) -> Option<&Entry> {
        self.entries.get(&slice)
    }

    /// Tells whether that life's lease was alive.
    pub fn is_alive(&self, owner: &Owner) -> bool {
        let life = Identity { instance: owner.instance.clone(), incarnation: owner.incarnation };
        self.alive.contains(&life)
    }

    /// Tells whether a life's lease was alive.
    pub fn is_incarnation_alive(
        &self,
        instance: &id::Instance,
        incarnation: id::Incarnation,
    ) -> bool {
        self.alive.contains(&Identity { instance: instance.clone(), incarnation })
    }
}
