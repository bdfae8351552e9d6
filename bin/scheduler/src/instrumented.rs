//! The store with every call counted and timed, and its health told, so that nobody else has to know
//! of metrics, nor of who else calls it.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::LeaseId;
use cowslipchute_ports::kv::Snapshot;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::Update;
use cowslipchute_ports::kv::Verdict;
use tokio::sync::mpsc;

use crate::clock;
use crate::health::Health;
use crate::metrics::Metrics;

/// A store, measured.
#[derive(Clone, Debug)]
pub struct Instrumented<S> {
    inner: S,
    metrics: Metrics,
    health: Health,
}

impl<S> Instrumented<S> {
    /// Measures what is called through this from now on.
    pub fn open(inner: S, metrics: Metrics, health: Health) -> Instrumented<S> {
        Instrumented { inner, metrics, health }
    }

    async fn call<V>(
        &self,
        name: &str,
        call: impl Future<Output = Result<V, kv::Error>>,
    ) -> Result<V, kv::Error> {
        let since = clock::now();
        let outcome = call.await;
        let now = clock::now();
        self.metrics.store_call(name, answer(&outcome), now.saturating_sub(since));
        match &outcome {
            Err(kv::Error::Unavailable(_) | kv::Error::Unknown(_)) => {
                self.health.record_failure(since, now)
            }
            _ => self.health.record_success(since, now),
        }
        outcome
    }
}

fn answer<V>(outcome: &Result<V, kv::Error>) -> &'static str {
    match outcome {
        Ok(_) => "ok",
        Err(kv::Error::Unavailable(_)) => "unavailable",
        Err(kv::Error::Unknown(_)) => "unknown",
        Err(kv::Error::Compacted(_)) => "compacted",
        Err(kv::Error::LeaseGone) => "lease gone",
        Err(kv::Error::Protocol(_)) => "not understood",
    }
}

impl<S: kv::Store> kv::Store for Instrumented<S> {
    async fn read(&self, prefix: &str) -> Result<Snapshot, kv::Error> {
        self.call("read", self.inner.read(prefix)).await
    }

    async fn commit(&self, txn: Txn) -> Result<Verdict, kv::Error> {
        self.call("commit", self.inner.commit(txn)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, kv::Error> {
        self.call("grant", self.inner.grant(ttl)).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, kv::Error> {
        self.call("keep alive", self.inner.keep_alive(lease)).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), kv::Error> {
        self.call("revoke", self.inner.revoke(lease)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<mpsc::Receiver<Update>, kv::Error> {
        // It lasts, so only its beginning is timed; whoever follows it tells whether it is answered.
        let since = clock::now();
        let outcome = self.inner.watch(prefix, after).await;
        let took = clock::now().saturating_sub(since);
        self.metrics.store_call("watch", answer(&outcome), took);
        outcome
    }
}
