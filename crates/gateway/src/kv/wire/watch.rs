//! Messages of watches.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::kv::wire::Base64;
use crate::kv::wire::Header;
use crate::kv::wire::KeyValue;

/// Request that opens a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// The keys to watch.
    pub create_request: Create,
}

/// The keys and revisions to watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Create {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, as in [`crate::kv::wire::RangeRequest`].
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// First revision to send; zero for future changes only.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: u64,
    /// Whether to send periodic messages when nothing changes.
    pub progress_notify: bool,
}

/// One message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Response {
    /// The header; in a message without events its revision is the progress of the watch.
    pub header: Header,
    /// Whether this message confirms that the watch was opened.
    pub created: bool,
    /// Whether the watch ends.
    pub canceled: bool,
    /// The oldest available revision, when the watch ends because it requested an older one.
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: u64,
    /// The changes.
    pub events: Vec<Event>,
}

/// Kind of change.
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
    /// Kind of change.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key after the change; only key and `mod_revision` after a removal.
    pub kv: KeyValue,
}
