//! Log of the tasks that are placed while a step waits.
//!
//! A step may wait for seconds in a cell where thousands of tasks start. The free capacity doesn't
//! show whether the capacity it needs went to smaller tasks of later jobs, or for good to service
//! tasks. So the owner logs both counts for each waiting step at an interval.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::planner::Planner;

/// Interval of the log for a waiting step: a few times the duration of a short task, so that a step
/// that waits for its turn isn't logged, and a hundred waiting steps log about ten lines a second.
pub(crate) const BYPASS_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum number of placements kept: four seconds of a cell of a thousand workers, in half a
/// megabyte.
const MAX_PLACEMENTS: usize = 16_000;

/// A placement of a task that reserves its CPU.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) at: Time,
    /// Arrival number of its job.
    pub(crate) arrival: u64,
    /// Its CPU reservation, in millicores.
    pub(crate) milli: u32,
    pub(crate) long_running: bool,
}

/// Recent placements, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct Placements {
    recent: VecDeque<Placement>,
}

impl Placements {
    pub(crate) fn push(&mut self, placement: Placement) {
        let too_old = |old: &Placement| old.at + BYPASS_INTERVAL < placement.at;
        while self.recent.len() >= MAX_PLACEMENTS || self.recent.front().is_some_and(too_old) {
            self.recent.pop_front();
        }
        self.recent.push_back(placement);
    }

    fn since(&self, time: Time) -> impl Iterator<Item = &Placement> {
        self.recent.iter().rev().take_while(move |placement| placement.at >= time)
    }
}

impl Planner {
    /// Logs what was placed in the last [`BYPASS_INTERVAL`] while a step was waiting.
    pub(crate) fn log_bypass(&mut self, step: StepId, spec: &Step) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(state) = job.step(step) else { return };
        let since = self.now.saturating_sub(BYPASS_INTERVAL);
        let mut smaller = 0;
        let mut services = 0;
        for placement in self.placements.since(since) {
            if placement.long_running {
                services += 1;
            } else if placement.arrival > job.arrival && placement.milli <= spec.demand.cpu_milli {
                smaller += 1;
            }
        }
        let detail = format!(
            "step {}: {} waiting tasks of {} millicores each; placed in the last {} ms: {smaller} tasks of later jobs that are no larger, {services} service tasks",
            step.step,
            state.waiting,
            spec.demand.cpu_milli,
            BYPASS_INTERVAL.as_millis()
        );
        self.note(LogEvent::StepPassed, Some(step.job), None, None, detail);
    }
}
