//! Watches of the adapter to the store against the stand-in platform.

use std::time::Duration;

use cowslipchute_gateway::http::Origin;
use cowslipchute_gateway::kv::Client;
use cowslipchute_ports::kv::Change;
use cowslipchute_ports::kv::Error;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::Update;
use cowslipchute_standin::Plan;
use cowslipchute_standin::Standin;
use cowslipchute_standin::fault::Fault;
use cowslipchute_standin::fault::Partition;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use tokio::sync::mpsc::Receiver;
use yare::parameterized;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_SILENCE: Duration = Duration::from_millis(1000);

fn open() -> (Standin, Client) {
    let plan = Plan { watch_progress: Duration::from_millis(50), ..Plan::bare() };
    let standin = cowslipchute_standin::open(&plan).expect("the stand-in opens");
    let origin = Origin { domain: "a".into(), instance: "entry-a-0".into() };
    let client = Client::open(&standin.store_url(), CALL_TIMEOUT)
        .with_watch_silence(WATCH_SILENCE)
        .with_origin(origin);
    (standin, client)
}

async fn put(store: &Client, key: &str) -> u64 {
    let change = Change::Put { key: key.to_owned(), value: b"v".to_vec(), lease: 0 };
    let txn = Txn { preconditions: vec![], changes: vec![change] };
    store.commit(txn).await.expect("it is applied").revision
}

async fn delete(store: &Client, key: &str) -> u64 {
    let change = Change::Delete { key: key.to_owned() };
    let txn = Txn { preconditions: vec![], changes: vec![change] };
    store.commit(txn).await.expect("it is applied").revision
}

/// Returns a short description of the next update, progress messages skipped.
async fn next(updates: &mut Receiver<Update>) -> String {
    loop {
        match updates.recv().await.expect("an `Ended` update precedes the closing of the channel") {
            Update::Progress(_) => {}
            Update::Put(entry) => return format!("put {} {}", entry.key, entry.revision),
            Update::Deleted { key, revision } => return format!("deleted {key} {revision}"),
            Update::Ended(Error::Unavailable(_)) => return String::from("ended"),
            Update::Ended(error) => return error.to_string(),
        }
    }
}

#[tokio::test]
async fn updates_come_in_order_from_the_revision_asked_for() {
    let (_standin, store) = open();
    let before = put(&store, "a/1").await;
    let second = put(&store, "a/2").await;
    let mut updates = store.watch("a/", before).await.expect("it is opened");
    assert_eq!(next(&mut updates).await, format!("put a/2 {second}"));
    put(&store, "b/1").await;
    let third = put(&store, "a/1").await;
    let fourth = delete(&store, "a/2").await;
    assert_eq!(next(&mut updates).await, format!("put a/1 {third}"));
    assert_eq!(next(&mut updates).await, format!("deleted a/2 {fourth}"));
    loop {
        match updates.recv().await {
            Some(Update::Progress(revision)) if revision == fourth => break,
            Some(Update::Progress(revision)) => assert!(revision < fourth),
            other => panic!("expected progress, got {other:?}"),
        }
    }
}

#[parameterized(
    store_killed = { Fault::state(State::Killed) },
    store_down = { Fault::state(State::Down) },
    store_frozen = { Fault::state(State::Frozen) },
)]
#[test_macro(tokio::test)]
async fn a_broken_watch_ends_and_a_new_one_misses_nothing(fault: Fault) {
    let (standin, store) = open();
    let first = put(&store, "a/1").await;
    let mut updates = store.watch("a/", 0).await.expect("it is opened");
    assert_eq!(next(&mut updates).await, format!("put a/1 {first}"));
    standin.set_fault(Target::Store, fault).await.expect("the fault is switched on");
    assert_eq!(next(&mut updates).await, "ended");
    assert_eq!(updates.recv().await, None, "nothing comes after the end");
    standin.set_fault(Target::Store, Fault::default()).await.expect("the fault is switched off");
    let second = put(&store, "a/2").await;
    let mut updates = store.watch("a/", first).await.expect("it is opened again");
    assert_eq!(next(&mut updates).await, format!("put a/2 {second}"));
}

#[tokio::test]
async fn a_watch_from_a_domain_that_is_cut_off_falls_silent_and_ends() {
    let (standin, store) = open();
    let mut updates = store.watch("a/", 0).await.expect("it is opened");
    let cut = Partition { a: "platform".into(), b: "a".into() };
    standin.cut(cut.clone());
    assert_eq!(next(&mut updates).await, "ended");
    standin.heal(cut);
    let first = put(&store, "a/1").await;
    let mut updates = store.watch("a/", 0).await.expect("it is opened again");
    assert_eq!(next(&mut updates).await, format!("put a/1 {first}"));
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_says_so() {
    let (standin, store) = open();
    put(&store, "a/1").await;
    let second = put(&store, "a/2").await;
    standin.compact(second);
    let error = match store.watch("a/", 1).await {
        Err(error) => error,
        Ok(mut updates) => match updates.recv().await {
            Some(Update::Ended(error)) => error,
            other => panic!("expected the end of the watch, got {other:?}"),
        },
    };
    assert_eq!(error, Error::Compacted(second + 1));
    store.watch("a/", second).await.expect("what comes after it is still kept");
}

#[tokio::test]
async fn a_watch_that_nobody_reads_is_given_up() {
    let (standin, store) = open();
    let updates = store.watch("a/", 0).await.expect("it is opened");
    assert_eq!(standin.report().store.watches_waiting, 1);
    drop(updates);
    while standin.report().store.watches_waiting > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
