//! The record of all runs, which detects violations such as a task that runs twice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Checkpoint;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Job;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Run;
use serde::Deserialize;
use serde::Serialize;

/// Violations kept; later ones are only counted.
const MAX_VIOLATIONS: usize = 1000;

/// The identity of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// The task within the job.
    pub index: TaskIndex,
}

impl Task {
    /// Returns the task of a run.
    pub fn of(run: &Run) -> Task {
        Task { job: run.job.clone(), index: run.task }
    }
}

/// A violation of the guarantees for tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// A task was started while a run of it was active.
    TwoPlaces {
        /// The run that was started.
        run: Run,
        /// The worker that started it.
        instance: Instance,
        /// The active run.
        other: Run,
        /// The worker of the active run.
        other_instance: Instance,
    },
    /// A run was started twice.
    StartedTwice {
        /// The run.
        run: Run,
        /// The worker that started it again.
        instance: Instance,
    },
    /// A run was started after a later attempt of its task.
    StaleAttempt {
        /// The run.
        run: Run,
        /// The worker that started it.
        instance: Instance,
        /// The later attempt.
        newer: Attempt,
    },
    /// A task was started after its completion had been acknowledged.
    StartedAfterDone {
        /// The run.
        run: Run,
        /// The worker that started it.
        instance: Instance,
    },
    /// A start would have exceeded a worker's capacity.
    Overcommitted {
        /// The run, which was refused.
        run: Run,
        /// The worker.
        instance: Instance,
        /// The amount that would have been reserved.
        taken: Amount,
        /// The worker's capacity.
        capacity: Amount,
    },
    /// A run was to resume from a checkpoint that doesn't exist or belongs to another task.
    WrongCheckpoint {
        /// The run.
        run: Run,
        /// The checkpoint.
        checkpoint: Checkpoint,
    },
}

/// The way in which a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It completed.
    Done,
    /// It failed.
    Failed,
    /// It was checkpointed and ended.
    Evicted,
    /// It was stopped on command.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Its worker was killed.
    Killed,
}

/// The number of runs, by the way in which they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Runs started.
    pub started: u64,
    /// Of these, started from a checkpoint.
    pub resumed: u64,
    /// Runs completed.
    pub done: u64,
    /// Runs failed.
    pub failed: u64,
    /// Runs evicted.
    pub evicted: u64,
    /// Runs stopped on command.
    pub stopped: u64,
    /// Runs ended by an expired lease.
    pub lapsed: u64,
    /// Runs ended because their worker was killed.
    pub killed: u64,
    /// Tasks completed.
    pub tasks_done: u64,
    /// Repeated completions of a task, for example because the first result was lost with its
    /// worker.
    pub redone: u64,
    /// Violations.
    pub violations: u64,
}

#[derive(Clone, Debug)]
struct Active {
    run: Run,
    instance: Instance,
}

#[derive(Clone, Debug)]
struct Saved {
    task: Task,
    progress: Duration,
}

/// The record of all runs.
#[derive(Debug, Default)]
pub struct Ledger {
    count: Count,
    active: BTreeMap<Task, Vec<Active>>,
    started: BTreeSet<Run>,
    latest: BTreeMap<Task, Attempt>,
    done: BTreeSet<Task>,
    acknowledged: BTreeSet<Task>,
    checkpoints: BTreeMap<Checkpoint, Saved>,
    violations: Vec<Violation>,
}

impl Ledger {
    /// Returns the counts so far.
    pub fn count(&self) -> Count {
        Count { tasks_done: self.done.len() as u64, ..self.count }
    }

    /// Returns the violations.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Records a violation.
    pub fn record_violation(&mut self, violation: Violation) {
        self.count.violations += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Records a start.
    pub fn start(&mut self, instance: &Instance, run: &Run) {
        self.count.started += 1;
        if !self.started.insert(run.clone()) {
            self.record_violation(Violation::StartedTwice {
                run: run.clone(),
                instance: instance.clone(),
            });
        }
        let task = Task::of(run);
        let latest = self.latest.entry(task.clone()).or_insert(run.attempt);
        let newer = *latest;
        *latest = newer.max(run.attempt);
        if newer > run.attempt {
            let (run, instance) = (run.clone(), instance.clone());
            self.record_violation(Violation::StaleAttempt { run, instance, newer });
        }
        if self.acknowledged.contains(&task) {
            let (run, instance) = (run.clone(), instance.clone());
            self.record_violation(Violation::StartedAfterDone { run, instance });
        }
        for other in self.active.get(&task).cloned().unwrap_or_default() {
            self.record_violation(Violation::TwoPlaces {
                run: run.clone(),
                instance: instance.clone(),
                other: other.run,
                other_instance: other.instance,
            });
        }
        let active = Active { run: run.clone(), instance: instance.clone() };
        self.active.entry(task).or_default().push(active);
    }

    /// Records an end.
    pub fn end(&mut self, instance: &Instance, run: &Run, end: End) {
        let task = Task::of(run);
        if let Some(active) = self.active.get_mut(&task) {
            active.retain(|other| other.run != *run || other.instance != *instance);
            if active.is_empty() {
                self.active.remove(&task);
            }
        }
        match end {
            End::Done => {
                self.count.done += 1;
                self.count.redone += u64::from(!self.done.insert(task));
            }
            End::Failed => self.count.failed += 1,
            End::Evicted => self.count.evicted += 1,
            End::Stopped => self.count.stopped += 1,
            End::Expired => self.count.lapsed += 1,
            End::Killed => self.count.killed += 1,
        }
    }

    /// Records that the owner has acknowledged a completion, which means that it is in the store.
    pub fn acknowledge(&mut self, run: &Run) {
        self.acknowledged.insert(Task::of(run));
    }

    /// Records a checkpoint.
    pub fn record_checkpoint(&mut self, checkpoint: Checkpoint, run: &Run, progress: Duration) {
        self.checkpoints.insert(checkpoint, Saved { task: Task::of(run), progress });
    }

    /// Returns the progress at which a run starts, which is zero without a checkpoint.
    pub fn resume_progress(&mut self, run: &Run, checkpoint: Option<&Checkpoint>) -> Duration {
        let Some(checkpoint) = checkpoint else { return Duration::ZERO };
        self.count.resumed += 1;
        match self.checkpoints.get(checkpoint) {
            Some(saved) if saved.task == Task::of(run) => saved.progress,
            _ => {
                let (run, checkpoint) = (run.clone(), checkpoint.clone());
                self.record_violation(Violation::WrongCheckpoint { run, checkpoint });
                Duration::ZERO
            }
        }
    }

    /// Returns the active runs with their workers.
    pub fn active(&self) -> impl Iterator<Item = (&Run, &Instance)> {
        self.active.values().flatten().map(|active| (&active.run, &active.instance))
    }

    /// Returns `true` if a task has completed.
    pub fn is_done(&self, task: &Task) -> bool {
        self.done.contains(task)
    }
}

/// Returns a time in whole milliseconds, as on the wire.
pub fn millis(time: Time) -> u64 {
    time.as_millis() as u64
}
