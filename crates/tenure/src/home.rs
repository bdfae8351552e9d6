//! The value at a job's home key: the cell that runs the job, at most one at a time.

use cowslipchute_base::id;
use cowslipchute_resource::job;
use serde::Deserialize;
use serde::Serialize;

/// The value at a job's home key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Home {
    /// The home cell, or `None` while the job waits for another one.
    pub cell: Option<id::Cell>,
    /// Cells in which the job could not run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<id::Cell>,
}

impl Home {
    /// Decodes the value of a job's home key. Returns `None` if it is invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Home> {
        serde_json::from_slice(bytes).ok()
    }

    /// Encodes the value of the job's home key.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a home can always be encoded as JSON")
    }
}

/// Returns `true` if a job's declaration allows it to run in a cell.
pub(crate) fn may_run(spec: &job::Spec, cell: &str) -> bool {
    spec.domain.is_empty() || cell.rsplit_once('/').is_some_and(|(d, _)| d == spec.domain)
}
