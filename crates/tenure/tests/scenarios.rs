//! Runs the scenario files of `filetests`. Each file is one world.
//!
//! Directives: `open` (lists and starts p1, p2 and p3 with three workers in two racks, runs until
//! they own the cells, and prints the owners), `list version=N` (one instance per line:
//! `name [incarnation=N] [rack=R] [leaving]`), `start`, `freeze`, `thaw`, `kill`, `drain` (each
//! `name=p`), `cut name=p from=store|peers`, `heal name=p`, `store state=down|up|back` (`back` also
//! extends every lease), `lose name=p answer=applied|dropped|late`, `land`,
//! `worker name=p slice=N epoch=N` (a worker's report shows that epoch), `run ms=N` (prints the
//! trace) and `cells`.

mod world;

use std::time::Duration;

use cowslipchute_ports::list;
use cowslipchute_tenure::event::Event;
use cowslipchute_tenure::key;
use datadriven::TestCase;
use world::Fault;
use world::World;
use world::member;

#[test]
fn scenarios() {
    datadriven::walk("filetests", |file| {
        let mut world = World::open(Duration::from_millis(200), Duration::from_millis(50));
        file.run(|case| {
            let mut output = direct(&mut world, case);
            if !output.is_empty() && !output.ends_with('\n') {
                output.push('\n');
            }
            output
        });
    });
}

fn open(world: &mut World) -> String {
    let placers = ["p1", "p2", "p3"];
    let workers = [("w1", "r1"), ("w2", "r1"), ("w3", "r2")];
    let mut members: Vec<list::Member> = placers.map(|name| member(name, 1, "")).into();
    members.extend(workers.map(|(name, rack)| member(name, 1, rack)));
    world.publish(list::View { version: 1, members });
    for name in placers {
        world.start(name, 1);
    }
    world.run(Duration::from_secs(2));
    world.trace.clear();
    world.describe()
}

fn arg<'a>(case: &'a TestCase, name: &str) -> Option<&'a str> {
    case.args.get(name).and_then(|values| values.first()).map(String::as_str)
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    arg(case, name).map_or(default, |text| text.parse().expect("a whole number"))
}

fn direct(world: &mut World, case: &TestCase) -> String {
    let name = arg(case, "name").unwrap_or_default();
    match case.directive.as_str() {
        "open" => return open(world),
        "list" => world.publish(view(case)),
        "start" => world.start(name, number(case, "incarnation", 1)),
        "freeze" => world.node(name).frozen = true,
        "thaw" => world.node(name).frozen = false,
        "kill" => {
            world.nodes.remove(name);
        }
        "drain" => world.step(name, Event::Drain),
        "cut" => cut(world, name, arg(case, "from").unwrap_or("store")),
        "heal" => {
            world.node(name).store_cut = false;
            world.node(name).peers_cut = false;
        }
        "store" => store(world, arg(case, "state").unwrap_or("up")),
        "lose" => world.node(name).fault = Some(loss(arg(case, "answer").unwrap_or("applied"))),
        "land" => world.apply_late_commit(),
        "worker" => {
            let cell = key::name(world::DOMAIN, number(case, "slice", 0) as u32);
            let epoch = number(case, "epoch", 0);
            world.step(name, Event::HigherEpoch { cell, epoch });
        }
        "run" => {
            world.run(Duration::from_millis(number(case, "ms", 1000)));
            return std::mem::take(&mut world.trace).join("\n");
        }
        "cells" => return world.describe(),
        other => panic!("unknown directive {other}"),
    }
    String::new()
}

fn view(case: &TestCase) -> list::View {
    let members = case.input.lines().map(|line| {
        let mut words = line.split_whitespace();
        let name = words.next().expect("a name");
        let words: Vec<&str> = words.collect();
        let value = |prefix: &str| words.iter().find_map(|word| word.strip_prefix(prefix));
        let incarnation = value("incarnation=").map_or(1, |text| text.parse().expect("a number"));
        let mut member = member(name, incarnation, value("rack=").unwrap_or_default());
        if words.contains(&"leaving") {
            member.state = list::State::Leaving;
        }
        member
    });
    list::View { version: number(case, "version", 1), members: members.collect() }
}

fn cut(world: &mut World, name: &str, from: &str) {
    match from {
        "store" => world.node(name).store_cut = true,
        "peers" => world.node(name).peers_cut = true,
        other => panic!("can't be cut from {other}"),
    }
}

fn store(world: &mut World, state: &str) {
    world.down = state == "down";
    if state == "back" {
        let now = world.now;
        world.store.extend_all(now);
    }
}

fn loss(answer: &str) -> Fault {
    match answer {
        "applied" => Fault::Applied,
        "dropped" => Fault::Dropped,
        "late" => Fault::Late,
        other => panic!("a lost answer is applied, dropped or late, not {other}"),
    }
}
