//! Gangs of the planner's world: they work once all members run, and end together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cowslipchute_base::id;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::StepId;

use super::World;

impl World {
    /// Lets a gang work once all its runs are there.
    pub(super) fn join_gangs(&mut self) {
        let mut present: BTreeMap<(StepId, id::Attempt), u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.up) {
            for (run, active) in &worker.active {
                if active.step.gang {
                    *present.entry((run.task.step_id(), run.attempt)).or_insert(0) += 1;
                }
            }
        }
        for worker in self.workers.values_mut() {
            for (run, active) in &mut worker.active {
                let gang = (run.task.step_id(), run.attempt);
                if active.step.gang && present[&gang] == active.step.count {
                    active.waits_for_gang = false;
                }
            }
        }
    }

    /// Ends the rest of the gangs of runs that were lost without an end.
    pub(super) fn break_gangs(&mut self, lost_runs: &[Run]) {
        let broken: BTreeSet<(StepId, id::Attempt)> =
            lost_runs.iter().map(|run| (run.task.step_id(), run.attempt)).collect();
        let now = self.now;
        for worker in self.workers.values_mut() {
            for (run, active) in &mut worker.active {
                if active.step.gang && broken.contains(&(run.task.step_id(), run.attempt)) {
                    active.ending.get_or_insert((now, EndReason::GangEnded));
                }
            }
        }
    }
}
