//! Prints the CPU time of one request in the router: its arrival and the ending of its attempt.
//!
//! `cargo run --release -p cowslipchute-routing --example step_cost -- [REQUESTS]`
//!
//! There are fifty backend servers of eight slots and nine entries, and a third of the slots are
//! busy. Prints the median of five rounds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;

const BACKENDS: usize = 50;
const BUSY: usize = 16;
const ROUNDS: usize = 5;
const DEFAULT_REQUESTS: u64 = 1_000_000;
const GAP: Duration = Duration::from_micros(50);

fn member(index: usize) -> list::Member {
    list::Member {
        instance: format!("b{index}").into(),
        incarnation: 1,
        role: list::Role::Backend,
        state: list::State::Live,
        domain: "a".into(),
        rack: "".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: "web".into(),
        slots: 8,
        connections: 60,
        capacity: Amount::ZERO,
    }
}

fn open() -> Router {
    let settings =
        Settings { domain: "a".into(), entries: 9, entry: 0, requests_max: 10_000, seed: 1 };
    let mut router = Router::open(settings);
    let mut actions = Vec::new();
    let spec = Spec::default();
    let trial =
        Spec { class: Class::Trial, backends_of: Some("web".to_owned()), ..Spec::default() };
    let name = "web".into();
    router.step(Time::ZERO, Event::Service { name, spec: Arc::new(spec) }, &mut actions);
    let name = "web-trial".into();
    router.step(Time::ZERO, Event::Service { name, spec: Arc::new(trial) }, &mut actions);
    let members = (0..BACKENDS).map(member).collect();
    let view = list::View { version: 1, members };
    router.step(Time::ZERO, Event::Listed { view }, &mut actions);
    router
}

/// Runs requests through a router. Once `busy_max` requests are in progress, each arrival ends the
/// oldest of them.
fn round(requests: u64, service: &str, busy_max: usize) -> Duration {
    let mut router = open();
    let mut actions = Vec::with_capacity(16);
    let mut busy = VecDeque::with_capacity(BUSY + 1);
    let mut now = Time::ZERO;
    let arrival = Arrival {
        service: service.into(),
        class: None,
        idempotent: true,
        key: None,
        deadline: None,
    };
    let start = Instant::now();
    for request in 0..requests {
        now += GAP;
        router.step(now, Event::Arrived { request, arrival: arrival.clone() }, &mut actions);
        if busy.len() >= busy_max {
            let attempt = busy.pop_front().expect("a request is in progress");
            let ending = Ending::Answered { status: 200, leaving: false };
            router.step(now, Event::Ended { attempt, ending }, &mut actions);
        }
        for action in actions.drain(..) {
            if let Action::Send { attempt, .. } = action {
                busy.push_back(attempt);
            }
        }
    }
    start.elapsed()
}

fn report(what: &str, requests: u64, service: &str, busy_max: usize) {
    let mut rounds: Vec<Duration> =
        (0..ROUNDS).map(|_| round(requests, service, busy_max)).collect();
    rounds.sort();
    let nanos = rounds[ROUNDS / 2].as_nanos() / u128::from(requests);
    println!("{what}: {nanos} ns a request");
}

fn main() {
    let argument = std::env::args().nth(1);
    let requests = argument.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_REQUESTS);
    report("paying, sent and answered", requests, "web", BUSY);
    report("trial, sent and answered", requests, "web-trial", BUSY);
    report("trial, refused", requests, "web-trial", usize::MAX);
}
