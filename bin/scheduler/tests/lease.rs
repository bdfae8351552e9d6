//! The owner's lease beside a busy cell.

mod support;

use std::sync::mpsc;
use std::time::Duration;

use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::kv::Update;
use cowslipchute_scheduler::election;
use cowslipchute_scheduler::election::Holder;
use cowslipchute_scheduler::election::Transition;
use cowslipchute_scheduler::health::Health;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use support::Fake;

/// Time after which a renewal that hasn't come never will.
const PATIENCE: Duration = Duration::from_secs(20);
/// Renewals that a busy cell waits for; they take longer than a lease lasts.
const RENEWALS: usize = 8;

/// A store that reports each renewal.
#[derive(Clone)]
struct Reporting {
    inner: Fake,
    renewals: mpsc::Sender<()>,
}

impl Store for Reporting {
    async fn read(&self, prefix: &str) -> Result<kv::Snapshot, kv::Error> {
        self.inner.read(prefix).await
    }

    async fn commit(&self, txn: kv::Txn) -> Result<kv::TxnOutcome, kv::Error> {
        self.inner.commit(txn).await
    }

    async fn grant(&self, ttl: Duration) -> Result<kv::LeaseId, kv::Error> {
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: kv::LeaseId) -> Result<Duration, kv::Error> {
        let _ = self.renewals.send(());
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: kv::LeaseId) -> Result<(), kv::Error> {
        self.inner.revoke(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<tokio::sync::mpsc::Receiver<Update>, kv::Error> {
        self.inner.watch(prefix, after).await
    }
}

/// Guards against an owner that loses the cell because a turn of its own lasts longer than a lease.
#[test]
fn a_lease_is_renewed_while_the_cell_is_busy() {
    let (sender, renewals) = mpsc::channel();
    let store = Reporting { inner: Fake::default(), renewals: sender };
    let holder = Holder {
        instance: "edge-1".into(),
        address: "127.0.0.1:7000".parse().unwrap(),
        incarnation: 1,
        cpu_share: 1.0,
    };
    let log = log::open("edge-1", slog::Level::Critical, Metrics::open().unwrap()).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut handle =
            election::spawn(store, holder, Duration::ZERO, Health::default(), log).unwrap();
        let epoch = match handle.transitions.recv().await {
            Some(Transition::Own { epoch }) => epoch,
            other => panic!("the cell is vacant: {other:?}"),
        };
        let first_end = handle.lease.until(epoch);
        assert!(first_end > Duration::ZERO);
        // The cell's thread does nothing else until the lease was renewed.
        for _ in 0..RENEWALS {
            renewals.recv_timeout(PATIENCE).expect("a lease is renewed beside a busy cell");
        }
        assert!(handle.lease.until(epoch) > first_end, "the renewals count");
        assert!(handle.transitions.try_recv().is_err(), "the ownership goes on");
    });
}
