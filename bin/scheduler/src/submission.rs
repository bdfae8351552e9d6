//! Jobs on their way into the store: those that arrive together are written together.
//!
//! A job is accepted once the store holds it, and refused only if it surely never will. A write
//! without an answer is made again, since its guards make that harmless; if it stays unsettled the
//! client is told that the outcome is not known, and asks again under the same number.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_planner::record;
use cowslipchute_platform::store::TXN_ENTRIES;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Rejection;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::event;
use crate::keys;
use crate::log::Log;

/// Entries of a transaction for one job: two guards and a change.
const JOB_ENTRIES: usize = 3;
/// Jobs that may wait to be written; more than a busy instance takes in within a call's time.
const QUEUE: usize = 256;
/// Pause before an unsettled write is made again.
const SETTLE_PAUSE: Duration = Duration::from_millis(80);
/// The part of a client's time in which an unsettled write is settled; what is left has to carry
/// the answer back.
const SETTLE_PART: f64 = 0.4;
/// The part of a client's time after which it is told that the outcome is not known: it then has
/// time to ask another instance.
const ANSWER_PART: f64 = 0.5;
/// When to come back while the store refuses: outages last seconds, and the bound on a busy store
/// passes within one.
const STORE_PAUSE: Duration = Duration::from_secs(1);

type Outcome = Result<(), Rejection>;

struct Submission {
    job: JobId,
    value: Vec<u8>,
    until: Instant,
    reply: oneshot::Sender<Outcome>,
}

/// Takes jobs in.
#[derive(Clone, Debug)]
pub struct Batcher {
    sender: mpsc::Sender<Submission>,
}

/// Starts taking jobs in; ends when the last handle is dropped.
pub fn spawn<S: Store>(store: S, log: Log) -> Batcher {
    let (sender, receiver) = mpsc::channel(QUEUE);
    tokio::spawn(gather(store, receiver, log));
    Batcher { sender }
}

impl Batcher {
    /// Writes a job; returns once it is settled whether the store holds it.
    ///
    /// # Errors
    ///
    /// As [`cowslipchute_ports::job::Desk::submit`].
    pub async fn submit(&self, job: JobId, accepted: &Accepted, within: Duration) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let until = Instant::now() + within.mul_f64(SETTLE_PART);
        let item = Submission { job, value: record::encode(accepted), until, reply };
        if self.sender.try_send(item).is_err() {
            return Err(Rejection::new(Code::Busy, "too many jobs are on their way to the store")
                .retry_after(STORE_PAUSE));
        }
        let unknown = || Rejection::new(Code::StoreUnknown, "the write was not settled");
        // The write goes on; whether it comes through is found out when the client asks again.
        let outcome = tokio::time::timeout(within.mul_f64(ANSWER_PART), outcome).await;
        outcome.map_or_else(|_| Err(unknown()), |sent| sent.unwrap_or_else(|_| Err(unknown())))
    }
}

async fn gather<S: Store>(store: S, mut items: mpsc::Receiver<Submission>, log: Log) {
    let mut batch = Vec::new();
    while items.recv_many(&mut batch, TXN_ENTRIES / JOB_ENTRIES).await > 0 {
        let part = std::mem::take(&mut batch);
        tokio::spawn(settle(store.clone(), part, log.clone()));
    }
}

/// Writes a batch until each of its jobs is settled or out of time.
async fn settle<S: Store>(store: S, mut batch: Vec<Submission>, log: Log) {
    let mut unsettled = false;
    while !batch.is_empty() {
        let outcome = store.commit(txn(&batch)).await;
        match outcome {
            Ok(verdict) if verdict.applied => {
                for item in batch.drain(..) {
                    answer(item, Ok(()), &log);
                }
                return;
            }
            Ok(verdict) => {
                // Someone handed these in before, maybe in a write of ours that got no answer.
                let known = |item: &Submission| {
                    verdict
                        .current
                        .iter()
                        .any(|entry| entry.key.ends_with(&keys::for_job("", item.job)))
                };
                let (stored, rest): (Vec<Submission>, Vec<Submission>) =
                    batch.into_iter().partition(known);
                batch = rest;
                for item in stored {
                    answer(item, Ok(()), &log);
                }
                continue;
            }
            Err(kv::Error::Unknown(_)) => unsettled = true,
            Err(error) if !unsettled => {
                for item in batch.drain(..) {
                    let rejection = Rejection::new(Code::StoreDown, error.to_string());
                    answer(item, Err(rejection.retry_after(STORE_PAUSE)), &log);
                }
                return;
            }
            Err(_) => {}
        }
        let now = Instant::now() + SETTLE_PAUSE;
        let (late, rest): (Vec<Submission>, Vec<Submission>) =
            batch.into_iter().partition(|item: &Submission| item.until <= now);
        batch = rest;
        for item in late {
            let rejection = Rejection::new(Code::StoreUnknown, "the store did not answer");
            answer(item, Err(rejection), &log);
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

fn txn(batch: &[Submission]) -> kv::Txn {
    let mut txn = kv::Txn::default();
    for item in batch {
        let key = keys::for_job(keys::JOBS, item.job);
        txn.guards.push(kv::Guard::Missing(key.clone()));
        txn.guards.push(kv::Guard::Missing(keys::for_job(keys::FINAL_STATES, item.job)));
        txn.changes.push(kv::Change::Put { key, value: item.value.clone(), lease: 0 });
    }
    txn
}

fn answer(item: Submission, outcome: Outcome, log: &Log) {
    // Whoever answers the client tells of refusals.
    if outcome.is_ok() {
        event!(log, Event::JobAccepted, "job" => format!("{:016x}", item.job));
    }
    // The client may have left.
    let _ = item.reply.send(outcome);
}
