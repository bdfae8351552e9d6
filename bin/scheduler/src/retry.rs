//! Rate limit of retried writes.
//!
//! While the store rejects or doesn't answer calls, an owner has a dozen writes of different jobs
//! in flight. If each were retried independently, they would make some two hundred calls a second
//! for the whole outage, and the platform counts calls. One is enough to find out whether the store
//! is back, so one write is retried per [`INTERVAL`] while calls fail, and all others as soon as
//! one succeeds.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_base::panic;
use tokio::time::Instant;

/// Interval between retries while calls fail. It may delay the first write after an outage by as
/// much, which is a few times the duration of a write.
pub const INTERVAL: Duration = Duration::from_millis(60);

#[derive(Debug)]
struct State {
    failing: bool,
    /// Time of the last retry.
    retried_at: Instant,
}

/// A limiter shared by writes that may overlap.
#[derive(Clone, Debug)]
pub struct Limiter {
    state: Arc<Mutex<State>>,
}

impl Limiter {
    /// Opens a limiter that assumes that the store answers.
    pub fn open() -> Limiter {
        let state = State { failing: false, retried_at: Instant::now() };
        Limiter { state: Arc::new(Mutex::new(state)) }
    }

    /// Records that a call was answered.
    pub fn record_success(&self) {
        self.lock().failing = false;
    }

    /// Records that a call was rejected or not answered.
    pub fn record_failure(&self) {
        self.lock().failing = true;
    }

    /// Waits until a failed write may be retried.
    pub async fn wait(&self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            if self.try_acquire() {
                return;
            }
        }
    }

    /// Returns `true` if a write may be retried now; while calls fail, one per interval may.
    fn try_acquire(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        if state.failing && now < state.retried_at + INTERVAL {
            return false;
        }
        state.retried_at = now;
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        panic::lock(&self.state)
    }
}
