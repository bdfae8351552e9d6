//! Inputs of a cell.

use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_ports::list;
use cowslipchute_ports::worker;
use cowslipchute_resource::job;
use cowslipchute_resource::policy;

use crate::record::Record;

/// The number of an exchange, which increases within a cell.
pub type Sequence = u64;

/// What is known about the previous owner of a cell when its ownership is acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Former {
    /// There was none, or it released the cell after stopping all lease renewals.
    Released,
    /// The platform has ended its instance; leases that it granted may not have expired yet.
    Ended,
    /// Nothing is known: it may still be renewing leases on workers that we can't reach.
    Unheard,
}

/// An input of a cell.
#[derive(Clone, Debug)]
pub enum Event {
    /// The cell's ownership was acquired in the store, under a new epoch.
    OwnershipAcquired {
        /// The epoch.
        epoch: id::Epoch,
        /// What is known about the previous owner.
        former: Former,
        /// What the store holds about the cell's tasks, one record for each job.
        records: Vec<Record>,
    },
    /// More is known about the previous owner.
    Former {
        /// What is known about it.
        former: Former,
    },
    /// The ownership was lost to a higher epoch, or given up.
    OwnershipLost,
    /// The policy now in force.
    Policy {
        /// The policy.
        spec: Arc<policy::Spec>,
    },
    /// A team's share of its quota in this cell.
    Share {
        /// The team.
        team: id::Team,
        /// The most that its tasks in this cell may use together; `None` means no limit.
        amount: Option<Amount>,
    },
    /// A job, or a part of one, was assigned to this cell, or its declaration changed.
    Job {
        /// The job's name.
        name: id::Job,
        /// The job's declaration.
        spec: Arc<job::Spec>,
    },
    /// A job is no longer declared: its tasks are cancelled and its record removed.
    JobRemoved {
        /// The job's name.
        name: id::Job,
    },
    /// The listed workers of this cell; a version older than the last one is ignored.
    Listed {
        /// The list, already filtered to this cell's workers.
        view: list::View,
    },
    /// An exchange returned a report.
    Reported {
        /// The exchange.
        sequence: Sequence,
        /// The report.
        report: worker::Report,
    },
    /// An exchange failed to return a report.
    Failed {
        /// The exchange.
        sequence: Sequence,
        /// The worker.
        worker: id::Instance,
        /// Whether the worker may have received the exchange and executed its commands.
        maybe_received: bool,
    },
    /// A batch of records is in the store.
    BatchStored {
        /// The batch.
        batch: u64,
    },
    /// The outcome of writing a batch is unknown or it failed; it has to be written again.
    BatchFailed {
        /// The batch.
        batch: u64,
    },
    /// The time returned by [`crate::cell::Cell::next_due`] has come.
    Tick,
}
