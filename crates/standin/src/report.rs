//! The counts of all servers of a stand-in.

use cowslipchute_base::id::Instance;
use serde::Deserialize;
use serde::Serialize;

use crate::backend;
use crate::fault::Partition;
use crate::kv;
use crate::worker;

/// The counts of one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub instance: Instance,
    /// Its counts.
    #[serde(flatten)]
    pub count: backend::server::Count,
}

/// The counts of all servers so far.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Calls to the store.
    pub store: kv::count::Count,
    /// Reads of the list of instances.
    pub list_reads: u64,
    /// Reads of the list that were answered with its members, because it had changed.
    pub list_sent: u64,
    /// The counts of each backend server.
    pub backends: Vec<Backend>,
    /// The run counts of requests with an id.
    pub requests: backend::runs::Summary,
    /// The runs of tasks, by outcome.
    pub tasks: worker::ledger::Count,
    /// The network partitions in force.
    pub cuts: Vec<Partition>,
}
