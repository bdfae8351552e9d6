//! The durations of a worker's operations, and its faults.

use std::time::Duration;

/// The durations of a worker's operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time to write a checkpoint.
    pub checkpoint: Duration,
    /// The time to stop a run.
    pub stop: Duration,
    /// The time from start to failure of a run on a failing worker or of a failing job.
    pub fail: Duration,
    /// The interval between two measurements.
    pub measure: Duration,
    /// The time between a measurement and the first report that may hold it.
    pub measure_lag: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            checkpoint: Duration::from_millis(200),
            stop: Duration::from_millis(20),
            fail: Duration::from_millis(50),
            measure: Duration::from_secs(1),
            measure_lag: Duration::from_secs(2),
        }
    }
}

/// The faults of a worker that its runs and reports show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Whether every run fails shortly after its start.
    pub failing: bool,
    /// The duration of runs, in thousandths of their usual duration.
    pub slow_permille: u32,
    /// Whether the worker is about to leave.
    pub leaving: bool,
}

impl Default for Health {
    fn default() -> Health {
        Health { failing: false, slow_permille: 1000, leaving: false }
    }
}
