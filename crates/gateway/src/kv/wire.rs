//! The messages of etcd's published JSON gateway, as far as we use them.
//!
//! The gateway's rules are those of protocol buffers in JSON: bytes are base64, 64-bit integers are
//! strings, and a field that holds its default may be left out.

pub mod txn;
pub mod watch;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde_with::DeserializeAs;
use serde_with::DisplayFromStr;
use serde_with::SerializeAs;
use serde_with::serde_as;

/// Path of a read.
pub const RANGE: &str = "/v3/kv/range";
/// Path of a transaction.
pub const TXN: &str = "/v3/kv/txn";
/// Path that grants a lease.
pub const LEASE_GRANT: &str = "/v3/lease/grant";
/// Path that renews a lease.
pub const LEASE_KEEP_ALIVE: &str = "/v3/lease/keepalive";
/// Path that revokes a lease.
pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
/// Path of a watch.
pub const WATCH: &str = "/v3/watch";

/// Largest value that the store accepts, in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// gRPC status of a message that the store can't accept.
pub const CODE_INVALID: u32 = 3;
/// gRPC status of something that doesn't exist, such as an expired lease.
pub const CODE_NOT_FOUND: u32 = 5;
/// gRPC status of a call over a limit.
pub const CODE_EXHAUSTED: u32 = 8;
/// gRPC status of a revision that has been compacted away.
pub const CODE_OUT_OF_RANGE: u32 = 11;
/// gRPC status of a store that is temporarily unavailable.
pub const CODE_UNAVAILABLE: u32 = 14;

/// Error text of a store without a leader, which refuses a write before anything is applied.
pub const NO_LEADER: &str = "etcdserver: no leader";
/// Error text of a store that refuses a write because too many are waiting.
pub const TOO_MANY_REQUESTS: &str = "etcdserver: too many requests";
/// Error text for a lease that has expired or never existed.
pub const NO_LEASE: &str = "etcdserver: requested lease not found";
/// Error text for a value over the limit.
pub const TOO_LARGE: &str = "etcdserver: request is too large";
/// Error text of a read at, or a watch from, a compacted revision.
pub const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";

/// Encoding of bytes as base64.
struct Base64;

impl SerializeAs<Vec<u8>> for Base64 {
    fn serialize_as<S: Serializer>(source: &Vec<u8>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(source))
    }
}

impl<'de> DeserializeAs<'de, Vec<u8>> for Base64 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}

/// Header of every response.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store at the time of the response.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

/// A key with its value.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Revision that created the key.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: u64,
    /// Revision of its last change.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
    /// Number of changes since the key was created.
    #[serde_as(as = "DisplayFromStr")]
    pub version: u64,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// The lease, or zero.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// A read of one key, or of the keys from `key` to `range_end` (exclusive).
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// End of the range (exclusive); empty for the one key, a zero byte for all keys from `key`.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
}

/// Response to a [`RangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header.
    pub header: Header,
    /// The keys found, in ascending order.
    pub kvs: Vec<KeyValue>,
    /// Number of keys found.
    #[serde_as(as = "DisplayFromStr")]
    pub count: u64,
}

/// Request for a lease operation, or the response to it.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The lease; zero in a request lets the store choose.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Its time to live in seconds; zero in a response when it has expired.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// One object of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// The error, when there is no message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Failure>,
}

/// An error reported by the gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// The gRPC status.
    pub code: u32,
    /// The text.
    pub message: String,
}

/// Returns the end of the range of keys that start with `prefix`: the prefix with its last byte
/// incremented.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // For an empty prefix or one of bytes 255 only, the range has no upper bound.
    vec![0]
}
