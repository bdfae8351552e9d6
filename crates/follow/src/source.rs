//! The watch on the store, reopened after failures.
//!
//! A separate task reads or watches the store and reports to the duty. It makes one call at a time,
//! with backoff after failures, to limit the load on a store that is failing.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::kv;
use cowslipchute_ports::kv::Store;
use cowslipchute_resource::key;
use cowslipchute_spread::batch::Batch;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Timeout for a read or for opening a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest silence of a watch, progress messages included, before it is reopened.
const SILENCE_MAX: Duration = Duration::from_secs(30);
/// Backoff after the first failure; it doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(3);
/// Capacity of the queue of reports to the duty.
const QUEUE: usize = 64;

/// A report of the task.
#[derive(Debug)]
pub enum Report {
    /// The result of a read, or an update of the watch.
    Batch(Batch),
    /// The store can't be reached; the task retries.
    Lost(kv::Error),
}

/// When the task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// After the configuration has been read once.
    Once,
    /// Never; the task watches the store.
    Watch,
}

/// The running task; dropping it ends the task and its watch.
#[derive(Debug)]
pub struct Source {
    reports: mpsc::Receiver<Report>,
    task: JoinHandle<()>,
}

impl Source {
    /// Starts the task on the duty's thread. `in_force` is the revision in force, whatever its
    /// source; a watch is reopened from there.
    pub fn open<S: Store>(
        store: S,
        in_force: watch::Receiver<Revision>,
        mode: Mode,
        seed: u64,
    ) -> Source {
        let (sender, reports) = mpsc::channel(QUEUE);
        let rng = SmallRng::seed_from_u64(seed);
        let task = Task { store, in_force, mode, sender, rng, failures: 0 };
        Source { reports, task: tokio::task::spawn_local(task.run()) }
    }

    /// Waits for the next report; returns `None` once the task has ended.
    pub async fn recv(&mut self) -> Option<Report> {
        self.reports.recv().await
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The duty has ended, so the task ends too.
struct Closed;

struct Task<S> {
    store: S,
    in_force: watch::Receiver<Revision>,
    mode: Mode,
    sender: mpsc::Sender<Report>,
    rng: SmallRng,
    failures: u32,
}

impl<S: Store> Task<S> {
    async fn run(mut self) {
        let mut must_read = false;
        loop {
            let result = self.step(must_read).await;
            match result {
                Ok(()) => return,
                Err(kv::Error::Compacted(_)) => must_read = true,
                Err(error) => {
                    if self.sender.send(Report::Lost(error)).await.is_err() {
                        return;
                    }
                    must_read = false;
                    self.back_off().await;
                }
            }
        }
    }

    /// Reads the store if necessary, then watches it until the watch ends.
    async fn step(&mut self, must_read: bool) -> Result<(), kv::Error> {
        let mut after = *self.in_force.borrow();
        if must_read || after == 0 || self.mode == Mode::Once {
            let snapshot = with_timeout(self.store.read(key::CONFIG)).await?;
            if snapshot.revision == 0 {
                // Zero means "no configuration yet", so it is not a valid revision.
                return Err(kv::Error::Protocol(String::from("the store's revision is zero")));
            }
            self.failures = 0;
            after = snapshot.revision;
            if self.report(Batch::from_snapshot(snapshot)).await.is_err() {
                return Ok(());
            }
            if self.mode == Mode::Once {
                return Ok(());
            }
        }
        let updates = with_timeout(self.store.watch(key::CONFIG, after)).await?;
        self.failures = 0;
        self.relay(updates, after).await
    }

    async fn relay(
        &mut self,
        mut updates: mpsc::Receiver<kv::Update>,
        mut after: Revision,
    ) -> Result<(), kv::Error> {
        loop {
            let silence_error = |_| kv::Error::Unavailable(String::from("the watch is silent"));
            let update = timeout(SILENCE_MAX, updates.recv()).await.map_err(silence_error)?;
            let update = update.unwrap_or(kv::Update::Ended(kv::Error::Unavailable(String::from(
                "the watch was closed",
            ))));
            if let kv::Update::Ended(error) = update {
                return Err(error);
            }
            let Some(batch) = Batch::from_update(update, after) else { continue };
            after = batch.revision.max(after);
            if self.report(batch).await.is_err() {
                return Ok(());
            }
        }
    }

    async fn report(&self, batch: Batch) -> Result<(), Closed> {
        self.sender.send(Report::Batch(batch)).await.map_err(|_| Closed)
    }

    async fn back_off(&mut self) {
        let max_delay = BACKOFF_MAX.min(BACKOFF_MIN * 2u32.pow(self.failures.min(10)));
        self.failures += 1;
        let delay = max_delay.mul_f64(self.rng.random_range(0.5..1.0));
        tokio::time::sleep(delay).await;
    }
}

async fn with_timeout<T>(call: impl Future<Output = Result<T, kv::Error>>) -> Result<T, kv::Error> {
    let timeout_error = |_| kv::Error::Unavailable(String::from("no answer in time"));
    timeout(CALL_TIMEOUT, call).await.map_err(timeout_error)?
}
