//! The value at a cell's key: its owner, its epoch, and previous owners that may still be running.

use std::net::SocketAddr;

use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// One incarnation of a placer, with the data that a later owner needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The placer's instance.
    pub instance: id::Instance,
    /// The incarnation of the instance.
    pub incarnation: id::Incarnation,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Version of the platform's list in which the placer found itself. Only its absence from a
    /// list at least as new proves that it has ended; an older list may not show it yet.
    #[serde(rename = "listed")]
    pub list_version: u64,
}

impl Owner {
    /// Returns `true` if both are the same incarnation of the same instance.
    pub fn is_same(&self, other: &Owner) -> bool {
        self.instance == other.instance && self.incarnation == other.incarnation
    }
}

/// Previous owners that are not known to have stopped.
pub type PreviousOwners = SmallVec<[Owner; 2]>;

/// The ownership of a cell. The key is never deleted, so that the epoch only rises.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The placer that took the cell.
    pub owner: Owner,
    /// The fencing token: workers reject commands of lower epochs.
    pub epoch: id::Epoch,
    /// Identity of the write, by which a write whose answer was lost is recognised.
    pub operation: id::Operation,
    /// Whether the owner has stopped, so that any placer may take the cell.
    pub released: bool,
    /// Previous owners that may still be renewing workers' leases. Each new owner carries the list
    /// over, so that a short-lived owner in between doesn't hide an earlier one.
    #[serde(rename = "formers")]
    pub previous_owners: PreviousOwners,
}

impl Claim {
    /// Decodes the value of a cell's key. Returns `None` if it is invalid.
    pub fn from_bytes(bytes: &[u8]) -> Option<Claim> {
        serde_json::from_slice(bytes).ok()
    }

    /// Encodes the value of the cell's key.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim can always be encoded as JSON")
    }
}
