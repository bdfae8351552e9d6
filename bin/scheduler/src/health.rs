//! Whether the store answers this process, so that clients are refused at once while it doesn't.
//!
//! Patterns answered: a store that is cut off shows only by calls that wait for their timeouts, and
//! each client would be held for that long to be told the same; and a client whose write found the
//! outage can't be told whether its job was taken in, so that it may not hand it in elsewhere. So
//! after one call without an answer, or a watch that was cut, clients are refused, which is true and
//! can be tried again; one of them now and then waits for a read that finds out, and is served if the
//! store is back. The platform is told the same: an instance that doesn't reach the store wants no
//! new clients, and where a whole failure domain is cut off its clients are sent to the others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_base::id::Time;

/// One read in so much time finds out whether the store is back.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// A failure older than this tells nothing any more.
const OUTAGE_MAX_AGE: Duration = Duration::from_secs(3);
/// An answer at most this old tells that the store is reached now: an owner renews its lease more
/// often, and an outage is taken for one of a single instance for no longer.
const REACHABLE_MAX_AGE: Duration = Duration::from_millis(400);
/// An answer older than this doesn't tell that the store is still reached. The two waiting watches of
/// an idle instance are answered more often, so that it makes no call for this.
const READY_MAX_AGE: Duration = Duration::from_millis(1000);

#[derive(Debug, Default)]
struct State {
    /// The last call that was answered.
    answered: Option<Time>,
    outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the last call that was not answered had been sent.
    sent: Time,
    /// The last call that was not answered.
    failed: Time,
    /// The last read that was to find out.
    probed: Option<Time>,
}

/// What to do with a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve it.
    Serve,
    /// Refuse it without a call.
    Refuse,
    /// Read first, and serve or refuse it by what becomes of that.
    Probe,
}

/// What is known of the store, shared by all who call it for clients.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: Arc<Mutex<State>>,
}

impl Health {
    /// The store answered a call that was sent then. An answer to a call from before an outage, as a waiting watch
    /// gets, doesn't tell that calls reach the store again.
    pub fn record_success(&self, sent: Time, now: Time) {
        let mut state = self.lock();
        if state.outage.is_some_and(|outage| sent < outage.sent) {
            return;
        }
        state.answered = Some(now);
        state.outage = None;
    }

    /// The store did not answer a call that was sent then, or turned it away.
    pub fn record_failure(&self, sent: Time, now: Time) {
        let mut state = self.lock();
        let probed = state.outage.and_then(|outage| outage.probed);
        let sent = state.outage.map_or(sent, |outage| outage.sent.max(sent));
        state.outage = Some(Outage { sent, failed: now, probed });
    }

    /// Tells what to do with a client that comes now.
    pub fn admission(&self, now: Time) -> Admission {
        let mut state = self.lock();
        let Some(known) = state.outage.as_mut() else { return Admission::Serve };
        if now >= known.failed + OUTAGE_MAX_AGE {
            state.outage = None;
            return Admission::Serve;
        }
        if known.probed.is_some_and(|probed| now < probed + PROBE_PAUSE) {
            return Admission::Refuse;
        }
        known.probed = Some(now);
        Admission::Probe
    }

    /// Tells whether the store has surely been reached a moment ago.
    pub fn is_reachable(&self, now: Time) -> bool {
        let state = self.lock();
        let fresh = state.answered.is_some_and(|answered| now < answered + REACHABLE_MAX_AGE);
        fresh && state.outage.is_none()
    }

    /// Tells what to say to the platform, which asks whether new clients are wanted: unlike for a
    /// client, it isn't enough that nothing speaks against the store.
    pub fn readiness(&self, now: Time) -> Admission {
        let verdict = self.admission(now);
        let answered = self.lock().answered;
        let fresh = answered.is_some_and(|answered| now < answered + READY_MAX_AGE);
        match verdict {
            Admission::Serve if !fresh => Admission::Probe,
            verdict => verdict,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("nobody panics while holding this")
    }
}
