//! Random interleavings of claims, settlements, crashes, stalls, partitions, and lost and late
//! messages.
//!
//! The world's ledger fails the test when a key is granted twice. After all faults have ended, keys
//! must be granted again.

use std::time::Duration;

use cowslipchute_claim::event::Event;
use cowslipchute_claim::slot::Key;
use cowslipchute_ports::peer::Settlement;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;

mod world;

use world::LEASE;
use world::Message;
use world::World;
use world::settings;

const ENTRIES: [&str; 3] = ["e1", "e2", "e3"];
const KEYS: u8 = 32;
/// Number of keys claimed at once, so that some of them are in slots that move.
const BURST: u8 = 8;
const RETENTION: Duration = Duration::from_secs(60);
/// Ticks after the faults, enough for all keys to be out of doubt after the last change.
const RECOVERY_TICKS: u64 = 80;

#[derive(Clone, Debug)]
enum Op {
    /// Delivers one message out of order.
    Deliver(usize),
    /// Delivers a number of messages in order.
    Flush(usize),
    Lose(usize),
    Settle(usize, u8),
    Claim(usize, u8),
    Tick(u8),
    Kill(usize),
    Start(usize, bool),
    Unlist(usize),
    Freeze(usize),
    Thaw(usize),
    Drain(usize),
    Cut(usize),
    Heal(usize),
    CutPlatform(usize),
    HealPlatform(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES.len();
    prop_oneof![
        30 => (0..12_usize).prop_map(Op::Deliver),
        30 => (1..12_usize).prop_map(Op::Flush),
        4 => (0..12_usize).prop_map(Op::Lose),
        16 => (entry.clone(), 0..KEYS).prop_map(|(entry, key)| Op::Claim(entry, key)),
        10 => (0..32_usize, 0..5_u8).prop_map(|(grant, outcome)| Op::Settle(grant, outcome)),
        10 => (1..3_u8).prop_map(Op::Tick),
        1 => (10..40_u8).prop_map(Op::Tick),
        2 => entry.clone().prop_map(Op::Kill),
        8 => (entry.clone(), proptest::bool::ANY).prop_map(|(entry, new)| Op::Start(entry, new)),
        4 => entry.clone().prop_map(Op::Unlist),
        2 => entry.clone().prop_map(Op::Freeze),
        5 => entry.clone().prop_map(Op::Thaw),
        2 => entry.clone().prop_map(Op::Drain),
        1 => entry.clone().prop_map(Op::Cut),
        3 => entry.clone().prop_map(Op::Heal),
        1 => entry.clone().prop_map(Op::CutPlatform),
        3 => entry.prop_map(Op::HealPlatform),
    ]
}

fn key(number: u8) -> Key {
    Key { service: "berths".into(), key: format!("k{number}").into() }
}

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Deliver(index) if index < world.wire.len() => world.deliver(index),
        Op::Flush(messages) => deliver_in_order(world, messages),
        Op::Lose(index) => lose(world, index),
        Op::Claim(entry, first) if is_running(world, entry) => {
            for number in first..first + BURST {
                world.claim(ENTRIES[entry], &key(number % KEYS));
            }
        }
        Op::Settle(grant, outcome) => settle(world, grant, outcome),
        Op::Tick(ticks) => (0..ticks).for_each(|_| world.tick()),
        Op::Kill(entry) => world.kill(ENTRIES[entry]),
        Op::Start(entry, new) if is_gone(world, entry) => {
            world.start(ENTRIES[entry], "a", new || !world.is_listed(ENTRIES[entry]));
        }
        // The platform removes an instance that has ended or that it considers ended.
        Op::Unlist(entry) if !is_running(world, entry) => world.unlist(ENTRIES[entry]),
        Op::Freeze(entry) if is_running(world, entry) => world.freeze(ENTRIES[entry]),
        Op::Thaw(entry) if world.nodes.contains_key(ENTRIES[entry]) => thaw(world, entry),
        Op::Drain(entry) if is_running(world, entry) => world.step(ENTRIES[entry], Event::Drain),
        Op::Cut(entry) => {
            world.cut_peers.insert(ENTRIES[entry].to_owned());
        }
        Op::Heal(entry) => {
            world.cut_peers.remove(ENTRIES[entry]);
        }
        Op::CutPlatform(entry) => {
            world.cut_platform.insert(ENTRIES[entry].to_owned());
        }
        Op::HealPlatform(entry) => {
            world.cut_platform.remove(ENTRIES[entry]);
            world.send_list(ENTRIES[entry]);
        }
        _ => {}
    }
}

fn is_running(world: &World, entry: usize) -> bool {
    world.nodes.get(ENTRIES[entry]).is_some_and(|node| !node.frozen)
}

/// Returns `true` if an entry process has ended; a drained one ends by itself.
fn is_gone(world: &World, entry: usize) -> bool {
    world.nodes.get(ENTRIES[entry]).is_none_or(|node| node.owner.is_drained())
}

fn deliver_in_order(world: &mut World, messages: usize) {
    for _ in 0..messages.min(world.wire.len()) {
        world.deliver(0);
    }
}

fn lose(world: &mut World, index: usize) {
    let Some(message) = world.wire.remove(index) else { return };
    match message {
        // A proposal that reached the store may take effect however late.
        Message::LateCommit { .. } => world.wire.push_back(message),
        message => world.drop_message(message),
    }
}

fn settle(world: &mut World, grant: usize, outcome: u8) {
    let Some((claimant, key)) = world.open_grants.iter().nth(grant) else { return };
    let (claimant, key) = (claimant.clone(), key.clone());
    // A stalled entry process sends nothing.
    if world.nodes.get(&*claimant.instance).is_none_or(|node| node.frozen) {
        return;
    }
    let settlement = match outcome {
        0 | 1 => Settlement::Ran(None),
        2 => Settlement::Unknown,
        _ => Settlement::NotRun,
    };
    world.open_grants.remove(&claimant);
    world.settle(&claimant, &key, settlement);
}

/// Ends the stall of a process. One that the platform considers ended stays stalled for longer than
/// half a lease, so that it detects the stall.
fn thaw(world: &mut World, entry: usize) {
    let node = &world.nodes[ENTRIES[entry]];
    let stalled_for = world.now - node.froze_at;
    if node.frozen && (world.is_listed(ENTRIES[entry]) || stalled_for > LEASE / 2) {
        world.thaw(ENTRIES[entry]);
    }
}

fn open() -> World {
    let mut world = World::open(settings(RETENTION));
    for entry in ENTRIES {
        world.start(entry, "a", false);
    }
    for _ in 0..5 {
        world.tick();
        world.settle_down();
    }
    world
}

/// Ends all faults and runs until no key is in doubt.
fn heal(world: &mut World) {
    world.cut_peers.clear();
    world.cut_platform.clear();
    for entry in ENTRIES {
        // Replaces processes that are draining or were considered ended.
        world.start(entry, "a", true);
    }
    for _ in 0..RECOVERY_TICKS {
        world.tick();
        world.settle_down();
    }
}

proptest! {
    #[test]
    fn no_key_is_granted_twice_and_all_are_granted_in_the_end(
        ops in proptest::collection::vec(op(), 1..600)
    ) {
        let mut world = open();
        for op in &ops {
            apply(&mut world, op);
        }
        heal(&mut world);
        for (entry, number) in ENTRIES.iter().zip(KEYS + 1..) {
            let before = world.grants;
            world.claim(entry, &key(number));
            world.settle_down();
            assert_eq!(world.grants, before + 1, "a new key is granted after recovery");
        }
    }
}
