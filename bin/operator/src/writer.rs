//! Writes to the store, one at a time for each key.

use std::hash::Hasher as _;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::log;
use cowslipchute_ports::kv::Store;
use slog::Logger;
use slog::o;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::lane::Error;
use crate::lane::Lane;
use crate::lane::Write;
use crate::tidy;

/// Number of lanes of one process. Two keys may share a lane, which costs only time.
const LANES: usize = 8;
/// Maximum number of writes waiting or in progress.
const WRITES_MAX: usize = 256;
/// Time that a write may wait for its lane before it is refused.
const LANE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for determining the outcome of a write whose response was lost; after it, the outcome
/// is reported as unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Reason why a write did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Failure reported by the lane.
    Lane(Error),
    /// Too many writes are waiting in this process; this one was not started.
    Busy,
}

/// Writes of one operator process.
#[derive(Debug)]
pub struct Writer<S> {
    store: S,
    lanes: Vec<Mutex<Lane>>,
    permits: Semaphore,
    logger: Logger,
}

impl<S: Store> Writer<S> {
    /// Opens the lanes of one incarnation of an instance.
    pub fn open(
        store: S,
        instance: &Instance,
        incarnation: Incarnation,
        logger: Logger,
    ) -> Writer<S> {
        let own = tidy::prefix(instance, incarnation);
        let lane = |number| Mutex::new(Lane::open(format!("{own}{number:02}")));
        let lanes = (0..LANES).map(lane).collect();
        Writer { store, lanes, permits: Semaphore::new(WRITES_MAX), logger }
    }

    /// Performs a write that changes `key`.
    ///
    /// # Errors
    ///
    /// When the change was not made, or its outcome is unknown.
    pub async fn commit(&self, key: &str, write: &Write) -> Result<Revision, Failure> {
        let _permit = self.permits.try_acquire().map_err(|_| Failure::Busy)?;
        let lane = &self.lanes[lane_index(key)];
        let mut lane = timeout(LANE_TIMEOUT, lane.lock()).await.map_err(|_| Failure::Busy)?;
        let settled = lane.settled();
        let result = lane.commit(&self.store, write, SETTLE_TIMEOUT).await;
        if let Err(Error::Unknown(problem)) = &result {
            let fields = o!("key" => key.to_owned(), "problem" => problem.clone());
            log::emit(&self.logger, Event::StoreUnsettled, fields);
        } else if lane.settled() > settled {
            let fields = o!("key" => key.to_owned(), "made" => result.is_ok());
            log::emit(&self.logger, Event::ConfigSettled, fields);
        }
        result.map_err(Failure::Lane)
    }
}

/// Returns the lane of a key, which stays the same while the process runs.
fn lane_index(key: &str) -> usize {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(key.as_bytes());
    (hasher.finish() % LANES as u64) as usize
}
