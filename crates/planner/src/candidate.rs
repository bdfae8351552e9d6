//! Which worker takes the next task of a step.
//!
//! Pattern answered: a step of dozens of tasks meets a thousand workers. Each is rated once for the step;
//! after that a task costs a look at the best alone, since what a worker is given changes its own rating
//! and no other's.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::fit::Request;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// A worker that may take a task. Of equal ones the lower index comes first, so that the order in which
/// they were asked is of no matter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    score: f64,
    pub(crate) worker: WorkerId,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Candidate) -> Ordering {
        self.score.total_cmp(&other.score).then_with(|| other.worker.cmp(&self.worker))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Candidate) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Candidate) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Candidate {}

impl Planner {
    /// Rates the workers that may take a task of a step.
    pub(crate) fn candidates(
        &self,
        request: &Request<'_>,
        open: &[WorkerId],
    ) -> BinaryHeap<Candidate> {
        let rated = open.iter().filter_map(|&worker| {
            Some(Candidate { score: self.score(&self.workers[worker], request)?, worker })
        });
        rated.collect()
    }

    /// Chooses the best of rated workers for one more task of the step; one that it shuns only if there
    /// is no other. What a worker is given changes its own rating alone, so only the best is rated anew.
    pub(crate) fn choose_candidate(
        &self,
        request: &Request<'_>,
        shunned: Option<WorkerId>,
        rated: &mut BinaryHeap<Candidate>,
    ) -> Option<WorkerId> {
        let mut last_choice = None;
        let mut chosen = None;
        while let Some(best) = rated.pop() {
            if shunned == Some(best.worker) && last_choice.is_none() {
                last_choice = Some(best.worker);
                continue;
            }
            let Some(score) = self.score(&self.workers[best.worker], request) else { continue };
            rated.push(Candidate { score, worker: best.worker });
            if score >= best.score {
                chosen = Some(best.worker);
                break;
            }
        }
        let Some(worker) = last_choice else { return chosen };
        let Some(score) = self.score(&self.workers[worker], request) else { return chosen };
        rated.push(Candidate { score, worker });
        chosen.or(Some(worker))
    }
}
