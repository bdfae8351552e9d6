//! Choice of a backend server: the better of two random ones with free capacity, so that entries
//! don't all send to the one that looks best.

use cowslipchute_base::entity::Id;
use cowslipchute_base::entity::Table;
use cowslipchute_base::id::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::backend::Backend;
use crate::latency::Typical;
use crate::pool::Locality;

/// Two random numbers, one per candidate.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    first: u32,
    second: u32,
}

impl Draw {
    /// Draws both numbers.
    pub fn sample(rng: &mut SmallRng) -> Draw {
        Draw { first: rng.random(), second: rng.random() }
    }
}

/// Criteria of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The random numbers.
    pub draw: Draw,
    /// The time.
    pub now: Time,
    /// The pool's typical latency.
    pub typical: Typical,
    /// Backend servers that must not be chosen.
    pub exclude: &'a [Id<Backend>],
    /// Whether a risky backend server may be probed with the request.
    pub may_probe: bool,
}

/// Chooses a backend server within one locality of a pool.
pub fn choose(
    locality: &Locality,
    criteria: Criteria<'_>,
    backends: &Table<Backend>,
) -> Option<Id<Backend>> {
    probe(locality, criteria, backends).or_else(|| better_of_two(locality, criteria, backends))
}

/// Returns a backend server that is to be probed with one request.
fn probe(
    locality: &Locality,
    criteria: Criteria<'_>,
    backends: &Table<Backend>,
) -> Option<Id<Backend>> {
    let fits = |id: &Id<Backend>| {
        !criteria.exclude.contains(id)
            && (criteria.may_probe || !backends[*id].health.is_risky(criteria.now))
    };
    locality.probes.iter().copied().find(fits)
}

fn better_of_two(
    locality: &Locality,
    criteria: Criteria<'_>,
    backends: &Table<Backend>,
) -> Option<Id<Backend>> {
    let count = locality.ready.len();
    if count == 0 {
        return None;
    }
    let start = scale(criteria.draw.first, count);
    let first = next_from(&locality.ready, start, |id| !criteria.exclude.contains(&id))?;
    if count == 1 {
        return Some(first);
    }
    let start = start + 1 + scale(criteria.draw.second, count - 1);
    let other = |id| id != first && !criteria.exclude.contains(&id);
    let Some(second) = next_from(&locality.ready, start, other) else { return Some(first) };
    let cost = |id: Id<Backend>| backends[id].cost(criteria.now, criteria.typical);
    if cost(second) < cost(first) { Some(second) } else { Some(first) }
}

/// Scales a random draw to a number below `count`.
fn scale(draw: u32, count: usize) -> usize {
    ((u64::from(draw) * count as u64) >> u32::BITS) as usize
}

/// Returns the first backend server at or cyclically after `start` for which `fits` holds.
fn next_from(
    ready: &[Id<Backend>],
    start: usize,
    fits: impl Fn(Id<Backend>) -> bool,
) -> Option<Id<Backend>> {
    let (before, after) = ready.split_at(start % ready.len());
    after.iter().chain(before).copied().find(|&id| fits(id))
}
