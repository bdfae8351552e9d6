//! Which backend server gets a request: the better of two that are drawn by lot from those with
//! room, so that no entry herds onto the one that looks best.

use cowslipchute_base::entity::Id;
use cowslipchute_base::entity::Table;
use cowslipchute_base::id::Time;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::backend::Backend;
use crate::latency::Typical;
use crate::pool::Locality;

/// Two random draws, for the two candidates.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    first: u32,
    second: u32,
}

impl Draw {
    /// Draws.
    pub fn sample(rng: &mut SmallRng) -> Draw {
        Draw { first: rng.random(), second: rng.random() }
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The random draws.
    pub draw: Draw,
    /// The time.
    pub now: Time,
    /// The usual latency.
    pub typical: Typical,
    /// Backend servers that were tried already.
    pub exclude: &'a [Id<Backend>],
    /// Whether a backend server may be tried out that was ejected.
    pub may_probe: bool,
}

/// Chooses within one side of a pool.
pub fn choose(
    side: &Locality,
    wish: Criteria<'_>,
    backends: &Table<Backend>,
) -> Option<Id<Backend>> {
    probe(side, wish, backends).or_else(|| better_of_two(side, wish, backends))
}

/// Finds a backend server that wants one request to show that it answers.
fn probe(side: &Locality, wish: Criteria<'_>, backends: &Table<Backend>) -> Option<Id<Backend>> {
    let fits = |id: &Id<Backend>| {
        !wish.exclude.contains(id) && (wish.may_probe || !backends[*id].health.is_risky(wish.now))
    };
    side.probes.iter().copied().find(fits)
}

fn better_of_two(
    side: &Locality,
    wish: Criteria<'_>,
    backends: &Table<Backend>,
) -> Option<Id<Backend>> {
    let count = side.ready.len();
    if count == 0 {
        return None;
    }
    let place = within(wish.draw.first, count);
    let first = next_from(&side.ready, place, |id| !wish.exclude.contains(&id))?;
    if count == 1 {
        return Some(first);
    }
    let place = place + 1 + within(wish.draw.second, count - 1);
    let other = |id| id != first && !wish.exclude.contains(&id);
    let Some(second) = next_from(&side.ready, place, other) else { return Some(first) };
    let cost = |id: Id<Backend>| backends[id].cost(wish.now, wish.typical);
    if cost(second) < cost(first) { Some(second) } else { Some(first) }
}

/// Scales a random draw to a number below `count`.
fn within(draw: u32, count: usize) -> usize {
    ((u64::from(draw) * count as u64) >> u32::BITS) as usize
}

/// Finds the first that fits from a place on, going round.
fn next_from(
    ready: &[Id<Backend>],
    place: usize,
    fits: impl Fn(Id<Backend>) -> bool,
) -> Option<Id<Backend>> {
    let (before, after) = ready.split_at(place % ready.len());
    after.iter().chain(before).copied().find(|&id| fits(id))
}
