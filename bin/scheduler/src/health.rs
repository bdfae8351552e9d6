//! Whether the store answers this process, so that clients are refused at once while it doesn't.
//!
//! Pattern answered: a store that is cut off shows only by calls that wait for their timeouts, and
//! each client would be held for that long to be told the same. After one such call the next
//! clients are refused without a call; a call now and then finds out when the store is back.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_base::id::Time;

/// One call in so much time finds out whether the store is back.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// A failure older than this tells nothing any more.
const FORGET: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct State {
    /// The last call that was not answered, unless one was since.
    failed: Option<Time>,
    /// The last call that was let through since then.
    probed: Time,
}

/// What is known of the store, shared by all who call it for clients.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: Arc<Mutex<State>>,
}

impl Health {
    /// The store answered a call.
    pub fn answered(&self) {
        self.lock().failed = None;
    }

    /// The store did not answer a call, or turned it away.
    pub fn failed(&self, now: Time) {
        self.lock().failed = Some(now);
    }

    /// Tells whether to refuse a client without a call. The one that isn't refused finds out.
    pub fn refuses(&self, now: Time) -> bool {
        let mut state = self.lock();
        let Some(failed) = state.failed else { return false };
        if now >= failed + FORGET || now >= state.probed + PROBE_PAUSE {
            state.probed = now;
            return false;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nobody panics while holding this")
    }
}
