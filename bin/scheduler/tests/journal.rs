//! Records are written only by the owner, and each exactly once even if answers are lost.

mod support;

use std::collections::HashMap;

use cowslipchute_planner::action::Change;
use cowslipchute_planner::record::Record;
use cowslipchute_ports::job::State;
use cowslipchute_scheduler::keys;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::retry;
use cowslipchute_scheduler::writer::Fenced;
use cowslipchute_scheduler::writer::Writer;
use support::Fake;
use support::Fate;
use tokio::task::JoinSet;
use tokio::time::Instant;

fn progress(job: u64, opened: u32) -> Change {
    Change::Progress { job, record: Record { started: true, opened, ..Record::default() } }
}

fn stored(fake: &Fake, job: u64) -> Option<u32> {
    let inner = fake.0.lock().unwrap();
    let (value, _) = inner.keys.get(&keys::for_job(keys::RECORDS, job))?;
    Some(Record::decode(value).unwrap().opened)
}

fn open(fake: &Fake) -> Writer<Fake> {
    let epoch = fake.put(keys::OWNER, b"ours".to_vec());
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    Writer::open(fake.clone(), epoch, HashMap::new(), log)
}

#[tokio::test(start_paused = true)]
async fn a_write_is_there_once_whatever_becomes_of_its_answers() {
    for fates in [
        vec![],
        vec![Fate::AnswerLost],
        vec![Fate::Dropped],
        vec![Fate::Refused],
        vec![Fate::AnswerLost, Fate::Dropped],
        vec![Fate::Refused, Fate::AnswerLost, Fate::Refused],
    ] {
        let fake = Fake::default();
        let writer = open(&fake);
        writer.write(&[progress(1, 1)]).await.unwrap();
        fake.0.lock().unwrap().fates = fates.clone();
        writer.write(&[progress(1, 2), progress(2, 1)]).await.unwrap();
        assert_eq!((stored(&fake, 1), stored(&fake, 2)), (Some(2), Some(1)), "{fates:?}");
        writer.write(&[progress(1, 3)]).await.unwrap();
        assert_eq!(stored(&fake, 1), Some(3), "{fates:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_end_takes_the_job_and_its_record_with_it() {
    let fake = Fake::default();
    let writer = open(&fake);
    fake.put(&keys::for_job(keys::JOBS, 1), Vec::new());
    writer.write(&[progress(1, 1)]).await.unwrap();
    fake.0.lock().unwrap().fates = vec![Fate::AnswerLost];
    writer.write(&[Change::End { job: 1, state: State::Completed }]).await.unwrap();
    assert!(!fake.has(&keys::for_job(keys::JOBS, 1)));
    assert!(!fake.has(&keys::for_job(keys::RECORDS, 1)));
    assert!(fake.has(&keys::for_job(keys::FINAL_STATES, 1)));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_once_another_owner_has_the_cell() {
    let fake = Fake::default();
    let writer = open(&fake);
    writer.write(&[progress(1, 1)]).await.unwrap();
    fake.put(keys::OWNER, b"theirs".to_vec());
    assert_eq!(writer.write(&[progress(1, 2)]).await, Err(Fenced));
    assert_eq!(stored(&fake, 1), Some(1));
}

#[tokio::test(start_paused = true)]
async fn many_changes_are_divided_as_the_store_demands() {
    let fake = Fake::default();
    let writer = open(&fake);
    let changes: Vec<Change> = (0..100).map(|job| progress(job, 1)).collect();
    writer.write(&changes).await.unwrap();
    let ends: Vec<Change> =
        (0..100).map(|job| Change::End { job, state: State::Completed }).collect();
    writer.write(&ends).await.unwrap();
    let inner = fake.0.lock().unwrap();
    assert!(inner.entries <= 32, "{} entries", inner.entries);
    assert!(inner.commits <= 7 + 15, "{} commits", inner.commits);
}

#[tokio::test(start_paused = true)]
async fn overlapping_writes_take_turns_while_the_store_is_away() {
    /// Writes in flight when the outage starts.
    const WRITES: usize = 12;
    /// Calls that the store rejects; each write is attempted once before any is retried.
    const REFUSED: usize = 60;
    let fake = Fake::default();
    let writer = open(&fake);
    fake.0.lock().unwrap().fates = vec![Fate::Refused; REFUSED];
    let started = Instant::now();
    let mut writes = JoinSet::new();
    for job in 0..WRITES as u64 {
        let writer = writer.clone();
        writes.spawn(async move { writer.write(&[progress(job, 1)]).await });
    }
    while let Some(write) = writes.join_next().await {
        write.unwrap().unwrap();
    }
    let elapsed = started.elapsed();
    let retries = (REFUSED - WRITES) as u32;
    assert!(elapsed >= retry::INTERVAL * retries, "refused {REFUSED} times within {elapsed:?}");
    // All other writes follow the first that succeeds.
    assert!(
        elapsed <= retry::INTERVAL * (retries + 3),
        "{elapsed:?} for an outage of {retries} retries"
    );
    assert!((0..WRITES as u64).all(|job| stored(&fake, job) == Some(1)));
    assert_eq!(fake.0.lock().unwrap().commits, REFUSED + WRITES);
}
