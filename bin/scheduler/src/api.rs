//! What clients may ask of this process, whether or not it owns the cell.

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
use cowslipchute_ports::job::Asked;
use cowslipchute_ports::job::JobId;
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

/// Counts of jobs that wait are asked for again after this; they may be two seconds old.
const PENDING_REFRESH_AGE: Duration = Duration::from_millis(500);
/// How old counts may be that are shown while nobody owns the cell.
const PENDING_MAX_AGE: Duration = Duration::from_millis(2500);
/// When to come back for what the store or the owner can't tell now.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long a client waits for the read that finds out whether the store is back: a store that is
/// slow takes a few hundred milliseconds.
const PROBE_TIME: Duration = Duration::from_millis(400);
/// How often a cancelling is tried again when the job changes under it.
const CANCEL_TRIES: usize = 4;
/// Pause before a cancelling that got no answer is made again.
const CANCEL_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Counts {
    at: Option<Time>,
    queues: HashMap<Arc<str>, u32>,
}

/// The desk of this process.
#[derive(Clone, Debug)]
pub struct Api<S> {
    store: S,
    config: Current,
    intake: Batcher,
    link: Endpoint,
    health: Health,
    holder: watch::Receiver<Option<Holder>>,
    counts: Arc<Mutex<Counts>>,
    log: Log,
}

/// Result of a request that was served, in the metrics.
const SERVED: &str = "Served";

impl<S: Store> Api<S> {
    /// Opens the desk.
    pub fn open(
        store: S,
        config: Current,
        intake: Batcher,
        link: Endpoint,
        health: Health,
        holder: watch::Receiver<Option<Holder>>,
        log: Log,
    ) -> Api<S> {
        Api { store, config, intake, link, health, holder, counts: Arc::default(), log }
    }

    async fn ask_owner(&self, question: Request) -> Option<Response> {
        let address = self.holder.borrow().as_ref().map(|holder| holder.address)?;
        self.link.call(address, question).await
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

    /// Keeps clients' writes from a store that doesn't answer: one that stays unsettled could not be
    /// tried again elsewhere.
    async fn require_store(&self) -> Result<(), Rejection> {
        let verdict = self.health.admission(clock::now());
        if self.reaches_store(verdict).await { Ok(()) } else { Err(self.unavailable().await) }
    }

    /// Refuses a client since the store isn't reached from here. Where the owner of the cell reaches it
    /// the client is to try the next instance at once; short jobs are late after a pause of a second.
    async fn unavailable(&self) -> Rejection {
        let elsewhere =
            self.ask_owner(Request::StoreReachable).await == Some(Response::StoreReachable(true));
        let pause = if elsewhere { Duration::ZERO } else { RETRY_AFTER };
        Rejection::new(Code::StoreDown, "the store did not answer a moment ago").retry_after(pause)
    }

    /// Tells whether new clients are wanted: there is a configuration, and the store is reached.
    pub async fn is_ready(&self) -> bool {
        let verdict = self.health.readiness(clock::now());
        self.config.borrow().is_some() && self.reaches_store(verdict).await
    }

    /// Settles a verdict, by a read if it has to be found out.
    async fn reaches_store(&self, verdict: Admission) -> bool {
        match verdict {
            Admission::Serve => return true,
            Admission::Refuse => return false,
            Admission::Probe => {}
        }
        let sent = clock::now();
        let read = tokio::time::timeout(PROBE_TIME, self.store.read(keys::OWNER));
        let answered = matches!(read.await, Ok(Ok(_)));
        if !answered {
            self.health.record_failure(sent, clock::now());
        }
        answered
    }

    /// Reads a job's state from the store. The job is looked for first: it goes, and its end
    /// comes, in one transaction.
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

    /// Tries once to cancel; nothing if the job changed meanwhile.
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
            guards: vec![kv::Guard::Unchanged(entry.key.clone(), entry.revision)],
            changes: vec![kv::Change::Put {
                key: entry.key,
                value: record::encode(&accepted),
                lease: 0,
            }],
        };
        self.commit(txn).await
    }

    /// Cancels a job that is not known, or has ended. An unknown one is kept from being taken in
    /// later: its acceptance may still be on its way.
    async fn cancel_unknown(&self, job: JobId) -> Result<Option<()>, Rejection> {
        if self.get(keys::FINAL_STATES, job).await?.is_some() {
            return Ok(Some(()));
        }
        let end = keys::for_job(keys::FINAL_STATES, job);
        let value = record::encode(&State::Cancelled);
        let txn = kv::Txn {
            guards: vec![
                kv::Guard::Missing(keys::for_job(keys::JOBS, job)),
                kv::Guard::Missing(end.clone()),
            ],
            changes: vec![kv::Change::Put { key: end, value, lease: 0 }],
        };
        match self.commit(txn).await? {
            Some(()) => Err(Rejection::new(Code::NoJob, "the store holds no such job")),
            None => Ok(None),
        }
    }

    async fn commit(&self, txn: kv::Txn) -> Result<Option<()>, Rejection> {
        match self.store.commit(txn).await {
            Ok(verdict) => Ok(verdict.applied.then_some(())),
            // The next try's read settles it.
            Err(kv::Error::Unknown(_)) => Ok(None),
            Err(error) => {
                Err(Rejection::new(Code::StoreDown, error.to_string()).retry_after(RETRY_AFTER))
            }
        }
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("nobody panics while holding the counts")
    }

    fn counted(&self, queue: &str, age: Duration) -> Option<u32> {
        let counts = self.counts();
        let at = counts.at?;
        let fresh = clock::now().saturating_sub(at) <= age;
        fresh.then(|| counts.queues.get(queue).copied().unwrap_or(0))
    }
}

