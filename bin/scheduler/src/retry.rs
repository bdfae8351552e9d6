//! When writes that did not come through are made again.
//!
//! Pattern answered: an owner that the store turns away, or doesn't answer, has a dozen writes of
//! different jobs under way. Each made again for itself is some two hundred calls a second for
//! as long as the outage lasts, all of them refused, and the platform counts them. One of them is
//! enough to find out whether the store is back, so while calls fail one write at a time is made
//! again, each [`INTERVAL`]; as soon as one comes through, so do all others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

/// Pause between two tries while calls fail: what it may take longer after an outage until the first
/// write is made, a few times as long as one takes.
pub const INTERVAL: Duration = Duration::from_millis(60);

#[derive(Debug)]
struct State {
    failing: bool,
    /// When a write was last made again.
    tried: Instant,
}

/// Shared by writes that may overlap.
#[derive(Clone, Debug)]
pub struct Limiter {
    state: Arc<Mutex<State>>,
}

impl Limiter {
    /// Opens with a store that is taken to answer.
    pub fn open() -> Limiter {
        let state = State { failing: false, tried: Instant::now() };
        Limiter { state: Arc::new(Mutex::new(state)) }
    }

    /// A call was answered.
    pub fn record_success(&self) {
        self.lock().failing = false;
    }

    /// A call was not answered, or was turned away.
    pub fn record_failure(&self) {
        self.lock().failing = true;
    }

    /// Waits until a write that did not come through may be made again.
    pub async fn wait(&self) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            if self.takes_turn() {
                return;
            }
        }
    }

    /// Tells whether a write may be made now; while calls fail, one in each pause may.
    fn takes_turn(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        if state.failing && now < state.tried + INTERVAL {
            return false;
        }
        state.tried = now;
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nobody panics while holding this")
    }
}
