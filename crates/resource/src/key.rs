//! Keys in the platform's store. All of our keys start with [`ROOT`].

use crate::Kind;

/// Prefix of all our keys.
pub const ROOT: &str = "/cowslipchute/";
/// Prefix of all resources; one watch on it covers the whole configuration.
pub const CONFIG: &str = "/cowslipchute/config/";
/// Key written with every change that makes a resource refer to another, so that the transaction of
/// a removal fails if a reference was added concurrently. It holds no resource and is not watched.
pub const REFERENCES: &str = "/cowslipchute/references";
/// Prefix of the last write of each lane of each operator process, which shows whether a write
/// without an answer was made.
pub const OPERATOR: &str = "/cowslipchute/operator/";
/// Prefix of the owners of cells.
pub const CELL: &str = "/cowslipchute/cell/";
/// Prefix of the durable progress of tasks, written in batches by the owner of their cell.
pub const RECORD: &str = "/cowslipchute/record/";
/// Prefix of the assignments of jobs to cells.
pub const HOME: &str = "/cowslipchute/home/";
/// Key of the roster of idempotency key owners.
pub const ROSTER: &str = "/cowslipchute/roster";

/// Returns the key of a resource.
pub fn config(kind: Kind, name: &str) -> String {
    format!("{CONFIG}{}/{name}", kind.as_str())
}

/// Returns the prefix of the keys of all resources of a kind.
pub fn config_kind(kind: Kind) -> String {
    format!("{CONFIG}{}/", kind.as_str())
}

/// Splits a resource's key into kind and name; returns `None` for any other key.
pub fn parse_config(key: &str) -> Option<(Kind, &str)> {
    let (word, name) = key.strip_prefix(CONFIG)?.split_once('/')?;
    Some((Kind::from_word(word)?, name))
}
