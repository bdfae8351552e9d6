//! The run count of each request over all servers, by request id.

use std::collections::HashMap;
use std::hash::BuildHasher as _;
use std::hash::RandomState;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

/// Number of shards, each with its own lock.
const SHARDS: usize = 64;
/// Ids that a shard keeps; runs of later ids are only counted.
const MAX_IDS_PER_SHARD: usize = 1 << 16;
/// Ids of doubled requests that a summary lists.
const MAX_DOUBLED_IDS: usize = 100;

/// The run count of each request.
#[derive(Debug)]
pub struct Runs {
    hasher: RandomState,
    shards: Vec<Mutex<Shard>>,
}

#[derive(Debug, Default)]
struct Shard {
    runs: HashMap<Box<str>, u32>,
    unkept: u64,
}

/// A summary of the run counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Requests with an id that ran at least once.
    pub requests: u64,
    /// Runs of these requests.
    pub runs: u64,
    /// Requests that ran more than once.
    pub doubled: u64,
    /// Some of their ids.
    pub doubled_ids: Vec<Box<str>>,
    /// Runs of ids that were not kept because the record was full.
    pub unkept: u64,
}

impl Default for Runs {
    fn default() -> Runs {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Runs { hasher: RandomState::new(), shards }
    }
}

impl Runs {
    fn shard(&self, id: &str) -> &Mutex<Shard> {
        &self.shards[self.hasher.hash_one(id) as usize % SHARDS]
    }

    /// Records a run.
    pub fn record(&self, id: &str) {
        let mut shard = self.shard(id).lock().expect("no lock holder panics");
        if let Some(runs) = shard.runs.get_mut(id) {
            *runs += 1;
        } else if shard.runs.len() < MAX_IDS_PER_SHARD {
            shard.runs.insert(id.into(), 1);
        } else {
            shard.unkept += 1;
        }
    }

    /// Returns how many times a request ran.
    pub fn of(&self, id: &str) -> u32 {
        let shard = self.shard(id).lock().expect("no lock holder panics");
        shard.runs.get(id).copied().unwrap_or(0)
    }

    /// Returns a summary of the run counts.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for shard in &self.shards {
            let shard = shard.lock().expect("no lock holder panics");
            summary.unkept += shard.unkept;
            summary.requests += shard.runs.len() as u64;
            for (id, runs) in &shard.runs {
                summary.runs += u64::from(*runs);
                if *runs > 1 {
                    summary.doubled += 1;
                    summary.doubled_ids.push(id.clone());
                }
            }
        }
        summary.doubled_ids.sort();
        summary.doubled_ids.truncate(MAX_DOUBLED_IDS);
        summary
    }
}