fn decode<T: for<'de> serde::Deserialize<'de>>(entry: &kv::Entry) -> Result<T, Rejection> {
    record::decode(&entry.value)
        .map_err(|error| Rejection::new(Code::StoreDown, format!("{}: {error}", entry.key)))
}

impl<S: Store> job::Desk for Api<S> {
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
        self.intake.submit(job, &accepted, within).await
    }

    async fn state(&self, job: JobId) -> Result<State, Rejection> {
        match self.ask_owner(Request::State(job)).await {
            Some(Response::State(Some(state))) => Ok(state),
            _ => self.stored_state(job).await,
        }
    }

    async fn cancel(&self, job: JobId) -> Result<(), Rejection> {
        for _ in 0..CANCEL_TRIES {
            if self.try_cancel(job).await?.is_some() {
                event!(self.log, Event::JobCancelling, "job" => format!("{job:016x}"));
                return Ok(());
            }
            tokio::time::sleep(CANCEL_PAUSE).await;
        }
        Err(Rejection::new(Code::StoreUnknown, "the cancelling was not settled"))
    }

    async fn pending(&self, queue: &Queue) -> Result<u32, Rejection> {
        if let Some(count) = self.counted(&queue.name, PENDING_REFRESH_AGE) {
            return Ok(count);
        }
        if let Some(Response::Pending(queues)) = self.ask_owner(Request::Pending).await {
            let mut counts = self.counts();
            counts.at = Some(clock::now());
            counts.queues = queues.into_iter().collect();
        }
        self.counted(&queue.name, PENDING_MAX_AGE).ok_or_else(|| {
            Rejection::new(Code::OwnerUnknown, "the owner of the cell did not answer")
                .retry_after(RETRY_AFTER)
        })
    }

    fn answered(&self, request: job::Request, outcome: Result<(), &Rejection>, took: Duration) {
        let result = outcome.map_or_else(|rejection| rejection.code.name(), |()| SERVED);
        self.log.metrics().request(request.asked.name(), result, took);
        let Err(rejection) = outcome else { return };
        let event = match (request.asked, rejection.code) {
            (Asked::Submit, Code::StoreUnknown) => Event::JobUnsettled,
            (Asked::Submit, _) => Event::JobRefused,
            _ => Event::RequestRefused,
        };
        let job = request.job.map(|job| format!("{job:016x}"));
        event!(self.log, event, "job" => job, "asked" => request.asked.name(),
            "code" => rejection.code.number(), "reason" => rejection.reason.clone());
    }
}
