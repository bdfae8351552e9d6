//! Crashing tasks, which crash each worker that runs them, and their effects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::TaskId;

/// The time for which a crashed worker is down.
pub const DOWN_TIME: Duration = Duration::from_millis(2700);
/// Number of workers that a task may crash before the scheduler must give it up.
const MAX_CRASHES: u32 = 3;
/// Number of later starts of such a task that violate the guarantee.
const VIOLATING_STARTS: usize = 3;

/// The crashing tasks, the workers that they have crashed, and their counts.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// The delay between the start of each crashing task and the crash of its worker.
    pub crashing_tasks: BTreeMap<TaskId, Duration>,
    /// The number of workers that each has crashed.
    pub crash_counts: BTreeMap<TaskId, u32>,
    /// The runs of each that were started after it had to be given up.
    excess_starts: BTreeMap<TaskId, BTreeSet<id::Attempt>>,
    /// The machines that are down, with the time at which they return.
    returns: BTreeMap<String, Time>,
}

impl Crashes {
    /// Records that a task has crashed a machine.
    pub fn crash(&mut self, machine: &str, task: TaskId, now: Time) {
        *self.crash_counts.entry(task).or_insert(0) += 1;
        self.returns.insert(machine.to_owned(), now + DOWN_TIME);
    }

    /// Removes and returns the machines that have returned by now.
    pub fn take_back(&mut self, now: Time) -> Vec<String> {
        let returned = self.returns.iter().filter(|(_, at)| **at <= now);
        let returned: Vec<String> = returned.map(|(machine, _)| machine.clone()).collect();
        for machine in &returned {
            self.returns.remove(machine);
        }
        returned
    }

    /// Records a start, which may be a repeated one. Returns the violation if the task had to be
    /// given up long before.
    pub fn start(&mut self, run: Run) -> Option<String> {
        let task = run.task;
        if self.crash_counts.get(&task).is_none_or(|&count| count < MAX_CRASHES) {
            return None;
        }
        let excess = self.excess_starts.entry(task).or_default();
        excess.insert(run.attempt);
        (excess.len() >= VIOLATING_STARTS).then(|| {
            let times = excess.len();
            format!(
                "{task} was started {times} more times after it had crashed {MAX_CRASHES} workers"
            )
        })
    }

    /// Returns the highest number of workers that one task has crashed.
    pub fn max_count(&self) -> u32 {
        self.crash_counts.values().copied().max().unwrap_or(0)
    }
}
