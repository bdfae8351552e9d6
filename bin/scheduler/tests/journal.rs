//! Records are written as the owner only, and each once, whatever becomes of the answers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_planner::action::Change;
use cowslipchute_planner::record;
use cowslipchute_planner::record::Record;
use cowslipchute_ports::job::State;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Update;
use cowslipchute_scheduler::journal::Journal;
use cowslipchute_scheduler::journal::Outranked;
use cowslipchute_scheduler::keys;
use cowslipchute_scheduler::log;
use tokio::sync::mpsc;

/// What becomes of the next transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is decided, and the answer gets lost.
    AnswerLost,
    /// It never arrives, and the caller can't tell.
    Dropped,
    /// The store turns it away.
    Refused,
}

#[derive(Debug, Default)]
struct Inner {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    fates: Vec<Fate>,
    commits: usize,
    entries: usize,
}

#[derive(Clone, Debug, Default)]
struct Fake(Arc<Mutex<Inner>>);

impl Fake {
    fn put(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut inner = self.0.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.keys.insert(key.to_owned(), (value, revision));
        revision
    }

    fn has(&self, key: &str) -> bool {
        self.0.lock().unwrap().keys.contains_key(key)
    }
}

impl Inner {
    fn decide(&mut self, txn: &kv::Txn) -> kv::Verdict {
        self.entries = self.entries.max(txn.guards.len() + txn.changes.len());
        let holds = txn.guards.iter().all(|guard| match guard {
            kv::Guard::Missing(key) => !self.keys.contains_key(key),
            kv::Guard::Unchanged(key, revision) => {
                self.keys.get(key).is_some_and(|(_, current)| current == revision)
            }
            kv::Guard::Present(key) => self.keys.contains_key(key),
        });
        if !holds {
            let current = txn.guards.iter().filter_map(|guard| {
                let (kv::Guard::Missing(key)
                | kv::Guard::Unchanged(key, _)
                | kv::Guard::Present(key)) = guard;
                let (value, revision) = self.keys.get(key)?;
                let (key, value, revision) = (key.clone(), value.clone(), *revision);
                Some(kv::Entry { key, value, revision, lease: 0 })
            });
            return kv::Verdict { applied: false, revision: 0, current: current.collect() };
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                kv::Change::Put { key, value, .. } => {
                    self.keys.insert(key.clone(), (value.clone(), self.revision));
                }
                kv::Change::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        kv::Verdict { applied: true, revision: self.revision, current: Vec::new() }
    }
}

impl Store for Fake {
    async fn read(&self, _: &str) -> Result<kv::Snapshot, kv::Error> {
        Ok(kv::Snapshot::default())
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::Verdict, kv::Error> {
        let mut inner = self.0.lock().unwrap();
        inner.commits += 1;
        let lost = || Err(kv::Error::Unknown(String::from("no answer")));
        match inner.fates.pop() {
            None => Ok(inner.decide(&txn)),
            Some(Fate::AnswerLost) => {
                inner.decide(&txn);
                lost()
            }
            Some(Fate::Dropped) => lost(),
            Some(Fate::Refused) => Err(kv::Error::Unavailable(String::from("busy"))),
        }
    }

    async fn grant(&self, _: Duration) -> Result<kv::LeaseId, kv::Error> {
        Ok(1)
    }

    async fn keep_alive(&self, _: kv::LeaseId) -> Result<Duration, kv::Error> {
        Ok(Duration::from_secs(1))
    }

    async fn revoke(&self, _: kv::LeaseId) -> Result<(), kv::Error> {
        Ok(())
    }

    async fn watch(&self, _: &str, _: u64) -> Result<mpsc::Receiver<Update>, kv::Error> {
        Err(kv::Error::Unavailable(String::from("not watched here")))
    }
}

fn progress(job: u64, opened: u32) -> Change {
    Change::Progress { job, record: Record { started: true, opened, occurrences: Vec::new() } }
}

fn stored(fake: &Fake, job: u64) -> Option<u32> {
    let inner = fake.0.lock().unwrap();
    let (value, _) = inner.keys.get(&keys::of(keys::RECORDS, job))?;
    Some(record::decode::<Record>(value).unwrap().opened)
}

fn open(fake: &Fake) -> Journal<Fake> {
    let epoch = fake.put(keys::SEAT, b"ours".to_vec());
    let log = log::open("test", slog::Level::Error).unwrap();
    Journal::open(fake.clone(), epoch, HashMap::new(), log)
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
        let journal = open(&fake);
        journal.write(&[progress(1, 1)]).await.unwrap();
        fake.0.lock().unwrap().fates = fates.clone();
        journal.write(&[progress(1, 2), progress(2, 1)]).await.unwrap();
        assert_eq!((stored(&fake, 1), stored(&fake, 2)), (Some(2), Some(1)), "{fates:?}");
        journal.write(&[progress(1, 3)]).await.unwrap();
        assert_eq!(stored(&fake, 1), Some(3), "{fates:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_end_takes_the_job_and_its_record_with_it() {
    let fake = Fake::default();
    let journal = open(&fake);
    fake.put(&keys::of(keys::JOBS, 1), Vec::new());
    journal.write(&[progress(1, 1)]).await.unwrap();
    fake.0.lock().unwrap().fates = vec![Fate::AnswerLost];
    journal.write(&[Change::End { job: 1, state: State::Completed }]).await.unwrap();
    assert!(!fake.has(&keys::of(keys::JOBS, 1)));
    assert!(!fake.has(&keys::of(keys::RECORDS, 1)));
    assert!(fake.has(&keys::of(keys::ENDS, 1)));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_once_another_owner_has_the_cell() {
    let fake = Fake::default();
    let journal = open(&fake);
    journal.write(&[progress(1, 1)]).await.unwrap();
    fake.put(keys::SEAT, b"theirs".to_vec());
    assert_eq!(journal.write(&[progress(1, 2)]).await, Err(Outranked));
    assert_eq!(stored(&fake, 1), Some(1));
}

#[tokio::test(start_paused = true)]
async fn many_changes_are_divided_as_the_store_demands() {
    let fake = Fake::default();
    let journal = open(&fake);
    let changes: Vec<Change> = (0..100).map(|job| progress(job, 1)).collect();
    journal.write(&changes).await.unwrap();
    let ends: Vec<Change> =
        (0..100).map(|job| Change::End { job, state: State::Completed }).collect();
    journal.write(&ends).await.unwrap();
    let inner = fake.0.lock().unwrap();
    assert!(inner.entries <= 32, "{} entries", inner.entries);
    assert!(inner.commits <= 7 + 15, "{} commits", inner.commits);
}
