//! Records are written only by the owner, and each exactly once even if answers are lost.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_planner::action::Change;
use cowslipchute_planner::record::Occurrence;
use cowslipchute_planner::record::Record;
use cowslipchute_planner::record::Task;
use cowslipchute_platform::store::MAX_TXN_BYTES;
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
use yare::parameterized;

/// Time within which a write has to be settled.
const SETTLED: Duration = Duration::from_secs(10);
/// Largest value of the store in tests of its refusals.
const LARGE_BYTES: usize = 100;

fn progress(job: u64, opened: u32) -> Change {
    Change::Progress { job, record: Record { started: true, opened, ..Record::default() } }
}

fn stored(fake: &Fake, job: u64) -> Option<u32> {
    let inner = fake.0.lock().unwrap();
    let (value, _) = inner.keys.get(&keys::for_job(keys::RECORDS, job))?;
    Some(Record::decode(value).unwrap().opened)
}

fn open(fake: &Fake) -> Writer<Fake> {
    open_with_limit(fake, usize::MAX)
}

/// Opens a writer that knows the largest value of the store.
fn open_with_limit(fake: &Fake, max_value_bytes: usize) -> Writer<Fake> {
    let epoch = fake.put(keys::OWNER, b"ours".to_vec());
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    Writer::open(fake.clone(), epoch, HashMap::new(), max_value_bytes, log)
}

/// Returns a change whose record is larger than `LARGE_BYTES`.
fn large(job: u64) -> Change {
    sized(job, LARGE_BYTES)
}

/// Returns a change whose record has a little more than this many bytes.
fn sized(job: u64, bytes: usize) -> Change {
    let task = Task { checkpoint: Some("c".repeat(bytes).into()), ..Task::default() };
    let occurrence = Occurrence { number: 0, steps: vec![vec![task]] };
    Change::Progress { job, record: Record { occurrences: vec![occurrence], ..Record::default() } }
}

fn block_on(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap().block_on(test);
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

/// Guards against a record that the store refuses permanently and that is written without end, with
/// the jobs of its transaction.
#[parameterized(
    by_the_store = { usize::MAX },
    by_the_known_limit = { LARGE_BYTES },
)]
fn a_record_that_cannot_be_stored_holds_back_no_other(known_limit: usize) {
    block_on(async {
        let fake = Fake::default();
        let writer = open_with_limit(&fake, known_limit);
        fake.0.lock().unwrap().max_value_bytes = Some(LARGE_BYTES);
        let changes: Vec<Change> =
            (0..9).map(|job| if job == 4 { large(job) } else { progress(job, 1) }).collect();
        let written = tokio::time::timeout(SETTLED, writer.write(&changes)).await;
        let refused = written.expect("the write ends").unwrap();
        assert_eq!(refused.iter().map(|refusal| refusal.job).collect::<Vec<_>>(), [4]);
        assert!(refused[0].lasting, "{}", refused[0].reason);
        assert!((0..9).all(|job| stored(&fake, job) == (job != 4).then_some(1)));
    });
}

/// Guards against a transaction of several large values that takes longer than its timeout at each
/// attempt.
#[test]
fn large_records_are_divided_over_transactions() {
    /// Size of each record; three are over the limit on a transaction.
    const BYTES: usize = MAX_TXN_BYTES / 2 - 100;
    block_on(async {
        let fake = Fake::default();
        let writer = open(&fake);
        let changes: Vec<Change> = (0..9).map(|job| sized(job, BYTES)).collect();
        assert_eq!(writer.write(&changes).await, Ok(Vec::new()));
        let inner = fake.0.lock().unwrap();
        assert!(inner.txn_bytes <= MAX_TXN_BYTES, "{} bytes", inner.txn_bytes);
        assert_eq!(inner.commits, 5);
    });
}

/// Guards against jobs that are given up since a store refuses whatever it is sent for a while.
#[test]
fn a_store_that_refuses_every_write_ends_no_job() {
    block_on(async {
        let fake = Fake::default();
        let writer = open(&fake);
        fake.0.lock().unwrap().max_value_bytes = Some(0);
        let changes =
            [progress(1, 1), progress(2, 1), Change::End { job: 3, state: State::Completed }];
        let refused = writer.write(&changes).await.unwrap();
        assert_eq!(refused.len(), changes.len());
        assert!(refused.iter().all(|refusal| !refusal.lasting), "{refused:?}");
    });
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
