//! Who was placed while a step waits.
//!
//! Pattern answered: a step waits for seconds in a cell where thousands of tasks start. Whether the room it
//! needs was taken by smaller tasks that came later, or for good by tasks that last, can't be told from what is
//! free; so the owner says it of each step that waits, from time to time.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::planner::Planner;

/// How often it is told of a step that waits: a few times as long as a short task takes, so that a step which
/// waits for its turn isn't told of, and a hundred that wait cost some ten lines a second.
pub(crate) const BYPASS_INTERVAL: Duration = Duration::from_secs(4);
/// Placements that are remembered: four seconds of a cell of a thousand workers, in half a megabyte.
const MAX_PLACEMENTS: usize = 16_000;

/// A place that was given to a task which reserves its processors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    pub(crate) at: Time,
    /// The order of its job.
    pub(crate) order: u64,
    /// What it reserves, in thousandths of a processor.
    pub(crate) milli: u32,
    pub(crate) long_running: bool,
}

/// The places that were given lately, oldest first.
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
    /// Tells who was placed since it was last told that a step waits.
    pub(crate) fn log_bypass(&mut self, step: StepId, spec: &Step) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(state) = job.step(step) else { return };
        let since = self.now.saturating_sub(BYPASS_INTERVAL);
        let mut smaller = 0;
        let mut lasting = 0;
        for placement in self.placements.since(since) {
            if placement.long_running {
                lasting += 1;
            } else if placement.order > job.arrival && placement.milli <= spec.demand.cpu_milli {
                smaller += 1;
            }
        }
        let detail = format!(
            "step {}: {} tasks, reserving {} each; in {} ms {smaller} tasks no larger of jobs that came later, {lasting} tasks that last",
            step.step,
            state.waiting,
            spec.demand.cpu_milli,
            BYPASS_INTERVAL.as_millis()
        );
        self.note(LogEvent::StepPassed, Some(step.job), None, None, detail);
    }
}
