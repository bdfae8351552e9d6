//! Messages of transactions.

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use crate::kv::wire::Base64;
use crate::kv::wire::Header;
use crate::kv::wire::RangeRequest;
use crate::kv::wire::RangeResponse;

/// The number of a key that a [`Compare`] tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of changes since it was created; zero for a key that doesn't exist.
    #[default]
    Version,
    /// The revision that created it; zero for a key that doesn't exist.
    Create,
    /// The revision of its last change; zero for a key that doesn't exist.
    Mod,
}

/// Relation of the number found to the one given in a [`Compare`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The numbers are equal.
    #[default]
    Equal,
    /// The one found is greater.
    Greater,
    /// The one found is less.
    Less,
    /// The numbers differ.
    NotEqual,
}

/// One condition of a transaction.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The relation that must hold.
    pub result: Relation,
    /// The number that is tested.
    pub target: Target,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The number for [`Target::Version`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The number for [`Target::Create`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<u64>,
    /// The number for [`Target::Mod`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<u64>,
}

/// Writes a key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// The lease that the key is attached to, or zero.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Removes a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Delete {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range, as in [`RangeRequest`].
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
}

/// One step of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<Put>,
    /// A removal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<Delete>,
}

/// Response to a [`Step`]; only the result of a read is used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Outcome {
    /// Result of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// A transaction: `success` if all of `compare` hold, else `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// Steps executed when all conditions hold.
    pub success: Vec<Step>,
    /// Steps executed otherwise.
    pub failure: Vec<Step>,
}

/// Response to a [`Request`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Response {
    /// The header.
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// One outcome for each executed step.
    pub responses: Vec<Outcome>,
}
