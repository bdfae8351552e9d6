//! Placement of tasks that are slower away from their data or from each other.
//!
//! Many jobs may want the same rack. Running elsewhere takes longer by a known factor, while the
//! wait for the rack is unknown. So a task waits for workers of its rack for half of the time that
//! it would lose elsewhere, but no longer than a few seconds, and then takes any free capacity.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::planner::Planner;
use crate::queue::task::Place;
use crate::workers::command::Timer;
use crate::workers::worker::WorkerId;

/// Fraction of the time lost elsewhere for which a task waits for a worker of its rack: a wait that
/// hasn't ended by then is expected to take as long again.
const WAIT_FRACTION: f64 = 0.5;
/// Maximum time for which a task waits for its rack: one that waits beside free capacity for three
/// seconds counts as lost.
const MAX_RACK_WAIT: Duration = Duration::from_secs(2);

impl Planner {
    /// Narrows the open workers down to those in the rack of a step's data or of its other tasks,
    /// unless its tasks have waited for those long enough.
    pub(crate) fn prefer_rack(
        &mut self,
        step: StepId,
        spec: &Step,
        open: Vec<WorkerId>,
    ) -> Vec<WorkerId> {
        if spec.data_rack.is_none() && !spec.same_rack {
            return open;
        }
        let rack = match &spec.data_rack {
            Some(rack) => Some(rack.clone()),
            None => self.common_rack(step, spec, &open),
        };
        let Some(rack) = rack else { return open };
        let near: Vec<WorkerId> = open
            .iter()
            .copied()
            .filter(|&worker| self.workers[worker].rack.as_ref() == Some(&rack))
            .collect();
        let until = self.rack_deadline(step, spec);
        if near.is_empty() || self.now >= until {
            return open;
        }
        self.timers.insert((until, Timer::Place));
        near
    }

    /// Returns the time until which it pays for a step's tasks to wait for their rack.
    fn rack_deadline(&self, step: StepId, spec: &Step) -> Time {
        let lost =
            spec.estimate.mul_f64((self.settings.remote_slowdown - 1.0).max(0.0) * WAIT_FRACTION);
        let state = self.jobs[&step.job].step(step);
        let tasks = state.into_iter().flat_map(|state| &state.tasks);
        let since =
            tasks.filter(|task| task.place == Place::Waiting).map(|task| task.waiting_since).min();
        since.map_or(self.now, |since| since + lost.min(MAX_RACK_WAIT))
    }

    /// Returns the rack of a step's placed tasks, or else the one with the most free capacity for
    /// its tasks.
    fn common_rack(&self, step: StepId, spec: &Step, open: &[WorkerId]) -> Option<id::Rack> {
        let state = self.jobs[&step.job].step(step)?;
        let placed_rack = state.tasks.iter().find_map(|task| match task.place {
            Place::At(worker) => self.workers.get(worker)?.rack.clone(),
            Place::Waiting | Place::Done => None,
        });
        if placed_rack.is_some() {
            return placed_rack;
        }
        let mut racks: Vec<(id::Rack, Vec<WorkerId>)> = Vec::new();
        for &worker in open {
            let Some(rack) = &self.workers[worker].rack else { continue };
            match racks.iter_mut().find(|(known, _)| known == rack) {
                Some((_, workers)) => workers.push(worker),
                None => racks.push((rack.clone(), vec![worker])),
            }
        }
        let roomiest = racks
            .into_iter()
            .max_by_key(|(_, workers)| self.count_slots(step, spec, workers, false));
        roomiest.map(|(rack, _)| rack)
    }
}
