//! Messages of watches.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::kv::wire::Base64;
use crate::kv::wire::Header;
use crate::kv::wire::KeyValue;

/// Opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// What to watch.
    pub create_request: Create,
}

/// What to watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Create {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Where the keys end, as in [`RangeRequest`].
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// First revision wanted; zero for what comes from now on.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: u64,
    /// Whether to send a message now and then when nothing changes.
    pub progress_notify: bool,
}

/// One message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Response {
    /// The head; without events it says how far the watch is.
    pub header: Header,
    /// Whether this answers the opening.
    pub created: bool,
    /// Whether the watch ends.
    pub canceled: bool,
    /// The oldest revision kept, when the watch ends because it asked for an older one.
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: u64,
    /// What changed.
    pub events: Vec<Event>,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// It was written.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// One change of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key after the change; only key and `mod_revision` after a removal.
    pub kv: KeyValue,
}
