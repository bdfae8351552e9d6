//! Priority classes of work.

use serde::Deserialize;
use serde::Serialize;

/// Priority class of a request or task when capacity is short.
///
/// The order is the order of admission: an earlier class is served before a later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Latency-critical work of paying clients.
    #[default]
    Paying,
    /// Free trials, which use the capacity that paying work leaves.
    Trial,
    /// Batch work without a waiting caller, which uses the capacity that trials leave.
    Batch,
}

impl Class {
    /// All classes in the order of admission.
    pub const ALL: [Class; 3] = [Class::Paying, Class::Trial, Class::Batch];

    /// Returns the name used in settings, metrics and output.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Paying => "paying",
            Class::Trial => "trial",
            Class::Batch => "batch",
        }
    }
}
