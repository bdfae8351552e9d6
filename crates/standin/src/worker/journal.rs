//! The changes of a worker's inventory, by version.

use std::collections::BTreeMap;

use cowslipchute_ports::worker::Run;

/// Forgotten runs that are still reported to an owner with an older version.
const MAX_FORGOTTEN: usize = 4096;

/// The latest change of each run, by version.
#[derive(Debug)]
pub struct Journal {
    version: u64,
    changed: BTreeMap<u64, Run>,
    latest: BTreeMap<Run, u64>,
    forgotten: BTreeMap<u64, Run>,
    /// An owner with an older version than this has missed a forgotten run.
    floor: u64,
}

impl Default for Journal {
    fn default() -> Journal {
        Journal {
            // Version 0 requests the whole inventory, so the empty inventory has version 1.
            version: 1,
            changed: BTreeMap::new(),
            latest: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            floor: 0,
        }
    }
}

impl Journal {
    /// Returns the version of the latest change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that a run has started or changed.
    pub fn record_change(&mut self, run: &Run) {
        self.clear(run);
        self.version += 1;
        self.changed.insert(self.version, run.clone());
        self.latest.insert(run.clone(), self.version);
    }

    /// Records that a run is forgotten, or was never known.
    pub fn record_forgotten(&mut self, run: &Run) {
        self.record_change(run);
        self.forgotten.insert(self.version, run.clone());
        while self.forgotten.len() > MAX_FORGOTTEN {
            let (version, run) =
                self.forgotten.pop_first().expect("the collection exceeds its limit");
            self.clear(&run);
            self.floor = version;
        }
    }

    fn clear(&mut self, run: &Run) {
        if let Some(version) = self.latest.remove(run) {
            self.changed.remove(&version);
            self.forgotten.remove(&version);
        }
    }

    /// Returns the runs that changed after a version, in the order of their changes. Returns `None`
    /// if some of them are no longer known or there was never such a version.
    pub fn changes_after(&self, version: u64) -> Option<impl Iterator<Item = &Run>> {
        let known = version != 0 && version >= self.floor && version <= self.version;
        known.then(|| self.changed.range(version + 1..).map(|(_, run)| run))
    }
}
