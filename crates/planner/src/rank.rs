//! Who comes first.
//!
//! Pattern answered: more work than room. Then it matters which jobs are finished in time: a job is worth most while
//! it can still meet its objective, little until three times that, and almost nothing afterwards. Within a
//! priority, jobs that last come first and are held to the room that is theirs ([`crate::idle`]); then short jobs,
//! those that can be in time before those that can't, and among equals whoever came first. Their size doesn't
//! count: small ones first would finish a few more, and starve the large ones of a full queue. Jobs of tasks that
//! fill are ordered by what is still gained for each core-second that is left.

use std::time::Duration;

use cowslipchute_ports::job::JobId;

use crate::job::Job;
use crate::planner::Planner;

/// Part of a job's worth that doesn't depend on its size (the users' page on payoff).
const FIXED_PART: f64 = 0.3;
/// What a job is still worth between one and three times its objective (the users' sheets: 0.15 of
/// the worth in time).
const LATE_WORTH: f64 = 0.15;
/// What a late short job counts whose work has begun: it comes before others that are late, since what is done
/// of it would be lost, and after those that can be in time. Served among the latter it costs 0.02 of all
/// worth on full days, with no more large jobs served in time.
const BEGUN_LATE_WORTH: f64 = 0.5;
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
        let steps = &job.accepted.spec.steps;
        let gain = if steps.iter().all(|step| step.long_running) {
            f64::INFINITY
        } else if steps.iter().any(|step| step.fills) {
            self.weight(job) * self.value_by_work(job)
        } else {
            self.weight_of_short(job)
        };
        Rank { priority: job.terms.priority, gain, order: job.order }
    }

    /// Returns the part of its worth that a job still earns if all goes well.
    fn weight(&self, job: &Job) -> f64 {
        if self.is_lost(job) {
            LOST_WORTH
        } else if self.is_late(job) {
            LATE_WORTH
        } else {
            1.0
        }
    }

    fn weight_of_short(&self, job: &Job) -> f64 {
        let begun_late = job.started && self.is_late(job) && !self.is_lost(job);
        if begun_late { BEGUN_LATE_WORTH } else { self.weight(job) }
    }

    /// Returns a job's worth against its queue's mean, for each core-second that is left of it.
    fn value_by_work(&self, job: &Job) -> f64 {
        let work = job.work.max(LEAST_WORK);
        let mean = self.mean_work(&job.accepted.queue).unwrap_or(work);
        let value = FIXED_PART + (1.0 - FIXED_PART) * work / mean;
        value / job.work_left().max(LEAST_WORK)
    }
}
