//! Who comes first.
//!
//! Pattern answered: more work than room. Then it matters which jobs are finished in time, not who
//! came first: a job is worth most while it can still meet its objective, little until three times
//! that, and almost nothing afterwards. Within a priority, jobs are ordered by what is still gained
//! for each core-second that is left. A floor keeps a large job's value near its work, so that
//! small jobs don't starve large ones of their own queue.

use std::time::Duration;

use cowslipchute_ports::job::JobId;

use crate::job::Job;
use crate::planner::Planner;

/// Part of a job's worth that doesn't depend on its size (the users' page on payoff).
const FIXED_PART: f64 = 0.3;
/// What a job is still worth between one and three times its objective (the users' sheets: 0.15 of
/// the worth in time).
const LATE_WORTH: f64 = 0.15;
/// What a job that is later still is worth here: not nothing, so that it is done in idle time.
const LOST_WORTH: f64 = 0.02;
/// Up to this many times the objective a job counts as late and not as lost.
const LATE_LIMIT: f64 = 3.0;
/// Core-seconds below which a job counts no smaller.
const LEAST_WORK: f64 = 0.5;

/// Place of a job in the order; lower comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    priority: u8,
    gain: f64,
    order: u64,
}

impl Rank {
    pub(crate) fn compare(&self, other: &Rank) -> std::cmp::Ordering {
        self.priority
            .cmp(&other.priority)
            .then(other.gain.total_cmp(&self.gain))
            .then(self.order.cmp(&other.order))
    }
}

impl Planner {
    /// Orders the jobs that wait for a place.
    pub(crate) fn ranked(&self) -> Vec<JobId> {
        let mut ranked: Vec<(Rank, JobId)> = self
            .waiting
            .iter()
            .filter_map(|&id| Some((self.rank(self.jobs.get(&id)?), id)))
            .collect();
        ranked.sort_by(|a, b| a.0.compare(&b.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns how long after it was due a job is done if all goes well from now on.
    fn finish_time(&self, job: &Job) -> Duration {
        self.now.saturating_sub(job.due_since()) + job.chain_left()
    }

    /// Tells whether a job can't be done in time any more.
    pub(crate) fn is_late(&self, job: &Job) -> bool {
        self.finish_time(job) > job.objective()
    }

    /// Tells whether a job can't be done any more before it counts as lost.
    pub(crate) fn is_lost(&self, job: &Job) -> bool {
        self.finish_time(job) > job.objective().mul_f64(LATE_LIMIT)
    }

    fn rank(&self, job: &Job) -> Rank {
        let weight = if self.is_lost(job) {
            LOST_WORTH
        } else if self.is_late(job) {
            LATE_WORTH
        } else {
            1.0
        };
        let work = job.work.max(LEAST_WORK);
        let mean = self.mean_work(&job.accepted.queue).unwrap_or(work);
        let value = FIXED_PART + (1.0 - FIXED_PART) * work / mean;
        let gain = weight * value / job.work_left().max(LEAST_WORK);
        Rank { priority: job.terms.priority, gain, order: job.order }
    }
}
