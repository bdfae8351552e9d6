//! Slopes of what every process does to follow the configuration.

use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::replica::Replica;

use crate::capacity::slope::Slope;
use crate::capacity::wire;
use crate::memory;
use crate::processor;

/// Resources held.
const RESOURCES: &[usize] = &[1_000, 4_000, 16_000];
/// Changes that a time is taken from.
const TIMED: usize = 20_000;

/// Costs of following.
#[derive(Clone, Debug)]
pub struct Config {
    /// Bytes held.
    pub held: Slope,
    /// Microseconds to take in one change and to make the push that passes it on.
    pub change: Slope,
}

impl Config {
    /// Measures everything.
    pub fn measure() -> Config {
        let slope = |what, value: fn(usize) -> f64| {
            Slope::measure("follower", what, "resources", RESOURCES, value)
        };
        Config {
            held: slope("bytes of state", held_bytes),
            change: slope("µs of decisions for a change", change),
        }
    }

    /// Lists the slopes.
    pub fn slopes(&self) -> Vec<&Slope> {
        vec![&self.held, &self.change]
    }
}

fn filled(resources: usize) -> Replica {
    let mut held = Replica::default();
    let items = (0..resources).map(|number| wire::item(number, number as u64 + 1)).collect();
    held.apply(Batch { items, revision: resources as u64, scope: Scope::Whole });
    held
}

fn held_bytes(resources: usize) -> f64 {
    let held = filled(resources);
    let before = memory::in_use();
    drop(held);
    before.saturating_sub(memory::in_use()) as f64
}

fn change(resources: usize) -> f64 {
    let mut held = filled(resources);
    let first = resources as u64;
    let batches: Vec<Batch> = (0..TIMED)
        .map(|number| {
            let after = first + number as u64;
            let items = vec![wire::item(number % resources, after + 1)];
            Batch { items, revision: after + 1, scope: Scope::After(after) }
        })
        .collect();
    let before = processor::now();
    for batch in batches {
        let after = held.in_force();
        std::hint::black_box(held.apply(batch));
        std::hint::black_box(held.since(after));
    }
    (processor::now() - before).as_secs_f64() * 1e6 / TIMED as f64
}
