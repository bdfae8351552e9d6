//! Replicates the configuration to this instance, from a watch on the store or else from peers.
//!
//! One duty holds the configuration in force at this instance, sends each change to the process
//! through a ring, and answers peers. `cowslipchute-spread` decides what is newer and which peers
//! to call; this crate only does the I/O. It does not interpret the resources.
//!
//! [`list`] reads the platform's list of instances, for all processes.

pub mod change;
pub mod follower;
pub mod list;
pub mod peers;
pub mod settings;

mod calls;
mod duty;
mod in_force;
mod outbox;
mod source;

pub use change::Change;
pub use follower::Follower;
pub use follower::Handle;
pub use follower::spawn;
pub use settings::Settings;
