//! Time for which service tasks wait while there is room for two of them.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use super::World;

/// Sampling interval: far shorter than the time in which short tasks come and go.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);

/// Start of the wait of service tasks while there is room for two of them, and the longest such
/// wait.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    since: BTreeMap<TaskId, Time>,
    pub longest: Duration,
    next_at: Time,
}

impl World {
    /// Samples the service tasks that don't run.
    pub(super) fn watch_service_wait(&mut self) {
        let Some(mut watch) = self.service_wait.take() else { return };
        if self.now >= watch.next_at {
            watch.next_at = self.now + SAMPLE_INTERVAL;
            self.sample_service_wait(&mut watch);
        }
        self.service_wait = Some(watch);
    }

    fn sample_service_wait(&self, watch: &mut Watch) {
        let usable = self.workers.values().filter(|worker| worker.up && !self.is_evacuated(worker));
        let rooms: Vec<Amount> = usable.map(free).collect();
        let mut since = BTreeMap::new();
        for task in self.waiting_service_tasks() {
            let step = self.step_of(task);
            if count_slots(&rooms, step.demand) >= 2 {
                let began = watch.since.get(&task).copied().unwrap_or(self.now);
                watch.longest = watch.longest.max(self.now - began);
                since.insert(task, began);
            }
        }
        watch.since = since;
    }

    fn step_of(&self, task: TaskId) -> &Step {
        &self.specs[&task.job].spec.steps[usize::from(task.step)]
    }

    fn waiting_service_tasks(&self) -> Vec<TaskId> {
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

fn free(worker: &cowslipchute_standin::site::worker::Worker) -> Amount {
    let reserving = worker.active.values().filter(|active| !active.step.best_effort);
    reserving.fold(worker.capacity, |room, active| room.minus(active.step.demand))
}

fn count_slots(rooms: &[Amount], demand: Amount) -> u32 {
    rooms.iter().map(|room| room.cpu_milli / demand.cpu_milli.max(1)).sum()
}
