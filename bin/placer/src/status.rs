//! Status of this placer, as shown at the admin address.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_cell::Health;
use cowslipchute_cell::status;
use cowslipchute_cell::status::Counts;
use serde::Serialize;

/// Workers of an owned cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Workers {
    /// Number of workers by health.
    pub by_health: BTreeMap<&'static str, usize>,
    /// Number of workers that may still have runs unknown to this placer.
    pub unfenced: usize,
    /// Total capacity of the workers.
    pub capacity: Amount,
    /// Capacity that is, or may be, in use.
    pub committed: Amount,
}

/// Status of a cell that only its owner knows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Detail {
    /// Phase of the cell, which says whether unclaimed tasks may start.
    pub phase: &'static str,
    /// Number of tasks by state.
    pub tasks: Counts,
    /// Status of the workers.
    pub workers: Workers,
}

impl Detail {
    /// Returns the status of a cell.
    pub fn of(cell: &cowslipchute_cell::cell::Cell) -> Detail {
        let mut workers = Workers { unfenced: cell.unfenced(), ..Workers::default() };
        for worker in cell.workers() {
            *workers.by_health.entry(health(worker.health)).or_insert(0) += 1;
            workers.capacity = workers.capacity.plus(worker.capacity);
            workers.committed = workers.committed.plus(worker.committed);
        }
        Detail { phase: phase(cell.phase()), tasks: cell.counts(), workers }
    }
}

/// One cell of the failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Cell {
    /// Name of the cell.
    pub cell: id::Cell,
    /// Relation of this placer to the cell.
    pub state: &'static str,
    /// The owner as last read from the store.
    pub owner: Option<id::Instance>,
    /// Epoch of this placer, if it owns the cell.
    pub epoch: Option<id::Epoch>,
    /// Number of listed workers of the cell.
    pub workers: usize,
    /// Number of jobs sent to the cell, if this placer owns it.
    pub jobs: usize,
    /// Number of records in the store, if this placer owns the cell.
    pub records: usize,
    /// Number of exchanges in flight.
    pub in_flight: usize,
    /// Status that only the owner knows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<Detail>,
}

/// Status of the placer at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Status {
    /// `true` if the platform's list shows this incarnation of the instance.
    pub listed: bool,
    /// `true` if the store has answered since its last failure.
    pub store: bool,
    /// The cells of the failure domain.
    pub cells: Vec<Cell>,
}

/// One job in one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Job {
    /// The cell.
    pub cell: id::Cell,
    /// The job.
    pub job: id::Job,
    /// Number of tasks by state; runs of every kind are counted as running.
    pub tasks: Counts,
    /// Reason why the tasks must not start, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub parked: Option<String>,
}

fn health(health: Health) -> &'static str {
    match health {
        Health::Unfenced => "unfenced",
        Health::Healthy => "healthy",
        Health::Suspect => "suspect",
        Health::Quarantined => "quarantined",
        Health::Leaving => "leaving",
        Health::Gone => "gone",
    }
}

fn phase(phase: status::Phase) -> &'static str {
    match phase {
        status::Phase::Unowned => "unowned",
        status::Phase::Fencing => "fencing",
        status::Phase::Ready => "ready",
        status::Phase::Isolated => "isolated",
    }
}
