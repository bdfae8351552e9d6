//! Aliases for the ids that crates and processes exchange.
//!
//! Names are shared strings because many tables hold the same name; numbers that only define an
//! order are plain integers. Ids that index a table inside one decision crate are
//! [`crate::entity::Id`]s instead and never leave that crate.

use std::sync::Arc;
use std::time::Duration;

/// Name of a failure domain, unique across all regions.
pub type Domain = Arc<str>;
/// Name of a rack, unique within its failure domain.
pub type Rack = Arc<str>;
/// Name of an instance: a worker, a backend server or one of our own processes.
pub type Instance = Arc<str>;
/// Name of a service.
pub type Service = Arc<str>;
/// Name of a job.
pub type Job = Arc<str>;
/// Name of a team.
pub type Team = Arc<str>;
/// Name of a cell: `domain/slice`.
pub type Cell = Arc<str>;
/// Handle of a checkpoint, chosen by the worker that wrote it.
pub type Checkpoint = Arc<str>;
/// Key that identifies a non-idempotent request when its client repeats it.
pub type IdempotencyKey = Arc<str>;

/// Number of an instance's incarnation: a replaced or restarted instance keeps its name and gets a new number.
pub type Incarnation = u64;
/// Epoch of a cell's ownership; a higher epoch fences every lower one.
pub type Epoch = u64;
/// Number of one run of a task; increases with each start and never repeats for the same task.
pub type Attempt = u32;
/// Index of a task within its job, from zero.
pub type TaskIndex = u32;
/// Number of a request within one entry process.
pub type Request = u64;
/// Revision of the key-value store or of a resource kept there.
pub type Revision = u64;
/// Id of one write, stored in the written value so that the outcome of a write without an answer can be determined.
pub type Operation = u128;

/// Monotonic time since the start of the process (or of the scenario, under virtual time).
///
/// Decision crates never read a clock; each event carries the time.
pub type Time = Duration;
