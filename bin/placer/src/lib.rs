//! The placer: owns cells of its failure domain and runs jobs' tasks on their workers.
//!
//! The process only carries messages. `cowslipchute-tenure` decides which placer owns which cell,
//! and `cowslipchute-cell` decides what happens in a cell. This crate runs the event loop threads around
//! them, connected by bounded rings: `decide` holds both, `workers` exchanges messages with
//! workers, `store` calls the key-value service, `watch` follows the list and the configuration,
//! and `link` talks to other placers. [`process::spawn`] connects them over any adapters, so that
//! tests can use fakes.

pub mod api;
pub mod catalogue;
pub mod decide;
pub mod journal;
pub mod link;
pub mod message;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod pump;
pub mod records;
pub mod settings;
pub mod status;
pub mod store;
pub mod watch;
pub mod workers;
