//! Runs three ownership managers under random interleavings of faults. The world checks its
//! invariants after every step; after all faults have ended, each cell must have one owner.

mod world;

use std::time::Duration;

use cowslipchute_ports::list;
use cowslipchute_tenure::event::Event;
use proptest::prelude::*;
use world::Fault;
use world::World;
use world::member;

const NAMES: [&str; 3] = ["p1", "p2", "p3"];

/// The step of virtual time during the faults, and after them.
const FAULT_STEP: Duration = Duration::from_millis(100);
const RECOVERY_STEP: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
enum Op {
    /// Time passes for all placers.
    Pass(u64),
    /// Time passes and only one placer gets a step.
    Tick(usize, u64),
    /// One placer handles one event of its inbox out of turn.
    Deliver(usize),
    Freeze(usize),
    Thaw(usize),
    /// Incoming events of a placer wait while it still gets ticks.
    Lag(usize),
    Cut(usize),
    Deafen(usize),
    Heal(usize),
    Down,
    Up,
    /// The store is available again and every lease is extended.
    Back,
    Lose(usize, Fault),
    Land,
    /// The process ends and a new incarnation starts; the list shows it only after the next
    /// `Relist`.
    Restart(usize),
    Relist,
    /// The platform's list changes, and only one placer reads it.
    RelistFor(usize),
    /// A process is drained.
    Drain(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0..NAMES.len();
    let fault = prop_oneof![Just(Fault::Applied), Just(Fault::Dropped), Just(Fault::Late)];
    prop_oneof![
        6 => (50..600u64).prop_map(Op::Pass),
        2 => Just(Op::Pass(6000)),
        4 => (node.clone(), 0..3000u64).prop_map(|(n, ms)| Op::Tick(n, ms)),
        6 => node.clone().prop_map(Op::Deliver),
        2 => node.clone().prop_map(Op::Freeze),
        2 => node.clone().prop_map(Op::Thaw),
        2 => node.clone().prop_map(Op::Lag),
        2 => node.clone().prop_map(Op::Cut),
        1 => node.clone().prop_map(Op::Deafen),
        2 => node.clone().prop_map(Op::Heal),
        1 => Just(Op::Down),
        1 => Just(Op::Up),
        1 => Just(Op::Back),
        3 => (node.clone(), fault).prop_map(|(n, fault)| Op::Lose(n, fault)),
        2 => Just(Op::Land),
        1 => node.clone().prop_map(Op::Restart),
        1 => Just(Op::Relist),
        2 => node.clone().prop_map(Op::RelistFor),
        1 => node.prop_map(Op::Drain),
    ]
}

fn relist(world: &mut World) {
    let view = listed(world);
    world.publish(view);
}

fn listed(world: &World) -> list::View {
    let version = world.view.version + 1;
    let placers = world.nodes.iter().map(|(name, node)| member(name, node.incarnation, ""));
    let mut members: Vec<list::Member> = placers.collect();
    // Adds a new rack in some versions, so that the plan has to grow.
    let rack = format!("r{}", 4 + version.min(16) / 4);
    members.push(member("w7", 1, &rack));
    members.extend([member("w1", 1, "r1"), member("w2", 1, "r2"), member("w3", 1, "r3")]);
    members.extend([member("w4", 1, "r1"), member("w5", 1, "r2"), member("w6", 1, "r3")]);
    list::View { version, members }
}

fn restart(world: &mut World, name: &str) {
    let incarnation = world.nodes[name].incarnation + 1;
    world.nodes.remove(name);
    world.start(name, incarnation);
}

fn perform(world: &mut World, op: Op) {
    match op {
        Op::Pass(ms) => world.run(Duration::from_millis(ms)),
        Op::Tick(n, ms) => {
            world.now += Duration::from_millis(ms);
            world.expire_leases();
            world.step(NAMES[n], Event::Tick);
        }
        Op::Deliver(n) => world.deliver(NAMES[n]),
        Op::Freeze(n) => world.node(NAMES[n]).frozen = true,
        Op::Thaw(n) => world.node(NAMES[n]).frozen = false,
        Op::Lag(n) => world.node(NAMES[n]).lagging = true,
        Op::Cut(n) => world.node(NAMES[n]).store_cut = true,
        Op::Deafen(n) => world.node(NAMES[n]).peers_cut = true,
        Op::Heal(n) => heal(world, NAMES[n]),
        Op::Down => world.down = true,
        Op::Up => world.down = false,
        Op::Back => restore_store(world),
        Op::Lose(n, fault) => world.node(NAMES[n]).fault = Some(fault),
        Op::Land => world.apply_late_commit(),
        Op::Restart(n) => restart(world, NAMES[n]),
        Op::Relist => relist(world),
        Op::RelistFor(n) => {
            world.view = listed(world);
            world.deliver_list(NAMES[n]);
        }
        Op::Drain(n) => world.step(NAMES[n], Event::Drain),
    }
}

fn heal(world: &mut World, name: &str) {
    let node = world.node(name);
    node.store_cut = false;
    node.peers_cut = false;
    node.lagging = false;
}

fn restore_store(world: &mut World) {
    world.down = false;
    let now = world.now;
    world.store.extend_all(now);
}

/// Ends all faults, replaces drained processes, and lets time pass.
fn end_faults(world: &mut World) {
    world.down = false;
    while !world.late_commits.is_empty() {
        world.apply_late_commit();
    }
    for name in NAMES {
        heal(world, name);
        world.node(name).frozen = false;
        world.node(name).fault = None;
    }
    world.tick = RECOVERY_STEP;
    world.run(Duration::from_secs(30));
    for name in NAMES.iter().filter(|name| world.nodes[**name].drained).collect::<Vec<_>>() {
        restart(world, name);
    }
    relist(world);
    world.run(Duration::from_secs(30));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn one_owner_for_each_epoch(
        rank_delay in prop_oneof![Just(0u64), Just(600u64)],
        ops in prop::collection::vec(op(), 40..160),
    ) {
        let mut world = World::open(Duration::from_millis(rank_delay), FAULT_STEP);
        for name in NAMES {
            world.start(name, 1);
        }
        relist(&mut world);
        for op in ops {
            perform(&mut world, op);
        }
        end_faults(&mut world);
        for cell in ["d/0", "d/1"] {
            let owners = world.nodes.values().filter(|node| node.running.contains_key(cell));
            let owners = owners.count();
            prop_assert_eq!(owners, 1, "{} has {} owners\n{}", cell, owners, world.describe());
        }
        for node in world.nodes.values() {
            for running in node.running.values() {
                let former = running.former;
                prop_assert_ne!(former, cowslipchute_cell::event::Former::Unheard);
            }
        }
    }
}
