//! The store's state in virtual time: transactions, leases and history.

use std::time::Duration;

use cowslipchute_gateway::kv::wire;
use cowslipchute_standin::kv::state::State;
use yare::parameterized;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn put(key: &str, lease: i64) -> wire::txn::Step {
    let put = wire::txn::Put { key: key.into(), value: b"v".to_vec(), lease };
    wire::txn::Step { request_put: Some(put), ..Default::default() }
}

fn delete(key: &str, range_end: &str) -> wire::txn::Step {
    let delete = wire::txn::Delete { key: key.into(), range_end: range_end.into() };
    wire::txn::Step { request_delete_range: Some(delete), ..Default::default() }
}

fn txn(success: Vec<wire::txn::Step>) -> wire::txn::Request {
    wire::txn::Request { success, ..Default::default() }
}

fn keys(state: &State) -> Vec<String> {
    let all = wire::RangeRequest { key: vec![0], range_end: vec![0] };
    let found = state.range(&all).kvs.into_iter();
    found.map(|kv| String::from_utf8(kv.key).expect("it is text")).collect()
}

#[test]
fn the_changes_of_a_transaction_share_one_revision() {
    let mut state = State::default();
    let response = state.txn(at(0), &txn(vec![put("a", 0), put("b", 0)])).expect("it is made");
    assert_eq!(response.header.revision, 2);
    let changes = state.changes_after(1, &[0], &[0]).expect("they are kept");
    assert_eq!(changes.iter().map(|c| c.kv.mod_revision).collect::<Vec<_>>(), [2, 2]);
    state.txn(at(0), &txn(vec![delete("c", "")])).expect("it is made");
    assert_eq!(state.revision(), 2, "a removal of nothing is no change");
}

#[test]
fn a_transaction_is_refused_as_a_whole() {
    let mut state = State::default();
    let refused = state.txn(at(0), &txn(vec![put("a", 0), put("b", 7)])).expect_err("no lease 7");
    assert_eq!(refused.message, wire::NO_LEASE);
    assert_eq!((keys(&state).len(), state.revision()), (0, 1));
}

#[parameterized(
    one = { "a", "", &["b", "ba"] },
    prefix = { "b", "c", &["a"] },
    from_there_on = { "b", "\0", &["a"] },
    backwards = { "c", "a", &["a", "b", "ba"] },
)]
fn a_removal_takes_its_range(key: &str, range_end: &str, left: &[&str]) {
    let mut state = State::default();
    state.txn(at(0), &txn(vec![put("a", 0), put("b", 0), put("ba", 0)])).expect("it is made");
    state.txn(at(0), &txn(vec![delete(key, range_end)])).expect("it is made");
    assert_eq!(keys(&state), left);
}

#[test]
fn versions_and_revisions_count_as_in_etcd() {
    let mut state = State::default();
    for _ in 0..3 {
        state.txn(at(0), &txn(vec![put("a", 0)])).expect("it is made");
    }
    let found = state.range(&wire::RangeRequest { key: b"a".to_vec(), ..Default::default() });
    let kv = &found.kvs[0];
    assert_eq!((kv.create_revision, kv.mod_revision, kv.version), (2, 4, 3));
    state.txn(at(0), &txn(vec![delete("a", "")])).expect("it is made");
    state.txn(at(0), &txn(vec![put("a", 0)])).expect("it is made");
    let found = state.range(&wire::RangeRequest { key: b"a".to_vec(), ..Default::default() });
    assert_eq!((found.kvs[0].create_revision, found.kvs[0].version), (6, 1));
}

#[test]
fn a_lease_lapses_with_the_keys_that_are_bound_to_it_last() {
    let mut state = State::default();
    let short = state.grant(at(0), &wire::Lease { id: 0, ttl: 5 }).id;
    let long = state.grant(at(0), &wire::Lease { id: 0, ttl: 50 }).id;
    let puts = vec![put("short", short), put("moved", short), put("long", long)];
    state.txn(at(0), &txn(puts)).expect("it is made");
    state.txn(at(1), &txn(vec![put("moved", 0)])).expect("it is made");
    state.advance(at(4));
    assert_eq!(keys(&state).len(), 3);
    assert_eq!(state.keep_alive(at(4), &wire::Lease { id: short, ttl: 0 }).ttl, 5);
    state.advance(at(8));
    assert_eq!(keys(&state).len(), 3, "it was renewed");
    state.advance(at(9));
    assert_eq!(keys(&state), ["long", "moved"]);
    assert_eq!(state.keep_alive(at(9), &wire::Lease { id: short, ttl: 0 }).ttl, 0);
    let last = state.changes_after(3, &[0], &[0]).expect("they are kept");
    assert_eq!((last.len(), last[0].kind), (1, wire::watch::Kind::Delete));
}

#[test]
fn compacted_changes_can_not_be_asked_for() {
    let mut state = State::default();
    for key in ["a", "b", "c"] {
        state.txn(at(0), &txn(vec![put(key, 0)])).expect("it is made");
    }
    state.compact(3);
    assert_eq!(state.changes_after(2, &[0], &[0]), Err(4));
    assert_eq!(state.changes_after(3, &[0], &[0]).expect("it is kept").len(), 1);
    state.compact(100);
    assert_eq!(state.changes_after(4, &[0], &[0]).expect("nothing came since").len(), 0);
}
