//! A wrapper of the store that counts and times every call and records the store's health, so that
//! callers need no code for either.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::LeaseId;
use cowslipchute_ports::kv::Snapshot;
use cowslipchute_ports::kv::Txn;
use cowslipchute_ports::kv::TxnOutcome;
use cowslipchute_ports::kv::Update;
use tokio::sync::mpsc;

use crate::clock;
use crate::health::Health;
use crate::metrics::Metrics;

/// An instrumented store.
#[derive(Clone, Debug)]
pub struct Instrumented<S> {
    inner: S,
    metrics: Metrics,
    health: Health,
}

impl<S> Instrumented<S> {
    /// Wraps a store.
    pub fn open(inner: S, metrics: Metrics, health: Health) -> Instrumented<S> {
        Instrumented { inner, metrics, health }
    }

    async fn call<V>(
        &self,
        name: &str,
        call: impl Future<Output = Result<V, kv::Error>>,
    ) -> Result<V, kv::Error> {
        let sent_at = clock::now();
        let outcome = call.await;
        let now = clock::now();
        self.metrics.store_call(name, outcome_label(&outcome), now.saturating_sub(sent_at));
        match &outcome {
            Err(kv::Error::Unavailable(_) | kv::Error::Unknown(_)) => {
                self.health.record_failure(sent_at, now)
            }
            _ => self.health.record_success(sent_at, now),
        }
        outcome
    }
}

fn outcome_label<V>(outcome: &Result<V, kv::Error>) -> &'static str {
    match outcome {
        Ok(_) => "ok",
        Err(kv::Error::Unavailable(_)) => "unavailable",
        Err(kv::Error::Unknown(_)) => "unknown",
        Err(kv::Error::Compacted(_)) => "compacted",
        Err(kv::Error::LeaseExpired) => "lease gone",
        Err(kv::Error::Refused(_)) => "refused",
        Err(kv::Error::Protocol(_)) => "not understood",
    }
}

impl<S: kv::Store> kv::Store for Instrumented<S> {
    async fn read(&self, prefix: &str) -> Result<Snapshot, kv::Error> {
        self.call("read", self.inner.read(prefix)).await
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, kv::Error> {
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
        // A watch stays open, so only its start is timed; its receiver records answers and
        // failures.
        let sent_at = clock::now();
        let outcome = self.inner.watch(prefix, after).await;
        let took = clock::now().saturating_sub(sent_at);
        self.metrics.store_call("watch", outcome_label(&outcome), took);
        outcome
    }
}
