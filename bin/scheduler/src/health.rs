//! Health of the store as this process sees it: a circuit breaker for clients' requests.
//!
//! An outage shows only by calls that time out. Clients would have to wait for the timeout, and a
//! client whose write has an unknown outcome must not submit its job elsewhere. So after one failed
//! call or a broken watch, clients are refused, which they can safely retry; at an interval, one of
//! them waits for a probing read and is served if it succeeds. Readiness uses the same state, so
//! that the clients of a failure domain that is cut off connect to the others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_admission::outage::History;
use cowslipchute_base::id::Time;
use cowslipchute_base::panic;

/// Interval between probing reads during an outage.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Age at which a failure no longer indicates an outage.
const OUTAGE_MAX_AGE: Duration = Duration::from_secs(3);
/// Age up to which an answer shows that the store is reachable now. An owner renews its lease more
/// often, and an outage of the store is mistaken for that of a single instance for no longer than
/// this.
const REACHABLE_MAX_AGE: Duration = Duration::from_millis(400);
/// Age up to which an answer counts for readiness. The two pending watches of an idle instance are
/// answered more often, so that it needs no probe.
const READY_MAX_AGE: Duration = Duration::from_millis(1000);

#[derive(Debug, Default)]
struct State {
    /// Time of the last answer.
    answered_at: Option<Time>,
    outage: Option<Outage>,
    /// Durations of earlier outages.
    outages: History,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first failed call was sent.
    began_at: Time,
    /// Latest time at which a failed call was sent.
    sent_at: Time,
    /// Time of the last failure.
    failed_at: Time,
    /// Time of the last probe.
    probed_at: Option<Time>,
}

/// Decision on a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Serve it.
    Serve,
    /// Refuse it without a call to the store.
    Refuse,
    /// Read from the store first; serve it if the read succeeds, otherwise refuse it.
    Probe,
}

/// Health of the store, shared by all tasks that call it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    state: Arc<Mutex<State>>,
}

impl Health {
    /// Records an answer to a call that was sent at `sent`. If the call was sent before an outage,
    /// as a pending watch may be, its answer doesn't show that calls reach the store again.
    pub fn record_success(&self, sent: Time, now: Time) {
        let mut state = self.lock();
        if state.outage.is_some_and(|outage| sent < outage.sent_at) {
            return;
        }
        state.answered_at = Some(now);
        if let Some(outage) = state.outage.take() {
            state.outages.record(now.saturating_sub(outage.began_at));
        }
    }

    /// Records that the store rejected a call that was sent at `sent`, or did not answer it.
    pub fn record_failure(&self, sent: Time, now: Time) {
        let mut state = self.lock();
        let probed_at = state.outage.and_then(|outage| outage.probed_at);
        let began_at = state.outage.map_or(sent, |outage| outage.began_at);
        let sent_at = state.outage.map_or(sent, |outage| outage.sent_at.max(sent));
        state.outage = Some(Outage { began_at, sent_at, failed_at: now, probed_at });
    }

    /// Returns the retry time for a client that is refused because the store is unreachable, and that
    /// waits for at most `client_timeout` in all.
    pub fn retry_after(&self, now: Time, client_timeout: Duration) -> Duration {
        let state = self.lock();
        let elapsed =
            state.outage.map_or(Duration::ZERO, |outage| now.saturating_sub(outage.began_at));
        state.outages.retry_after(elapsed, client_timeout)
    }

    /// Returns how to handle a client that arrives now; returns [`Access::Probe`] at most once
    /// per interval.
    pub fn access(&self, now: Time) -> Access {
        let mut state = self.lock();
        let Some(outage) = state.outage.as_mut() else { return Access::Serve };
        if now >= outage.failed_at + OUTAGE_MAX_AGE {
            state.outage = None;
            return Access::Serve;
        }
        if outage.probed_at.is_some_and(|probed_at| now < probed_at + PROBE_INTERVAL) {
            return Access::Refuse;
        }
        outage.probed_at = Some(now);
        Access::Probe
    }

    /// Returns `true` if the store has answered recently and no outage is known.
    pub fn is_reachable(&self, now: Time) -> bool {
        let state = self.lock();
        let is_fresh =
            state.answered_at.is_some_and(|answered_at| now < answered_at + REACHABLE_MAX_AGE);
        is_fresh && state.outage.is_none()
    }

    /// Returns how to handle a readiness check of the platform. Unlike for a client, the absence of
    /// failures isn't enough: the last answer must be recent.
    pub fn readiness(&self, now: Time) -> Access {
        let access = self.access(now);
        let answered_at = self.lock().answered_at;
        let is_fresh = answered_at.is_some_and(|answered_at| now < answered_at + READY_MAX_AGE);
        match access {
            Access::Serve if !is_fresh => Access::Probe,
            access => access,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        panic::lock(&self.state)
    }
}
