//! Statuses of rollouts are written each by itself.

mod support;

use std::time::Duration;

use cowslipchute_planner::record;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_scheduler::keys;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::rollouts;
use cowslipchute_scheduler::rollouts::Status;
use support::Fake;
use tokio::sync::mpsc;

/// Largest value of the store.
const MAX_VALUE_BYTES: usize = 100;

fn status(machines: usize) -> Status {
    let started: Vec<Name> = (0..machines).map(|index| format!("machine-{index}").into()).collect();
    Status { progress: Progress::Active, started }
}

/// Guards against a status that the store refuses permanently and that holds back those of all other
/// rollouts.
#[tokio::test(start_paused = true)]
async fn a_status_that_the_store_refuses_holds_back_no_other() {
    let fake = Fake::default();
    let epoch = fake.put(keys::OWNER, b"ours".to_vec());
    fake.0.lock().unwrap().max_value_bytes = Some(MAX_VALUE_BYTES);
    let (updates, receiver) = mpsc::unbounded_channel();
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    tokio::spawn(rollouts::write_statuses(fake.clone(), epoch, receiver, log));
    updates.send((1, status(50))).unwrap();
    updates.send((2, status(1))).unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let inner = fake.0.lock().unwrap();
    let stored = inner.keys.get("wave/2").map(|(value, _)| record::decode(value).unwrap());
    assert_eq!(stored, Some(status(1)));
    assert!(!inner.keys.contains_key("wave/1"));
    assert!(inner.commits <= 10, "{} calls in five seconds", inner.commits);
}
