//! The client API of this process, served whether or not it owns the cell.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_admission::demand::Demand;
use cowslipchute_base::code::Code;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_base::panic;
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

use crate::admission::Admission;
use crate::clock;
use crate::config::Current;
use crate::election::Holder;
use crate::event;
use crate::failpoint;
use crate::failpoint::Place;
use crate::health::Access;
use crate::health::Health;
use crate::job_size::Limit;
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
/// Assumed timeout of clients whose requests don't state one.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry-after time of an instance that has too many jobs on their way to the store, or that got no
/// answer from the owner: a change of the owner takes longer than a second in all.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry-after time of a process without a configuration where no other process is known. The
/// operator's first configuration comes within a second of the start.
const STARTUP_RETRY_DELAY: Duration = Duration::from_secs(1);
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

/// Components that the client API calls.
#[derive(Clone, Debug)]
pub struct Dependencies<S> {
    /// Client of the store.
    pub store: S,
    /// The configuration in force.
    pub config: Current,
    /// Admission control, if it is on.
    pub admission: Option<Admission>,
    /// Largest job that is accepted.
    pub limit: Limit,
    /// Writes submitted jobs.
    pub submissions: Batcher,
    /// Calls to the owner of the cell.
    pub endpoint: Endpoint,
    /// Health of the store.
    pub health: Health,
    /// Last known owner of the cell.
    pub holder: watch::Receiver<Option<Holder>>,
    /// The log.
    pub log: Log,
}

/// The client API of this process.
#[derive(Clone, Debug)]
pub struct Api<S> {
    dependencies: Dependencies<S>,
    counts: Arc<Mutex<Counts>>,
}

/// Value of the `result` label of a request that succeeded.
const SERVED: &str = "Served";

impl<S: Store> Api<S> {
    /// Opens the API.
    pub fn open(dependencies: Dependencies<S>) -> Api<S> {
        Api { dependencies, counts: Arc::default() }
    }

    async fn call_owner(&self, request: Request) -> Option<Response> {
        let address = self.dependencies.holder.borrow().as_ref().map(|holder| holder.address)?;
        self.dependencies.endpoint.call(address, request).await
    }

