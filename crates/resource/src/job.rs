//! Jobs: batch and trial tasks, which use leftover capacity, and latency-critical tasks on shared workers.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::unit::Millis;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Desired state of a job.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Team whose quota the job uses.
    pub team: String,
    /// Class of the tasks: paying tasks are latency-critical and never evicted; trial and batch tasks may be.
    pub class: Class,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of each task.
    pub amount: Amount,
    /// Declared duration of each task; zero means until cancelled.
    #[serde_as(as = "Millis")]
    pub duration: Duration,
    /// Whether the job starts before other work and may evict trial and batch tasks.
    pub urgent: bool,
    /// Number of failed runs after which a task is parked.
    pub failures_max: u32,
    /// Failure domain in which the job must run; empty for any.
    pub domain: String,
    /// Whether an operator has cancelled the job.
    pub cancelled: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            team: String::from("default"),
            class: Class::Batch,
            tasks: 1,
            amount: Amount { cpu_milli: 1000, memory_mib: 512, accelerators: 0 },
            duration: Duration::from_secs(60),
            urgent: false,
            failures_max: 3,
            domain: String::new(),
            cancelled: false,
        }
    }
}
