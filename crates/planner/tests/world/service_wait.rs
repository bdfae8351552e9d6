//! Time for which service tasks wait while there is room for two of them.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use cowslipchute_standin::site::worker::Worker;

use super::World;

/// Sampling interval: far shorter than the time in which short tasks come and go.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Time after a service task's last run, or after its job was accepted, in which its wait doesn't
/// count as too long.
const RETURN_TIME: Duration = Duration::from_secs(6);
/// Tasks, or gangs, of the waiting step for which there has to be room.
const MIN_SLOTS: u32 = 2;

/// Which waits are measured.
#[derive(Clone, Copy, Debug)]
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// All, beside room on any worker that is up and not evacuated.
    All,
    /// Those from `RETURN_TIME` after the task's last run, beside room on workers that an observer
    /// would use.
    AfterRun,
    /// The same while the world is calm.
    Calm,
    /// Those of tasks that have run before, whatever is free.
    Away,
}

/// Start of the wait of service tasks while there is room for two of them, and the longest such
/// wait of each with its end.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    since: BTreeMap<TaskId, Time>,
    pub longest: BTreeMap<TaskId, (Duration, Time)>,
}

impl Watch {
    /// Returns the longest wait of any task.
    pub fn max(&self) -> Duration {
        self.longest.values().map(|(wait, _)| *wait).max().unwrap_or_default()
    }

    /// Returns the tasks that waited for longer, each with its longest wait and the end of it.
    pub fn over(&self, most: Duration) -> BTreeMap<TaskId, (Duration, Time)> {
        let over = self.longest.iter().filter(|(_, (wait, _))| *wait > most);
        over.map(|(task, wait)| (*task, *wait)).collect()
    }
}

/// Measurements of the waits, and the last time at which each service task ran on a worker.
#[derive(Clone, Debug, Default)]
pub struct ServiceWaits {
    watches: BTreeMap<Scope, Watch>,
    last_runs: BTreeMap<TaskId, Time>,
    next_at: Time,
}

impl ServiceWaits {
    /// Starts a measurement.
    pub fn watch(&mut self, scope: Scope) {
        self.watches.insert(scope, Watch::default());
    }

    /// Returns a measurement that was started.
    pub fn of(&self, scope: Scope) -> &Watch {
        self.watches.get(&scope).expect("the measurement was started")
    }
}

impl World {
    /// Records the service tasks that run, and samples those that don't.
    pub(super) fn watch_service_wait(&mut self) {
        self.record_last_runs();
        if self.service_waits.watches.is_empty() || self.now < self.service_waits.next_at {
            return;
        }
        self.service_waits.next_at = self.now + SAMPLE_INTERVAL;
        let mut watches = std::mem::take(&mut self.service_waits.watches);
        for (&scope, watch) in &mut watches {
            self.sample_service_wait(scope, watch);
        }
        self.service_waits.watches = watches;
    }

    fn record_last_runs(&mut self) {
        let last_runs = &mut self.service_waits.last_runs;
        for (run, active) in self.workers.values().flat_map(|worker| &worker.active) {
            if active.step.long_running {
                last_runs.insert(run.task, self.now);
            }
        }
    }

    /// Records that a run of a service task has begun: its worker may crash before the next look.
    pub(super) fn record_service_start(&mut self, task: TaskId) {
        if self.step_of(task).long_running {
            self.service_waits.last_runs.insert(task, self.now);
        }
    }

    fn sample_service_wait(&self, scope: Scope, watch: &mut Watch) {
        let mut since = BTreeMap::new();
        for task in self.waiting_service_tasks() {
            if self.counts(scope, task) && self.has_room_for_two(scope, task) {
                let began = watch.since.get(&task).copied().unwrap_or(self.now);
                let longest = watch.longest.entry(task).or_default();
                *longest = (*longest).max((self.now - began, self.now));
                since.insert(task, began);
            }
        }
        watch.since = since;
    }

    /// Returns `true` if a waiting service task counts as missing now.
    pub(super) fn is_missed(&self, task: TaskId) -> bool {
        self.counts(Scope::Calm, task) && self.has_room_for_two(Scope::Calm, task)
    }

