//! Cost of following the configuration, which every process does.

use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::replica::Replica;

use crate::capacity::slope::Slope;
use crate::capacity::wire;
use crate::cpu_time;
use crate::memory;

/// Numbers of resources.
const RESOURCE_COUNTS: &[usize] = &[1_000, 4_000, 16_000];
/// Changes per timing.
const TIMED_CHANGES: usize = 20_000;

/// Costs of a follower.
#[derive(Clone, Debug)]
pub struct Config {
    /// Memory by resources, in bytes.
    pub held: Slope,
    /// Microseconds to apply a change and to create the push that forwards it.
    pub change: Slope,
}

impl Config {
    /// Measures all costs.
    pub fn measure() -> Config {
        let slope = |quantity, value: fn(usize) -> f64| {
            Slope::measure("follower", quantity, "resources", RESOURCE_COUNTS, value)
        };
        Config {
            held: slope("bytes of state", held_bytes),
            change: slope("µs of decisions for a change", change_micros),
        }
    }

    /// Returns all slopes, in the order of the report.
    pub fn slopes(&self) -> Vec<&Slope> {
        vec![&self.held, &self.change]
    }
}

fn replica_with(resources: usize) -> Replica {
    let mut replica = Replica::default();
    let items = (0..resources).map(|number| wire::item(number, number as u64 + 1)).collect();
    replica.apply(Batch { items, revision: resources as u64, scope: Scope::Whole });
    replica
}

fn held_bytes(resources: usize) -> f64 {
    let replica = replica_with(resources);
    let before = memory::allocated_bytes();
    drop(replica);
    before.saturating_sub(memory::allocated_bytes()) as f64
}

fn change_micros(resources: usize) -> f64 {
    let mut replica = replica_with(resources);
    let first = resources as u64;
    let batches: Vec<Batch> = (0..TIMED_CHANGES)
        .map(|number| {
            let after = first + number as u64;
            let items = vec![wire::item(number % resources, after + 1)];
            Batch { items, revision: after + 1, scope: Scope::After(after) }
        })
        .collect();
    let before = cpu_time::now();
    for batch in batches {
        let after = replica.in_force();
        std::hint::black_box(replica.apply(batch));
        std::hint::black_box(replica.since(after));
    }
    (cpu_time::now() - before).as_secs_f64() * 1e6 / TIMED_CHANGES as f64
}
