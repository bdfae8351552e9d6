//! Invariants of the planner's world, checked at every moment and for every start.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_planner::planner::Planner;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::TaskId;
use cowslipchute_standin::site::worker::Worker;

use super::World;

impl World {
    /// Records the ends that a worker has been told to forget, unless it has seen a higher epoch:
    /// from then on they are final.
    pub(super) fn acknowledge(&mut self, name: &str, epoch: id::Epoch, number: u64) {
        let accepts = |worker: &&mut Worker| worker.up && worker.epoch <= epoch;
        let Some(worker) = self.by_name(name).filter(accepts) else { return };
        let host = worker.host();
        let acknowledged_tasks: Vec<TaskId> = worker
            .ended
            .iter()
            .filter(|end| end.number <= number && end.reason == EndReason::Done)
            .map(|end| end.run.task)
            .collect();
        for task in acknowledged_tasks {
            self.check_stored(task);
            self.acknowledged.insert(task);
        }
        let broken = self.run_ends.acknowledge(&host, number);
        assert!(broken.is_empty(), "{broken:#?}");
    }

    /// Checks that what is acknowledged can be read from the store.
    fn check_stored(&self, task: TaskId) {
        let is_service = self.specs[&task.job].spec.steps[usize::from(task.step)].long_running;
        if is_service || self.ends.contains_key(&task.job) {
            return;
        }
        let record = self.records.get(&task.job).expect("a job with an end has a record");
        let occurrence =
            record.occurrences.iter().find(|occurrence| occurrence.number == task.occurrence);
        let Some(occurrence) = occurrence else { return };
        let stored = &occurrence.steps[usize::from(task.step)][task.index as usize];
        assert!(stored.done, "the end of {task} is acknowledged but not in the store");
    }

    pub(super) fn check_start(&mut self, run: Run) {
        let task = run.task;
        self.check_crash_limit(run);
        let step = &self.specs[&task.job].spec.steps[usize::from(task.step)];
        assert!(
            step.long_running || !self.acknowledged.contains(&task),
            "{task} is started after its end was acknowledged"
        );
        for &earlier in &step.after {
            let count = self.specs[&task.job].spec.steps[usize::from(earlier)].count;
            for index in 0..count {
                let before = TaskId { step: earlier, index, ..task };
                let done = self.finished.contains(&before);
                assert!(
                    done || self.acknowledged.contains(&before) || step.gang,
                    "{task} is started before {before} is done"
                );
            }
        }
    }

    /// Records a delayed start that was carried out after an end of its task was acknowledged.
    pub(super) fn record_late_start(&mut self, name: &str, run: Run) {
        let step = &self.specs[&run.task.job].spec.steps[usize::from(run.task.step)];
        if !step.long_running && self.acknowledged.contains(&run.task) {
            self.late_starts.push(format!("{}#{} {name}", run.task, run.attempt));
        }
    }

    /// Checks the invariants that hold at every moment.
    pub(super) fn check(&mut self) {
        let now = self.now;
        if let Some(Err(fault)) = self.planner.as_ref().map(Planner::verify) {
            panic!("the planner's tables disagree: {fault}");
        }
        let mut running: BTreeMap<TaskId, &str> = BTreeMap::new();
        for (machine, worker) in self.workers.iter().filter(|(_, worker)| worker.up) {
            let mut sum = Amount::ZERO;
            for (run, active) in &worker.active {
                let other = running.insert(run.task, &worker.name);
                assert_eq!(other, None, "{} runs twice, also on {}", run.task, worker.name);
                let mut demand = active.step.demand;
                if active.step.best_effort {
                    demand.cpu_milli = 0;
                }
                sum = sum.plus(demand);
            }
            let capacity = worker.capacity;
            let bound = self.bounds.get_mut(machine);
            let allowed = bound.map_or(capacity, |bound| bound.allowed(now, capacity, sum));
            assert!(sum.fits_within(allowed), "{} holds more than its capacity", worker.name);
        }
    }
}
