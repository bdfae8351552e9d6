//! Figures that stay the same while a planner runs.

use std::time::Duration;

/// Figures of a deployment and of the planner's own rhythm.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest deadline that a worker takes, and the one that it is given.
    pub max_lease: Duration,
    /// How long a worker's answer may wait for an end.
    pub heartbeat_wait: Duration,
    /// The same for a worker on which tasks that fill run beside tasks that serve: their figures
    /// have to be seen well within the time for which a task may be over its target.
    pub colocated_heartbeat_wait: Duration,
    /// Least time between two writes to the store, so that what happens together is written
    /// together.
    pub min_write_interval: Duration,
    /// How long a finished job's state is remembered here; the store keeps it longer.
    pub ended_job_retention: Duration,
    /// How long a task that serves may be over its target because of tasks that fill.
    pub max_interference_time: Duration,
    /// Time between two checkpoints of a task.
    pub checkpoint_interval: Duration,
    /// How much longer work away from its data or its rack takes.
    pub remote_slowdown: f64,
    /// Bytes a second that the link of this instance carries, where that is known.
    pub link_bytes_per_second: Option<f64>,
    /// How long a stop may take until the worker's next answer should show it.
    pub max_stop_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_lease: Duration::from_secs(10),
            heartbeat_wait: Duration::from_millis(1000),
            colocated_heartbeat_wait: Duration::from_millis(500),
            min_write_interval: Duration::from_millis(35),
            ended_job_retention: Duration::from_secs(130),
            max_interference_time: Duration::from_secs(4),
            checkpoint_interval: Duration::from_secs(2),
            remote_slowdown: 2.0,
            link_bytes_per_second: None,
            max_stop_time: Duration::from_millis(900),
        }
    }
}
