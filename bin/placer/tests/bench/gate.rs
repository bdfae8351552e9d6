//! A store that one process can be disconnected from.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use tokio::sync::mpsc;

/// Disconnects its stores while it is shut.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    shut: Arc<AtomicBool>,
}

impl Gate {
    pub fn shut(&self) {
        self.shut.store(true, Ordering::Release);
    }

    pub fn open(&self) {
        self.shut.store(false, Ordering::Release);
    }

    pub fn guard<S: Store>(&self, store: S) -> Guarded<S> {
        Guarded { store, gate: self.clone() }
    }

    fn pass(&self) -> Result<(), kv::Error> {
        match self.shut.load(Ordering::Acquire) {
            true => Err(kv::Error::Unavailable(String::from("cut off"))),
            false => Ok(()),
        }
    }
}

/// A store behind a gate.
#[derive(Clone, Debug)]
pub struct Guarded<S> {
    store: S,
    gate: Gate,
}

impl<S: Store> Store for Guarded<S> {
    async fn read(&self, prefix: &str) -> Result<kv::Snapshot, kv::Error> {
        self.gate.pass()?;
        self.store.read(prefix).await
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        self.gate.pass()?;
        self.store.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<kv::LeaseId, kv::Error> {
        self.gate.pass()?;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: kv::LeaseId) -> Result<Duration, kv::Error> {
        self.gate.pass()?;
        self.store.keep_alive(lease).await
    }

    async fn revoke(&self, lease: kv::LeaseId) -> Result<(), kv::Error> {
        self.gate.pass()?;
        self.store.revoke(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: id::Revision,
    ) -> Result<mpsc::Receiver<kv::Update>, kv::Error> {
        self.gate.pass()?;
        self.store.watch(prefix, after).await
    }
}
