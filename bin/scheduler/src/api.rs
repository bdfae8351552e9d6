//! The client API of this process, served whether or not it owns the cell.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_planner::record;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::job;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Operation;
use cowslipchute_ports::job::Rejection;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::State;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use tokio::sync::watch;

use crate::clock;
use crate::config::Current;
use crate::election::Holder;
use crate::event;
use crate::health::Admission;
use crate::health::Health;
use crate::keys;
use crate::log::Log;
use crate::rpc::Endpoint;
use crate::rpc::Request;
use crate::rpc::Response;
use crate::submission::Batcher;

/// Age at which the cached counts of pending jobs are refreshed; clients allow for counts that are
/// two seconds old.
const PENDING_REFRESH_AGE: Duration = Duration::from_millis(500);
/// Largest age of the counts that are returned while the cell has no owner.
const PENDING_MAX_AGE: Duration = Duration::from_millis(2500);
/// Retry-after time of a request that the store or the owner doesn't answer now.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of the read that probes whether the store is back; a slow store takes a few hundred
/// milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to cancel a job that changes concurrently.
const CANCEL_ATTEMPTS: usize = 4;
/// Delay before a cancellation is attempted again, for instance after a lost answer.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Counts {
    updated_at: Option<Time>,
    queues: HashMap<Arc<str>, u32>,
}

/// The client API of this process.
#[derive(Clone, Debug)]
pub struct Api<S> {
    store: S,
    config: Current,
    submissions: Batcher,
    endpoint: Endpoint,
    health: Health,
    holder: watch::Receiver<Option<Holder>>,
    counts: Arc<Mutex<Counts>>,
    log: Log,
}

/// Value of the `result` label of a request that succeeded.
const SERVED: &str = "Served";

impl<S: Store> Api<S> {
    /// Opens the API.
    pub fn open(
        store: S,
        config: Current,
        submissions: Batcher,
        endpoint: Endpoint,
        health: Health,
        holder: watch::Receiver<Option<Holder>>,
        log: Log,
    ) -> Api<S> {
        Api { store, config, submissions, endpoint, health, holder, counts: Arc::default(), log }
    }

    async fn call_owner(&self, request: Request) -> Option<Response> {
        let address = self.holder.borrow().as_ref().map(|holder| holder.address)?;
        self.endpoint.call(address, request).await
    }

    async fn get(&self, prefix: &str, job: JobId) -> Result<Option<kv::Entry>, Rejection> {
        let key = keys::for_job(prefix, job);
        if self.health.admission(clock::now()) == Admission::Refuse {
            return Err(self.unavailable().await);
        }
        let snapshot = match self.store.read(&key).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                let rejection = Rejection::new(Code::StoreDown, error.to_string());
                return Err(rejection.retry_after(RETRY_AFTER));
            }
        };
        Ok(snapshot.entries.into_iter().find(|entry| entry.key == key))
    }

    /// Rejects a client's write while the store isn't reachable: if its outcome stayed unknown, the
    /// client could not retry it on another instance.
    async fn require_store(&self) -> Result<(), Rejection> {
        let admission = self.health.admission(clock::now());
        if self.reaches_store(admission).await { Ok(()) } else { Err(self.unavailable().await) }
    }

    /// Returns the rejection for a client while the store isn't reachable from here. If the owner
    /// of the cell reaches it, the retry-after time is zero, so that the client tries another
    /// instance at once: a pause of a second would make short jobs late.
    async fn unavailable(&self) -> Rejection {
        let owner_reaches_store =
            self.call_owner(Request::StoreReachable).await == Some(Response::StoreReachable(true));
        let retry_after = if owner_reaches_store { Duration::ZERO } else { RETRY_AFTER };
        Rejection::new(Code::StoreDown, "the store did not answer a moment ago")
            .retry_after(retry_after)
    }

    /// Returns `true` if new clients are accepted: a configuration is known and the store is
    /// reachable.
    pub async fn is_ready(&self) -> bool {
        let admission = self.health.readiness(clock::now());
        self.config.borrow().is_some() && self.reaches_store(admission).await
    }

    /// Returns `true` if the store is reachable, after a probing read where `admission` asks for
    /// one.
    async fn reaches_store(&self, admission: Admission) -> bool {
        match admission {
            Admission::Serve => return true,
            Admission::Refuse => return false,
            Admission::Probe => {}
        }
        let sent_at = clock::now();
        let read = tokio::time::timeout(PROBE_TIMEOUT, self.store.read(keys::OWNER));
        let answered = matches!(read.await, Ok(Ok(_)));
        if !answered {
            self.health.record_failure(sent_at, clock::now());
        }
        answered
    }

    /// Reads a job's state from the store. The job is read before its final state, since one
    /// transaction removes the former and writes the latter.
    async fn stored_state(&self, job: JobId) -> Result<State, Rejection> {
        if self.get(keys::JOBS, job).await?.is_some() {
            let record = self.get(keys::RECORDS, job).await?;
            return Ok(if record.is_some() { State::Active } else { State::Queued });
        }
        match self.get(keys::FINAL_STATES, job).await? {
            Some(entry) => decode(&entry),
            None => Err(Rejection::new(Code::NoJob, "the store holds no such job")),
        }
    }

    /// Attempts once to cancel a job; returns `None` if the job changed meanwhile.
    async fn try_cancel(&self, job: JobId) -> Result<Option<()>, Rejection> {
        let Some(entry) = self.get(keys::JOBS, job).await? else {
            return self.cancel_unknown(job).await;
        };
        let mut accepted: Accepted = decode(&entry)?;
        if accepted.cancelled {
            return Ok(Some(()));
        }
        accepted.cancelled = true;
        let txn = kv::Txn {
            preconditions: vec![kv::Precondition::Unchanged(entry.key.clone(), entry.revision)],
            changes: vec![kv::Change::Put {
                key: entry.key,
                value: record::encode(&accepted),
                lease: 0,
            }],
        };
        self.commit(txn).await
    }

    /// Cancels a job that is unknown or has ended. For an unknown job a final state is written, so
    /// that a submission that is still in flight is not accepted later.
    async fn cancel_unknown(&self, job: JobId) -> Result<Option<()>, Rejection> {
        if self.get(keys::FINAL_STATES, job).await?.is_some() {
            return Ok(Some(()));
        }
        let final_state_key = keys::for_job(keys::FINAL_STATES, job);
        let value = record::encode(&State::Cancelled);
        let txn = kv::Txn {
            preconditions: vec![
                kv::Precondition::Missing(keys::for_job(keys::JOBS, job)),
                kv::Precondition::Missing(final_state_key.clone()),
            ],
            changes: vec![kv::Change::Put { key: final_state_key, value, lease: 0 }],
        };
        match self.commit(txn).await? {
            Some(()) => Err(Rejection::new(Code::NoJob, "the store holds no such job")),
            None => Ok(None),
        }
    }

    async fn commit(&self, txn: kv::Txn) -> Result<Option<()>, Rejection> {
        match self.store.commit(txn).await {
            Ok(verdict) => Ok(verdict.applied.then_some(())),
            // The read of the next attempt shows the outcome.
            Err(kv::Error::Unknown(_)) => Ok(None),
            Err(error) => {
                Err(Rejection::new(Code::StoreDown, error.to_string()).retry_after(RETRY_AFTER))
            }
        }
    }

    fn lock_counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("no thread panics while it holds the lock on the counts")
    }

    fn cached_count(&self, queue: &str, max_age: Duration) -> Option<u32> {
        let counts = self.lock_counts();
        let updated_at = counts.updated_at?;
        let is_fresh = clock::now().saturating_sub(updated_at) <= max_age;
        is_fresh.then(|| counts.queues.get(queue).copied().unwrap_or(0))
    }
}

