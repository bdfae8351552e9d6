//! Events of the task simulation.

use cowslipchute_cell::event::Sequence;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Report;

/// A scheduled event.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// A batch or trial job arrives.
    Batch,
    /// An urgent job arrives.
    Urgent,
    /// An exchange reaches a worker.
    Sent { worker: usize, sequence: Sequence, exchange: Exchange },
    /// A report reaches the owner.
    Reported { sequence: Sequence, report: Report },
    /// The owner's exchange fails, without a report.
    Failed { worker: usize, sequence: Sequence },
    /// A batch of records is in the store.
    Recorded(u64),
    /// The policy's timer is due.
    Tick,
    /// A worker advances its runs and samples them.
    Advance(usize),
    /// A worker crashes.
    Crash(usize),
    /// Runs on a worker begin to fail.
    FailRuns(usize),
    /// The platform's list omits a crashed worker.
    ListChange,
    /// A crashed worker restarts.
    Restart(usize),
}
