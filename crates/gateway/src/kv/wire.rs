//! The messages of etcd's published JSON gateway that we use, field by field.
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
/// Path that ends a lease.
pub const LEASE_REVOKE: &str = "/v3/lease/revoke";
/// Path of a watch.
pub const WATCH: &str = "/v3/watch";

/// Largest value that the store holds.
pub const VALUE_LIMIT: usize = 1 << 20;

/// gRPC status of a message that the store can't accept.
pub const CODE_INVALID: u32 = 3;
/// gRPC status of something that doesn't exist, such as a lapsed lease.
pub const CODE_NOT_FOUND: u32 = 5;
/// gRPC status of a call over a limit.
pub const CODE_EXHAUSTED: u32 = 8;
/// gRPC status of a revision that has been compacted away.
pub const CODE_OUT_OF_RANGE: u32 = 11;
/// gRPC status of a store that can't serve now.
pub const CODE_UNAVAILABLE: u32 = 14;

/// Error text of a store without a leader, which refuses a write before anything is applied.
pub const NO_LEADER: &str = "etcdserver: no leader";
/// Error text of a store that refuses a write because too many are waiting.
pub const TOO_MANY_REQUESTS: &str = "etcdserver: too many requests";
/// Error text for a lease that has lapsed or never was.
pub const NO_LEASE: &str = "etcdserver: requested lease not found";
/// Error text for a value over the limit.
pub const TOO_LARGE: &str = "etcdserver: request is too large";
/// Error text of a read at, or a watch from, a compacted revision.
pub const COMPACTED: &str = "etcdserver: mvcc: required revision has been compacted";

/// Writes bytes as base64.
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

/// Heads every answer.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision when it answered.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

/// One key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Revision that made the key.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: u64,
    /// Revision of its last change.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
    /// Number of changes since it was made.
    #[serde_as(as = "DisplayFromStr")]
    pub version: u64,
    /// The value.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// The lease, or zero.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Reads a key, or the keys from `key` up to but without `range_end`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Where the keys end; empty for the one key, a zero byte for all keys after the first.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
}

/// Answers a [`RangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The head.
    pub header: Header,
    /// The keys found, by rising key.
    pub kvs: Vec<KeyValue>,
    /// How many there are.
    #[serde_as(as = "DisplayFromStr")]
    pub count: u64,
}

/// Grants a lease, or answers that.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The lease; zero in a request lets the store choose.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Its time to live in seconds; zero in an answer when it has lapsed.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// One object of an answer that is a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// Why there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Failure>,
}

/// An error as the gateway tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// The gRPC status.
    pub code: u32,
    /// The text.
    pub message: String,
}

/// Returns where the keys that start with `prefix` end: the prefix with its last byte raised.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // No key sorts after a prefix of 255s only, nor after an empty one.
    vec![0]
}
