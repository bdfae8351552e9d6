//! Changes of the store are collected in order.

use cowslipchute_ports::kv::Entry;
use cowslipchute_scheduler::watcher::Change;
use cowslipchute_scheduler::watcher::collect_ready;
use tokio::sync::mpsc;
use yare::parameterized;

fn put(key: usize) -> Change {
    let key = format!("key/{key}");
    Change::Put(Entry { key, value: Vec::new(), revision: 1, lease: 0 })
}

fn key(change: &Change) -> String {
    match change {
        Change::Put(entry) => entry.key.clone(),
        other => panic!("{other:?}"),
    }
}

#[parameterized(
    alone = { 1 },
    a_few = { 3 },
    as_many_as_wait_at_most = { 64 },
)]
fn all_that_waits_is_taken_in_one_turn_and_in_order(waiting: usize) {
    let (sender, mut receiver) = mpsc::channel(64);
    for index in 0..waiting {
        sender.try_send(put(index)).unwrap();
    }
    let first = receiver.try_recv().unwrap();
    let keys: Vec<String> = collect_ready(first, &mut receiver).iter().map(key).collect();
    let wanted: Vec<String> = (0..waiting).map(|index| format!("key/{index}")).collect();
    assert_eq!(keys, wanted);
    assert!(receiver.try_recv().is_err());
}
