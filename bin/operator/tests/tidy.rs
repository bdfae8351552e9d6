//! Checks that the lanes of ended processes are removed, and no others.

mod fake;

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_operator::lane::Lane;
use cowslipchute_operator::lane::Write;
use cowslipchute_operator::tidy;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use fake::Fake;
use tokio::sync::watch;

const WITHIN: Duration = Duration::from_secs(4);

fn member(instance: &str, incarnation: u64) -> Member {
    Member {
        instance: instance.into(),
        incarnation,
        role: Role::Operator,
        state: State::Live,
        domain: "a".into(),
        rack: "".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount::ZERO,
    }
}

fn key(instance: &str, incarnation: u64) -> String {
    format!("{}00", tidy::prefix(&instance.into(), incarnation))
}

async fn write(store: &Fake, lane: &mut Lane) {
    let write = Write { operation: 1, guards: Vec::new(), changes: Vec::new() };
    lane.commit(store, &write, WITHIN).await.expect("the store answers");
}

fn block_on<T>(body: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(body)
}

#[test]
fn only_idle_lanes_of_lives_that_are_not_listed_are_removed() {
    block_on(async {
        let store = Fake::default();
        for (instance, incarnation) in [("o1", 1), ("o1", 2), ("o2", 1), ("gone", 5), ("new", 1)] {
            write(&store, &mut Lane::open(key(instance, incarnation))).await;
        }
        let mut busy = Lane::open(key("busy", 1));
        write(&store, &mut busy).await;
        let (members, listed) = watch::channel(vec![member("o1", 2), member("o2", 1)]);
        let own = tidy::prefix(&"o1".into(), 2);
        let tidying = tokio::spawn(tidy::run(store.clone(), own, listed));
        tokio::time::sleep(Duration::from_secs(90)).await;
        // Between the checks, one process appears in the list and another one writes.
        members.send_modify(|members| members.push(member("new", 1)));
        write(&store, &mut busy).await;
        tidying.await.expect("it ends");
        let left = |instance, incarnation| store.entry(&key(instance, incarnation)).is_some();
        assert!(left("o1", 2) && left("o2", 1) && left("new", 1) && left("busy", 1));
        assert!(!left("o1", 1) && !left("gone", 5));
        // A process whose lane was removed anyway creates it again.
        write(&store, &mut Lane::open(key("gone", 5))).await;
        assert!(store.entry(&key("gone", 5)).is_some());
    });
}

#[test]
fn without_a_list_nothing_is_removed() {
    block_on(async {
        let store = Fake::default();
        write(&store, &mut Lane::open(key("gone", 5))).await;
        let (_members, listed) = watch::channel(Vec::new());
        tidy::run(store.clone(), tidy::prefix(&"o1".into(), 1), listed).await;
        assert!(store.entry(&key("gone", 5)).is_some());
    });
}