    async fn get(&self, prefix: &str, job: JobId) -> Result<Option<kv::Entry>, Rejection> {
        let key = keys::for_job(prefix, job);
        if self.dependencies.health.access(clock::now()) == Access::Refuse {
            return Err(self.unavailable(DEFAULT_CLIENT_TIMEOUT).await);
        }
        let snapshot = match self.dependencies.store.read(&key).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                let rejection = Rejection::new(Code::StoreDown, error.to_string());
                return Err(rejection.retry_after(self.store_retry_after(DEFAULT_CLIENT_TIMEOUT)));
            }
        };
        Ok(snapshot.entries.into_iter().find(|entry| entry.key == key))
    }

    /// Rejects a client's write while the store isn't reachable: if its outcome stayed unknown, the
    /// client could not retry it on another instance.
    async fn require_store(&self, client_timeout: Duration) -> Result<(), Rejection> {
        let access = self.dependencies.health.access(clock::now());
        if self.reaches_store(access).await {
            Ok(())
        } else {
            Err(self.unavailable(client_timeout).await)
        }
    }

    /// Returns the rejection for a client while the store isn't reachable from here. If the owner
    /// of the cell reaches it, the retry-after time is zero, so that the client tries another
    /// instance at once: a pause of a second would make short jobs late.
    async fn unavailable(&self, client_timeout: Duration) -> Rejection {
        let owner_reaches_store =
            self.call_owner(Request::StoreReachable).await == Some(Response::StoreReachable(true));
        let retry_after = match owner_reaches_store {
            true => Duration::ZERO,
            false => self.store_retry_after(client_timeout),
        };
        Rejection::new(Code::StoreDown, "the store did not answer a moment ago")
            .retry_after(retry_after)
    }

    /// Returns the time after which a client should retry while the store is away.
    fn store_retry_after(&self, client_timeout: Duration) -> Duration {
        self.dependencies.health.retry_after(clock::now(), client_timeout)
    }

    /// Returns `true` if new clients are accepted: a configuration is known and the store is
    /// reachable.
    pub async fn is_ready(&self) -> bool {
        let access = self.dependencies.health.readiness(clock::now());
        self.dependencies.config.borrow().is_some() && self.reaches_store(access).await
    }

    /// Returns `true` if the store is reachable, after a probing read where `access` asks for one.
    async fn reaches_store(&self, access: Access) -> bool {
        match access {
            Access::Serve => return true,
            Access::Refuse => return false,
            Access::Probe => {}
        }
        let sent_at = clock::now();
        let read = tokio::time::timeout(PROBE_TIMEOUT, self.dependencies.store.read(keys::OWNER));
        let answered = matches!(read.await, Ok(Ok(_)));
        if !answered {
            self.dependencies.health.record_failure(sent_at, clock::now());
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

    /// Returns `true` if the store holds a job or its final state.
    async fn is_stored(&self, job: JobId) -> Result<bool, Rejection> {
        for prefix in [keys::JOBS, keys::FINAL_STATES] {
            if self.get(prefix, job).await?.is_some() {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Returns `true` unless the store answers that it holds neither a job nor its final state. A
    /// client may repeat a submission that was accepted, and must not be told that it won't run.
    async fn may_be_stored(&self, job: JobId) -> bool {
        !matches!(self.is_stored(job).await, Ok(false))
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
        match self.dependencies.store.commit(txn).await {
            Ok(verdict) => Ok(verdict.applied.then_some(())),
            // The read of the next attempt shows the outcome.
            Err(kv::Error::Unknown(_)) => Ok(None),
            Err(error @ kv::Error::Refused(_)) => {
                Err(Rejection::new(Code::StoreRefused, error.to_string()))
            }
            Err(error) => {
                let rejection = Rejection::new(Code::StoreDown, error.to_string());
                Err(rejection.retry_after(self.store_retry_after(DEFAULT_CLIENT_TIMEOUT)))
            }
        }
    }

    fn lock_counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        panic::lock(&self.counts)
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
        self.dependencies.config.borrow().clone()
    }

    fn unconfigured_retry_after(&self) -> Duration {
        // An owner shows that others are configured; the client reaches another instance at once.
        match self.dependencies.holder.borrow().is_some() {
            true => Duration::ZERO,
            false => STARTUP_RETRY_DELAY,
        }
    }

    async fn submit(
        &self,
        job: JobId,
        queue: &Queue,
        spec: Spec,
        within: Duration,
    ) -> Result<(), Rejection> {
        self.require_store(within).await?;
        let accepted = Accepted {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            spec,
            cancelled: false,
        };
        let value = record::encode(&accepted);
        if let Err(error) = self.dependencies.limit.check(&accepted.spec, queue, value.len()) {
            // It may repeat a submission that was accepted under another limit.
            return match self.is_stored(job).await? {
                true => Ok(()),
                false => Err(Rejection::new(Code::BadJob, error.to_string())),
            };
        }
        if let Some(admission) = &self.dependencies.admission
            && let Some(demand) = Demand::of(job, queue, &accepted.spec)
        {
            match admission.decide(&demand) {
                Err(rejection) if !self.may_be_stored(job).await => return Err(rejection),
                _ => {}
            }
        }
        let written = self.dependencies.submissions.submit(job, value, within).await;
        written.map_err(|rejection| match rejection.code {
            Code::StoreDown => rejection.retry_after(self.store_retry_after(within)),
            Code::Busy => rejection.retry_after(BUSY_RETRY_DELAY),
            _ => rejection,
        })
    }

    async fn state(&self, job: JobId) -> Result<State, Rejection> {
        failpoint::hit(Place::Request);
        match self.call_owner(Request::State(job)).await {
            Some(Response::State(Some(state))) => Ok(state),
            _ => self.stored_state(job).await,
        }
    }

    async fn cancel(&self, job: JobId) -> Result<(), Rejection> {
        for _ in 0..CANCEL_ATTEMPTS {
            if self.try_cancel(job).await?.is_some() {
                event!(self.dependencies.log, Event::JobCancelling, "job" => format!("{job:016x}"));
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
                .retry_after(BUSY_RETRY_DELAY)
        })
    }

    fn record_response(
        &self,
        request: job::Request,
        outcome: Result<(), &Rejection>,
        took: Duration,
    ) {
        let result = outcome.map_or_else(|rejection| rejection.code.name(), |()| SERVED);
        self.dependencies.log.metrics().request(request.operation.name(), result, took);
        let Err(rejection) = outcome else { return };
        let event = match (request.operation, rejection.code) {
            (Operation::Submit, Code::StoreUnknown) => Event::JobUnsettled,
            (Operation::Submit, _) => Event::JobRefused,
            _ => Event::RequestRefused,
        };
        let job = request.job.map(|job| format!("{job:016x}"));
        event!(self.dependencies.log, event, "job" => job, "asked" => request.operation.name(),
            "code" => rejection.code.number(), "reason" => rejection.reason.clone());
    }
}