    fn counts(&self, scope: Scope, task: TaskId) -> bool {
        match scope {
            Scope::All => true,
            Scope::AfterRun => self.should_be_back(task),
            Scope::Calm => self.is_calm() && self.should_be_back(task),
            Scope::Away => self.has_run(task),
        }
    }

    /// Returns `true` if the task's last run, or its submission, is long enough ago.
    fn should_be_back(&self, task: TaskId) -> bool {
        let submitted = self.submitted_at[&task.job];
        let last = self.service_waits.last_runs.get(&task).copied().unwrap_or(submitted);
        let cancelled = self.jobs.get(&task.job).is_some_and(|job| job.cancelled);
        self.now >= last + RETURN_TIME && !cancelled
    }

    /// Returns `true` if the task has run before and its job isn't cancelled.
    fn has_run(&self, task: TaskId) -> bool {
        let cancelled = self.jobs.get(&task.job).is_some_and(|job| job.cancelled);
        self.service_waits.last_runs.contains_key(&task) && !cancelled
    }

    fn has_room_for_two(&self, scope: Scope, task: TaskId) -> bool {
        let step = self.step_of(task);
        let slots: u32 = match scope {
            Scope::Away => return true,
            Scope::All => {
                let usable =
                    self.workers.values().filter(|worker| worker.up && !self.is_evacuated(worker));
                usable
                    .map(|worker| count_slots(free(worker).cpu_milli, step.demand.cpu_milli))
                    .sum()
            }
            Scope::AfterRun | Scope::Calm => {
                let usable = self.usable().filter(|worker| !worker.draining);
                usable.map(|worker| permitted_slots(worker, task, step)).sum()
            }
        };
        let tasks = if step.gang && scope != Scope::All { step.count } else { 1 };
        slots >= MIN_SLOTS * tasks
    }

    fn step_of(&self, task: TaskId) -> &Step {
        &self.specs[&task.job].spec.steps[usize::from(task.step)]
    }

    pub(super) fn waiting_service_tasks(&self) -> Vec<TaskId> {
        let mut waiting = Vec::new();
        for (&job, accepted) in &self.specs {
            if self.ends.contains_key(&job) || accepted.spec.schedule.is_some() {
                continue;
            }
            for (index, step) in accepted.spec.steps.iter().enumerate() {
                if !step.long_running || !step.after.is_empty() {
                    continue;
                }
                let id = |task| TaskId { job, occurrence: 0, step: index as _, index: task };
                waiting.extend((0..step.count).map(id).filter(|&task| !self.runs(task)));
            }
        }
        waiting
    }

    fn runs(&self, task: TaskId) -> bool {
        let mut runs = self.workers.values().flat_map(|worker| worker.active.keys());
        runs.any(|run| run.task == task)
    }
}

/// Returns the capacity that isn't reserved: best-effort tasks reserve no processors.
fn free(worker: &Worker) -> Amount {
    let demands = worker.active.values().map(|active| {
        let cpu_milli = if active.step.best_effort { 0 } else { active.step.demand.cpu_milli };
        Amount { cpu_milli, ..active.step.demand }
    });
    demands.fold(worker.capacity, Amount::minus)
}

/// Returns how many tasks of the step fit on a worker that it may use.
fn permitted_slots(worker: &Worker, task: TaskId, step: &Step) -> u32 {
    let label = step.required_label.as_deref();
    if label.is_some_and(|label| label != "a" && label != &*worker.rack) {
        return 0;
    }
    let room = free(worker);
    let fitting = count_slots(room.cpu_milli, step.demand.cpu_milli)
        .min(count_slots(room.memory_mib, step.demand.memory_mib));
    let of_step = worker.active.keys().filter(|run| run.task.step_id() == task.step_id());
    let permitted = match step.max_per_worker {
        0 => u32::MAX,
        most => most.saturating_sub(of_step.count() as u32),
    };
    fitting.min(permitted)
}

fn count_slots(free: u32, demand: u32) -> u32 {
    free / demand.max(1)
}
