//! The stored form of a resource.

use cowslipchute_base::id::Operation;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::Resource;

/// Resource with the id of its write, from which a writer whose answer was lost can tell whether its
/// own write or another's is in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stored {
    /// Id of the write.
    pub operation: Operation,
    /// Written resource.
    pub resource: Resource,
}

/// Error of a value that is not a stored resource; the last valid revision stays in force.
#[derive(Debug)]
#[derive(Error)]
#[error("stored resource can't be read: {0}")]
pub struct Error(#[from] serde_json::Error);

impl Stored {
    /// Parses the value of a key.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not in the format of [`Stored::to_bytes`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Stored, Error> {
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Returns the value to store under the resource's key.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a resource always has a JSON form")
    }
}
