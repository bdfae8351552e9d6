//! The adapter to the store against the stand-in platform, without faults.

use std::time::Duration;

use cowslipchute_gateway::counted;
use cowslipchute_gateway::kv::Client;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::Precondition;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use yare::parameterized;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn open() -> (Standin, Client) {
    let standin = cowslipchute_standin::open(&Plan::bare()).expect("the stand-in opens");
    let client = Client::open(&standin.store_url(), CALL_TIMEOUT);
    (standin, client)
}

fn put(key: &str, value: &[u8], lease: i64) -> Change {
    Change::Put { key: key.to_owned(), value: value.to_vec(), lease }
}

fn txn(guards: Vec<Precondition>, changes: Vec<Change>) -> Txn {
    Txn { preconditions: guards, changes }
}

#[tokio::test]
async fn a_read_finds_the_keys_of_its_prefix_in_order() {
    let (_standin, store) = open();
    let changes = vec![put("a/2", b"two", 0), put("a/1", &[0, 255], 0), put("b/1", b"other", 0)];
    let verdict = store.commit(txn(vec![], changes)).await.expect("it is applied");
    let snapshot = store.read("a/").await.expect("it is read");
    let keys: Vec<&str> = snapshot.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
    assert_eq!(snapshot.entries[0].value, [0, 255]);
    assert_eq!(snapshot.revision, verdict.revision);
    assert!(snapshot.entries.iter().all(|entry| entry.revision == verdict.revision));
}

#[parameterized(
    missing_of_a_missing_key = { Precondition::Missing(String::from("new")), true },
    missing_of_a_present_key = { Precondition::Missing(String::from("old")), false },
    unchanged = { Precondition::Unchanged(String::from("old"), 2), true },
    changed = { Precondition::Unchanged(String::from("old"), 1), false },
    unchanged_of_a_missing_key = { Precondition::Unchanged(String::from("new"), 2), false },
    present = { Precondition::Present(String::from("old")), true },
    present_of_a_missing_key = { Precondition::Present(String::from("new")), false },
)]
#[test_macro(tokio::test)]
async fn a_guard_decides_whether_changes_are_made(guard: Precondition, applies: bool) {
    let (_standin, store) = open();
    let first = store.commit(txn(vec![], vec![put("old", b"1", 0)])).await.expect("applied");
    assert_eq!(first.revision, 2, "the first change of an empty store");
    let (Precondition::Missing(key) | Precondition::Unchanged(key, _) | Precondition::Present(key)) =
        guard.clone();
    let verdict =
        store.commit(txn(vec![guard], vec![put("out", b"2", 0)])).await.expect("it is decided");
    assert_eq!(verdict.applied, applies);
    assert_eq!(store.read("out").await.expect("it is read").entries.len(), usize::from(applies));
    let shown = !applies && key == "old";
    assert_eq!(
        verdict.current.len(),
        usize::from(shown),
        "a failed transaction returns the guarded keys"
    );
}

#[tokio::test]
async fn a_lease_takes_its_keys_along_and_can_be_renewed_until_then() {
    let (_standin, store) = open();
    let lease = store.grant(Duration::from_millis(700)).await.expect("it is granted");
    store.commit(txn(vec![], vec![put("held", b"1", lease)])).await.expect("applied");
    let ttl = store.keep_alive(lease).await.expect("it is renewed");
    assert_eq!(ttl, Duration::from_secs(1), "the store's leases are whole seconds");
    assert_eq!(store.read("held").await.expect("it is read").entries[0].lease, lease);
    store.revoke(lease).await.expect("it is ended");
    assert_eq!(store.read("held").await.expect("it is read").entries, []);
    assert_eq!(store.revoke(lease).await, Err(Error::LeaseExpired));
}

#[tokio::test]
async fn a_lapsed_lease_is_gone_for_every_call() {
    let (_standin, store) = open();
    let lease = store.grant(Duration::from_secs(1)).await.expect("it is granted");
    store.commit(txn(vec![], vec![put("held", b"1", lease)])).await.expect("applied");
    while !store.read("held").await.expect("it is read").entries.is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(store.keep_alive(lease).await, Err(Error::LeaseExpired));
    let late = store.commit(txn(vec![], vec![put("held", b"2", lease)])).await;
    assert_eq!(late, Err(Error::LeaseExpired));
    assert_eq!(store.read("held").await.expect("it is read").entries, []);
}

#[tokio::test]
async fn a_value_over_the_limit_is_refused_before_it_is_sent() {
    let (standin, store) = open();
    let large = vec![0; (1 << 20) + 1];
    let refused = store.commit(txn(vec![], vec![put("large", &large, 0)])).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert_eq!(standin.report().store.commits, 0);
    let largest = vec![put("large", &large[1..], 0)];
    assert!(store.commit(txn(vec![], largest)).await.expect("it is decided").applied);
}

#[tokio::test]
async fn calls_are_counted_alike_on_both_sides() {
    let (standin, store) = open();
    let store = counted::open(store);
    store.commit(txn(vec![], vec![put("a", b"1", 0)])).await.expect("applied");
    store.read("a").await.expect("it is read");
    store.read("b").await.expect("it is read");
    let lease = store.grant(Duration::from_secs(5)).await.expect("it is granted");
    store.keep_alive(lease).await.expect("it is renewed");
    store.revoke(lease).await.expect("it is ended");
    let watch = store.watch("a", 0).await.expect("it is opened");
    let (ours, theirs) = (store.counter().count(), standin.report().store);
    assert_eq!((ours.reads, ours.commits, ours.leases, ours.watches), (2, 1, 3, 1));
    assert_eq!((theirs.reads, theirs.commits, theirs.leases, theirs.watches), (2, 1, 3, 1));
    assert_eq!((ours.writes(), ours.total()), (4, 7));
    drop(watch);
}
