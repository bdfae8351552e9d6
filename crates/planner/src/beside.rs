//! Room that has stayed free beside tasks that last.
//!
//! Pattern answered: tasks that last would fill the cell, and what they take is gone for the day. Beside room that
//! stays free they must not wait for long. But room that short tasks use by turns doesn't stay free: taking
//! each gap between two of them leaves, in the end, no gap in which a large short task fits, and such jobs
//! starve while a twentieth of the cell is free in pieces. So what is kept for short tasks is given up only as far
//! as it has been free all the while, which nobody misses.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::worker::WorkerId;

/// A gap that is over sooner than two of these counts as free: between two short tasks lie the store and
/// the worker's answer, some tens of milliseconds.
const SPAN: Duration = Duration::from_millis(150);
/// Spans that have to be free: two seconds. After three a task that waits beside room counts as lost.
const SPANS: usize = 13;

/// A step that waits is looked at twice a second at least; one that isn't for so long has not waited meanwhile.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

/// How many more tasks of a step there was room for lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Beside {
    /// The most in each span that is over, the last one at the end. What tasks that last have taken is counted
    /// as free.
    spans: SmallVec<[u64; SPANS]>,
    /// The most in this span.
    most: u64,
    /// What was seen last.
    last: u64,
    /// When this span began.
    began: Option<Time>,
}

impl Beside {
    /// Takes in for how many tasks there is room now; `taken` were placed before by giving up room. Returns
    /// for how many there has been all the while.
    pub(crate) fn look(&mut self, now: Time, slots: u32, taken: u64) -> u64 {
        let total = u64::from(slots) + taken;
        if self.began.is_some_and(|began| now >= began + LONGEST_PAUSE) {
            // Its tasks haven't waited all the while.
            *self = Beside::default();
        }
        let mut began = *self.began.get_or_insert(now);
        while now >= began + SPAN {
            if self.spans.len() == SPANS {
                self.spans.remove(0);
            }
            self.spans.push(self.most);
            self.most = self.last;
            began += SPAN;
        }
        self.began = Some(began);
        self.most = self.most.max(total);
        self.last = total;
        if self.spans.len() < SPANS {
            return 0;
        }
        let least = self.spans.iter().copied().min().unwrap_or(0);
        least.min(total).saturating_sub(taken)
    }
}

impl Planner {
    /// Returns what is free on each open worker, the most processors first.
    pub(crate) fn rooms(&self, open: &[WorkerId]) -> Vec<Amount> {
        let mut rooms: Vec<Amount> = open.iter().map(|&id| self.workers[id].room()).collect();
        rooms.sort_unstable_by_key(|room| Reverse(room.cpu_milli));
        rooms
    }

    /// Returns for how many tasks of a step that lasts there has been room all the while.
    pub(crate) fn slots_beside(&mut self, step: StepId, spec: &Step, rooms: &[Amount]) -> u64 {
        let demand = spec.demand;
        let wide = rooms.iter().take_while(|room| room.cpu_milli >= demand.cpu_milli);
        let fitting = wide.filter(|&&room| demand.fits(room));
        let slots = fitting.map(|room| room.cpu_milli.checked_div(demand.cpu_milli).unwrap_or(1));
        let slots = slots.sum();
        self.look_beside(step, slots)
    }

    /// Takes in for how many tasks of a step that lasts there is room.
    pub(crate) fn look_beside(&mut self, step: StepId, slots: u32) -> u64 {
        let (now, taken) = (self.now, self.given_up);
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        state.map_or(0, |state| state.beside.look(now, slots, taken))
    }
}
