//! Final states of jobs are removed from the store once they are old, and not before.

mod support;

use std::time::Duration;

use cowslipchute_scheduler::keys;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::retention;
use support::Fake;
use support::Fate;

const PERIOD: Duration = Duration::from_secs(130);

/// Starts the removal for an owner of the store; it runs until the runtime is dropped.
fn start_removal(fake: &Fake) {
    let epoch = fake.put(keys::OWNER, b"ours".to_vec());
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    tokio::spawn(retention::run(fake.clone(), epoch, PERIOD, log));
}

fn put_final_state(fake: &Fake, job: u64) {
    fake.put(&keys::for_job(keys::FINAL_STATES, job), b"completed".to_vec());
}

fn count_final_states(fake: &Fake) -> usize {
    fake.0.lock().unwrap().keys.keys().filter(|key| key.starts_with(keys::FINAL_STATES)).count()
}

#[tokio::test(start_paused = true)]
async fn an_end_stays_for_a_whole_period_and_goes_after_two() {
    let fake = Fake::default();
    start_removal(&fake);
    tokio::time::sleep(PERIOD / 2).await;
    put_final_state(&fake, 7);
    tokio::time::sleep(PERIOD).await;
    assert_eq!(count_final_states(&fake), 1, "it is half a period old at the first scan");
    tokio::time::sleep(PERIOD).await;
    assert_eq!(count_final_states(&fake), 0);
    assert!(fake.has(keys::OWNER), "nothing else is removed");
}

#[tokio::test(start_paused = true)]
async fn one_that_was_written_anew_counts_as_new() {
    let fake = Fake::default();
    start_removal(&fake);
    put_final_state(&fake, 7);
    tokio::time::sleep(PERIOD + PERIOD / 2).await;
    put_final_state(&fake, 7);
    tokio::time::sleep(PERIOD).await;
    assert_eq!(count_final_states(&fake), 1);
}

#[tokio::test(start_paused = true)]
async fn many_go_in_transactions_that_the_store_takes() {
    let fake = Fake::default();
    start_removal(&fake);
    (0..100).for_each(|job| put_final_state(&fake, job));
    tokio::time::sleep(PERIOD * 2 + Duration::from_secs(1)).await;
    assert_eq!(count_final_states(&fake), 0);
    assert!(fake.0.lock().unwrap().entries <= 32);
}

#[tokio::test(start_paused = true)]
async fn what_a_refused_write_left_goes_a_period_later() {
    let fake = Fake::default();
    start_removal(&fake);
    put_final_state(&fake, 7);
    fake.0.lock().unwrap().fates.push(Fate::Refused);
    tokio::time::sleep(PERIOD * 2 + Duration::from_secs(1)).await;
    assert_eq!(count_final_states(&fake), 1);
    tokio::time::sleep(PERIOD).await;
    assert_eq!(count_final_states(&fake), 0);
}

#[tokio::test(start_paused = true)]
async fn a_former_owner_removes_nothing() {
    let fake = Fake::default();
    start_removal(&fake);
    put_final_state(&fake, 7);
    fake.put(keys::OWNER, b"another's".to_vec());
    tokio::time::sleep(PERIOD * 4).await;
    assert_eq!(count_final_states(&fake), 1);
}
