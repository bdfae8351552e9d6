//! The assignment of racks to cells.
//!
//! The plan is a value in the store and only grows: a rack never changes its cell. A plan
//! recomputed from each list would move racks whenever the fleet grows, and a worker that changes
//! its cell would have two owners whose epochs are not comparable.

use std::collections::BTreeMap;

use cowslipchute_base::id;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use serde::Deserialize;
use serde::Serialize;

/// Index of a cell within its failure domain.
pub type CellIndex = u32;

/// The assignment of racks to cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The cell of each rack that was ever listed.
    pub racks: BTreeMap<id::Rack, CellIndex>,
}

impl Plan {
    /// Decodes the value of the plan's key. Returns `None` if it is invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Plan> {
        serde_json::from_slice(bytes).ok()
    }

    /// Encodes the value of the plan's key.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a plan can always be encoded as JSON")
    }

    /// Returns the cell of a rack, if it has one.
    pub fn cell_index(&self, rack: &str) -> Option<CellIndex> {
        self.racks.get(rack).copied()
    }

    /// Returns the number of cells; they are numbered from zero without gaps.
    pub fn cell_count(&self) -> CellIndex {
        self.racks.values().max().map_or(0, |last| last + 1)
    }

    /// Returns the plan extended by the racks of all listed workers, or `None` if it has them all.
    ///
    /// A new rack is assigned to the first cell that stays within `limit` workers, or else to a new
    /// cell. A rack of more than `limit` workers gets a cell of its own.
    pub fn extended(&self, members: &[Member], limit: usize) -> Option<Plan> {
        let sizes = rack_sizes(members);
        let mut missing = sizes.keys().filter(|rack| !self.racks.contains_key(**rack)).peekable();
        missing.peek()?;
        let mut plan = self.clone();
        let mut loads = plan.loads(&sizes);
        for &rack in missing {
            let size = sizes[rack];
            let fit = loads.iter().position(|load| load + size <= limit);
            let index = fit.unwrap_or(loads.len());
            if index == loads.len() {
                loads.push(0);
            }
            loads[index] += size;
            plan.racks.insert(rack.clone(), index as CellIndex);
        }
        Some(plan)
    }

    /// Returns the number of listed workers in each cell.
    fn loads(&self, sizes: &BTreeMap<&id::Rack, usize>) -> Vec<usize> {
        let mut loads = vec![0; self.cell_count() as usize];
        for (rack, &index) in &self.racks {
            loads[index as usize] += sizes.get(rack).copied().unwrap_or(0);
        }
        loads
    }
}

fn rack_sizes(members: &[Member]) -> BTreeMap<&id::Rack, usize> {
    let mut sizes = BTreeMap::new();
    for member in members.iter().filter(|member| member.role == Role::Worker) {
        *sizes.entry(&member.rack).or_insert(0) += 1;
    }
    sizes
}
