//! Settings of a planner, which stay the same while it runs.

use std::time::Duration;

/// Optional parts of the planner. Each is off unless the deployment's settings turn it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether contended capacity is shared between queues and sizes of jobs.
    pub queue_shares: bool,
    /// Whether durations learnt from completed tasks replace clients' estimates.
    pub learned_durations: bool,
    /// Whether best-effort tasks are placed and throttled by a forecast of interference.
    pub colocation_forecast: bool,
}

/// Settings of a deployment, and intervals of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest lease that a worker accepts, and the one that it is given.
    pub max_lease: Duration,
    /// Longest time that a worker may delay its response to a heartbeat until a run ends.
    pub heartbeat_wait: Duration,
    /// The same for a worker that runs best-effort tasks next to latency-critical ones. Their
    /// measurements have to arrive well within `max_interference_time`.
    pub colocated_heartbeat_wait: Duration,
    /// Shortest time between two writes to the store, so that changes that happen together are
    /// written together.
    pub min_write_interval: Duration,
    /// Time for which the final state of a job is kept here; the store keeps it longer.
    pub ended_job_retention: Duration,
    /// Longest time for which a latency-critical task may violate its target because of best-effort
    /// tasks.
    pub max_interference_time: Duration,
    /// Time between two checkpoints of a task.
    pub checkpoint_interval: Duration,
    /// Factor by which work away from its data or its rack takes longer.
    pub remote_slowdown: f64,
    /// Largest record that the store accepts, in bytes.
    pub max_record_bytes: usize,
    /// Bandwidth of this instance's link in bytes per second, if it is known.
    pub link_bytes_per_second: Option<f64>,
    /// Longest time that a stop may take before the worker's report shows its outcome.
    pub max_stop_time: Duration,
    /// Optional parts.
    pub features: Features,
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
            max_record_bytes: 1 << 20,
            link_bytes_per_second: None,
            max_stop_time: Duration::from_millis(900),
            features: Features::default(),
        }
    }
}
