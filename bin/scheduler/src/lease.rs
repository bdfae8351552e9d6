//! The owner's lease, shared between the thread that renews it and the one that runs the cell.
//!
//! The cell's thread may be busy for longer than a lease lasts. If it renewed the lease between its
//! other work, an owner that is only slow would lose the cell to one that is no faster and has the
//! work of a takeover on top. So the lease is renewed on a thread of its own, as long as the cell's
//! thread still makes progress.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_base::id::Time;
use cowslipchute_base::panic;
use tokio::time::Instant;

use crate::clock;
use crate::metrics::Metrics;

/// Interval at which the cell's thread shows that it makes progress.
const PULSE_INTERVAL: Duration = Duration::from_millis(250);
/// Time without progress after which the lease is no longer renewed: several times the longest work
/// that the cell's thread does without a break.
const MAX_STALL: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct State {
    /// Epoch and end of the lease, if the cell is owned.
    held: Option<(Revision, Time)>,
    /// When the cell's thread last made progress.
    progress_at: Time,
}

/// The lease; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    state: Arc<Mutex<State>>,
}

impl Lease {
    /// Extends the lease of an ownership; returns its previous end.
    pub fn extend(&self, epoch: Revision, until: Time) -> Option<Time> {
        let previous = self.lock().held.replace((epoch, until));
        previous.filter(|(other, _)| *other == epoch).map(|(_, until)| until)
    }

    /// Ends the lease; returns when it would have ended, or zero if none was held.
    pub fn end(&self) -> Time {
        self.lock().held.take().map_or(Time::ZERO, |(_, until)| until)
    }

    /// Returns the end of the lease of an ownership, or zero if it has ended.
    pub fn until(&self, epoch: Revision) -> Time {
        self.lock().held.filter(|(held, _)| *held == epoch).map_or(Time::ZERO, |(_, until)| until)
    }

    /// Returns `true` if the cell's thread has stopped making progress.
    pub fn is_stalled(&self, now: Time) -> bool {
        now > self.lock().progress_at + MAX_STALL
    }

    /// Records progress of the calling thread for as long as it runs this, and how late it wakes up.
    pub async fn pulse(self, metrics: Metrics) {
        loop {
            self.lock().progress_at = clock::now();
            let due = Instant::now() + PULSE_INTERVAL;
            tokio::time::sleep_until(due).await;
            metrics.loop_lag(due.elapsed());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        panic::lock(&self.state)
    }
}
