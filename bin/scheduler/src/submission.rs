//! Writes submitted jobs to the store; jobs that arrive together are written in one batch.
//!
//! A job is accepted once the store holds it, and rejected only if the store certainly never will.
//! A write without an answer is unsettled: it is retried, which its guards make idempotent. If it
//! stays unsettled, the client is answered that the outcome is unknown, and retries under the same
//! job number.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_platform::store::MAX_TXN_BYTES;
use cowslipchute_platform::store::MAX_TXN_ENTRIES;
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

/// Entries that one job adds to a transaction: two guards and a change.
const ENTRIES_PER_JOB: usize = 3;
/// Jobs that may wait to be written; more than a busy instance receives in the time of one call.
const QUEUE_CAPACITY: usize = 256;
/// Delay before an unsettled write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Fraction of a client's timeout during which an unsettled write is retried; the rest is needed to
/// return the answer.
const RETRY_FRACTION: f64 = 0.4;
/// Fraction of a client's timeout after which it is answered that the outcome is unknown, so that
/// it has time to ask another instance.
const ANSWER_FRACTION: f64 = 0.5;

type Outcome = Result<(), Rejection>;

struct Submission {
    job: JobId,
    value: Vec<u8>,
    deadline: Instant,
    reply: oneshot::Sender<Outcome>,
}

/// A handle to the task that writes submissions.
#[derive(Clone, Debug)]
pub struct Batcher {
    sender: mpsc::Sender<Submission>,
}

/// Starts writing submissions; stops when the last handle is dropped.
pub fn spawn<S: Store>(store: S, log: Log) -> Batcher {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(write_submissions(store, receiver, log));
    Batcher { sender }
}

impl Batcher {
    /// Writes a job's encoded entry; returns once the store holds it.
    ///
    /// # Errors
    ///
    /// As [`cowslipchute_ports::job::ClientApi::submit`], without a retry time.
    pub async fn submit(&self, job: JobId, value: Vec<u8>, client_timeout: Duration) -> Outcome {
        let (reply, outcome) = oneshot::channel();
        let deadline = Instant::now() + client_timeout.mul_f64(RETRY_FRACTION);
        let submission = Submission { job, value, deadline, reply };
        if self.sender.try_send(submission).is_err() {
            return Err(Rejection::new(Code::Busy, "too many jobs are on their way to the store"));
        }
        let unknown = || Rejection::new(Code::StoreUnknown, "the write was not settled");
        // The write continues; its outcome shows when the client retries.
        let outcome = tokio::time::timeout(client_timeout.mul_f64(ANSWER_FRACTION), outcome).await;
        outcome.map_or_else(|_| Err(unknown()), |sent| sent.unwrap_or_else(|_| Err(unknown())))
    }
}

async fn write_submissions<S: Store>(
    store: S,
    mut submissions: mpsc::Receiver<Submission>,
    log: Log,
) {
    let mut batch = Vec::new();
    while submissions.recv_many(&mut batch, MAX_TXN_ENTRIES / ENTRIES_PER_JOB).await > 0 {
        while !batch.is_empty() {
            let later = batch.split_off(batch_len(&batch));
            let part = std::mem::replace(&mut batch, later);
            tokio::spawn(write_batch(store.clone(), part, log.clone()));
        }
    }
}

/// Returns how many of the first jobs one transaction takes by their size; at least one.
fn batch_len(batch: &[Submission]) -> usize {
    let mut bytes = 0;
    let fitting = batch.iter().take_while(|submission| {
        let is_first = bytes == 0;
        bytes += submission.value.len();
        is_first || bytes <= MAX_TXN_BYTES
    });
    fitting.count()
}

/// Writes a batch, or each of its jobs by itself if the store refuses the batch.
async fn write_batch<S: Store>(store: S, batch: Vec<Submission>, log: Log) {
    let mut unsettled = false;
    let refused = settle(&store, batch, &mut unsettled, &log).await;
    for submission in refused {
        // A lost answer to the batch leaves the outcome of each of its jobs unknown.
        settle(&store, vec![submission], &mut unsettled.clone(), &log).await;
    }
}

/// Writes a batch, retrying until each of its jobs is settled or past its deadline. Returns the jobs
/// of a batch that the store refuses, unless it is a single one, which is rejected. Sets `unsettled`
/// once an answer is lost.
async fn settle<S: Store>(
    store: &S,
    mut batch: Vec<Submission>,
    unsettled: &mut bool,
    log: &Log,
) -> Vec<Submission> {
    while !batch.is_empty() {
        let outcome = store.commit(txn(&batch)).await;
        match outcome {
            Ok(verdict) if verdict.applied => {
                for submission in batch.drain(..) {
                    finish(submission, Ok(()), log);
                }
                return Vec::new();
            }
            Ok(verdict) => {
                // These were submitted before, possibly by an attempt of this task without an
                // answer.
                let is_stored = |submission: &Submission| {
                    verdict
                        .current
                        .iter()
                        .any(|entry| entry.key.ends_with(&keys::for_job("", submission.job)))
                };
                let (stored, rest): (Vec<Submission>, Vec<Submission>) =
                    batch.into_iter().partition(is_stored);
                batch = rest;
                for submission in stored {
                    finish(submission, Ok(()), log);
                }
                continue;
            }
            Err(kv::Error::Refused(_)) if batch.len() > 1 => return batch,
            Err(error @ kv::Error::Refused(_)) => {
                // Without a lost answer before, the store surely holds nothing of it.
                let code = if *unsettled { Code::StoreUnknown } else { Code::StoreRefused };
                for submission in batch.drain(..) {
                    log_refusal(&submission, &error, log);
                    finish(submission, Err(Rejection::new(code, error.to_string())), log);
                }
                return Vec::new();
            }
            Err(kv::Error::Unknown(_)) => *unsettled = true,
            Err(error) if !*unsettled => {
                for submission in batch.drain(..) {
                    let rejection = Rejection::new(Code::StoreDown, error.to_string());
                    finish(submission, Err(rejection), log);
                }
                return Vec::new();
            }
            Err(_) => {}
        }
        let now = Instant::now() + RETRY_DELAY;
        let (late, rest): (Vec<Submission>, Vec<Submission>) =
            batch.into_iter().partition(|submission: &Submission| submission.deadline <= now);
        batch = rest;
        for submission in late {
            let rejection = Rejection::new(Code::StoreUnknown, "the store did not answer");
            finish(submission, Err(rejection), log);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    Vec::new()
}

fn log_refusal(submission: &Submission, error: &kv::Error, log: &Log) {
    event!(log, Event::StoreRefused, "key" => keys::for_job(keys::JOBS, submission.job),
        "bytes" => submission.value.len(), "changes" => 1, "reason" => error.to_string());
}

fn txn(batch: &[Submission]) -> kv::Txn {
    let mut txn = kv::Txn::default();
    for submission in batch {
        let key = keys::for_job(keys::JOBS, submission.job);
        txn.preconditions.push(kv::Precondition::Missing(key.clone()));
        txn.preconditions
            .push(kv::Precondition::Missing(keys::for_job(keys::FINAL_STATES, submission.job)));
        txn.changes.push(kv::Change::Put { key, value: submission.value.clone(), lease: 0 });
    }
    txn
}

fn finish(submission: Submission, outcome: Outcome, log: &Log) {
    // Rejections are logged where the client is answered.
    if outcome.is_ok() {
        event!(log, Event::JobAccepted, "job" => format!("{:016x}", submission.job));
    }
    // The receiver is dropped if the client has timed out.
    let _ = submission.reply.send(outcome);
}
