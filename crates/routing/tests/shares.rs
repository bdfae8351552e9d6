//! Checks that the shares of all entries add up to each backend server's connections.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::list;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;
use yare::parameterized;

const REQUESTS: u64 = 100;

/// Offers one entry more requests than its share of one backend server, and returns how many it
/// sends.
fn sent(entries: u16, entry: u16, connections: u16, instance: &str) -> u32 {
    let settings =
        Settings { domain: "a".into(), entries, entry, requests_max: 1000, seed: entry.into() };
    let mut router = Router::open(settings);
    let mut actions = Vec::new();
    let member = list::Member {
        instance: instance.into(),
        incarnation: 1,
        role: list::Role::Backend,
        state: list::State::Live,
        domain: "a".into(),
        rack: "".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: "web".into(),
        slots: u16::MAX,
        connections,
        capacity: Amount::ZERO,
    };
    let spec = Arc::new(Spec::default());
    let view = list::View { version: 1, members: vec![member] };
    router.step(Duration::ZERO, Event::Service { name: "web".into(), spec }, &mut actions);
    router.step(Duration::ZERO, Event::Listed { view }, &mut actions);
    for request in 0..REQUESTS {
        let arrival = Arrival {
            service: "web".into(),
            class: None,
            idempotent: false,
            key: None,
            deadline: None,
        };
        router.step(Duration::ZERO, Event::Arrived { request, arrival }, &mut actions);
    }
    actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() as u32
}

#[parameterized(
    today = { 9, 60 },
    even = { 6, 60 },
    alone = { 1, 60 },
    more_entries_than_connections = { 150, 60 },
    a_large_fleet = { 500, 60 },
)]
fn all_entries_together_use_every_connection_and_no_more(entries: u16, connections: u16) {
    for instance in ["b1", "b2"] {
        let shares: Vec<u32> =
            (0..entries).map(|entry| sent(entries, entry, connections, instance)).collect();
        assert_eq!(shares.iter().sum::<u32>(), u32::from(connections), "shares add up");
        let least = shares.iter().min().expect("there are entries");
        let most = shares.iter().max().expect("there are entries");
        assert!(most - least <= 1, "shares differ by one at most");
    }
}
