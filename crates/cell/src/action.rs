//! Outputs of a cell.

use cowslipchute_base::event::Event;
use cowslipchute_base::id;
use cowslipchute_ports::worker;

use crate::event::Sequence;
use crate::record::Record;

/// An action that a cell requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make one exchange with a worker and report its outcome as an event. At most one is in flight
    /// for each worker.
    Exchange {
        /// Its number.
        sequence: Sequence,
        /// The worker.
        worker: id::Instance,
        /// Its address.
        address: std::net::SocketAddr,
        /// The message to send.
        exchange: worker::Exchange,
    },
    /// Write records in one transaction that is conditional on the cell's ownership. At most one
    /// batch is in flight under an epoch; [`crate::event::Event::OwnershipLost`] ends the wait for
    /// it.
    Record {
        /// The batch.
        batch: u64,
        /// The complete new value of each changed record.
        records: Vec<Record>,
        /// Jobs whose records are to be removed.
        removed: Vec<id::Job>,
    },
    /// Log a state change for operators.
    Note {
        /// The event.
        event: Event,
        /// The job, worker or cell that it is about.
        subject: id::Instance,
        /// The run, if it is about one.
        run: Option<worker::Run>,
        /// The reason in plain text.
        reason: String,
    },
}
