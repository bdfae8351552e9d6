//! Choice of the worker for the next task of a step.
//!
//! A step of dozens of tasks may have a thousand workers to choose from. Each is scored once for
//! the step. After that a task only scores the best candidate again, since placing a task on a
//! worker changes the score of no other worker.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::workers::worker::WorkerId;

/// A worker that may take a task. Of candidates with equal scores the one with the lower index is
/// preferred, so that the result doesn't depend on the order of scoring.
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
    /// Returns the workers that may take a task of a step, with their scores.
    pub(crate) fn candidates(
        &self,
        request: &Request<'_>,
        open: &[WorkerId],
    ) -> BinaryHeap<Candidate> {
        let candidates = open.iter().filter_map(|&worker| {
            Some(Candidate { score: self.score(&self.workers[worker], request)?, worker })
        });
        candidates.collect()
    }

    /// Chooses the best candidate for one more task of the step, and the avoided worker only if
    /// there is no other. Only the best candidate is scored again, since a placement changes the
    /// score of its own worker alone.
    pub(crate) fn choose_candidate(
        &self,
        request: &Request<'_>,
        avoided: Option<WorkerId>,
        candidates: &mut BinaryHeap<Candidate>,
    ) -> Option<WorkerId> {
        let mut fallback = None;
        let mut chosen = None;
        while let Some(best) = candidates.pop() {
            if avoided == Some(best.worker) && fallback.is_none() {
                fallback = Some(best.worker);
                continue;
            }
            let Some(score) = self.score(&self.workers[best.worker], request) else { continue };
            candidates.push(Candidate { score, worker: best.worker });
            if score >= best.score {
                chosen = Some(best.worker);
                break;
            }
        }
        let Some(worker) = fallback else { return chosen };
        let Some(score) = self.score(&self.workers[worker], request) else { return chosen };
        candidates.push(Candidate { score, worker });
        chosen.or(Some(worker))
    }
}