fn decode<T: for<'de> serde::Deserialize<'de>>(entry: &kv::Entry) -> Result<T, Rejection> {
    record::decode(&entry.value)
        .map_err(|error| Rejection::new(Code::StoreDown, format!("{}: {error}", entry.key)))
}

impl<S: Store> job::ClientApi for Api<S> {
    fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    async fn submit(
        &self,
        job: JobId,
        queue: &Queue,
        spec: Spec,
        within: Duration,
    ) -> Result<(), Rejection> {
        self.require_store().await?;
        let accepted = Accepted {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            spec,
            cancelled: false,
        };
        self.submissions.submit(job, &accepted, within).await
    }

    async fn state(&self, job: JobId) -> Result<State, Rejection> {
        match self.call_owner(Request::State(job)).await {
            Some(Response::State(Some(state))) => Ok(state),
            _ => self.stored_state(job).await,
        }
    }

    async fn cancel(&self, job: JobId) -> Result<(), Rejection> {
        for _ in 0..CANCEL_ATTEMPTS {
            if self.try_cancel(job).await?.is_some() {
                event!(self.log, Event::JobCancelling, "job" => format!("{job:016x}"));
                return Ok(());
            }
            tokio::time::sleep(CANCEL_RETRY_DELAY).await;
        }
        Err(Rejection::new(Code::StoreUnknown, "the cancelling was not settled"))
    }

    async fn pending(&self, queue: &Queue) -> Result<u32, Rejection> {
        if let Some(count) = self.cached_count(&queue.name, PENDING_REFRESH_AGE) {
            return Ok(count);
        }
        if let Some(Response::Pending(queues)) = self.call_owner(Request::Pending).await {
            let mut counts = self.lock_counts();
            counts.updated_at = Some(clock::now());
            counts.queues = queues.into_iter().collect();
        }
        self.cached_count(&queue.name, PENDING_MAX_AGE).ok_or_else(|| {
            Rejection::new(Code::OwnerUnknown, "the owner of the cell did not answer")
                .retry_after(RETRY_AFTER)
        })
    }

    fn record_response(
        &self,
        request: job::Request,
        outcome: Result<(), &Rejection>,
        took: Duration,
    ) {
        let result = outcome.map_or_else(|rejection| rejection.code.name(), |()| SERVED);
        self.log.metrics().request(request.operation.name(), result, took);
        let Err(rejection) = outcome else { return };
        let event = match (request.operation, rejection.code) {
            (Operation::Submit, Code::StoreUnknown) => Event::JobUnsettled,
            (Operation::Submit, _) => Event::JobRefused,
            _ => Event::RequestRefused,
        };
        let job = request.job.map(|job| format!("{job:016x}"));
        event!(self.log, event, "job" => job, "asked" => request.operation.name(),
            "code" => rejection.code.number(), "reason" => rejection.reason.clone());
    }
}
