//! The value at a cell's key: who owns it, under which epoch, and who may not have stopped yet.

use std::net::SocketAddr;

use cowslipchute_base::id;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// One life of a placer, as a later owner needs to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Owner {
    /// The placer's instance.
    pub instance: id::Instance,
    /// Which life of it.
    pub incarnation: id::Incarnation,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Version of the platform's list in which it saw itself. Only a view at least as new that
    /// lacks it proves that it has ended; an older one may just not show it yet.
    #[serde(rename = "listed")]
    pub list_version: u64,
}

impl Owner {
    /// Tells whether both are the same life of the same instance.
    pub fn is_same(&self, other: &Owner) -> bool {
        self.instance == other.instance && self.incarnation == other.incarnation
    }
}

/// Former owners of which it is not known that they have stopped.
pub type PreviousOwners = SmallVec<[Owner; 2]>;

/// The ownership of a cell. The key is never removed, so that the epoch only rises.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// Who took it.
    pub owner: Owner,
    /// Fences every lower one at the workers.
    pub epoch: id::Epoch,
    /// Identity of the write, by which a lost answer is settled.
    pub operation: id::Operation,
    /// Whether the owner has stopped and anyone may take it.
    pub released: bool,
    /// Owners before this one that may still be renewing leases. It is carried on by every
    /// taking, so that a short-lived owner in between doesn't hide one.
    #[serde(rename = "formers")]
    pub previous_owners: PreviousOwners,
}

impl Claim {
    /// Reads the value of a cell's key; nothing when it can't be read.
    pub fn from_bytes(bytes: &[u8]) -> Option<Claim> {
        serde_json::from_slice(bytes).ok()
    }

    /// Returns the value of the cell's key.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim always has a JSON form")
    }
}
