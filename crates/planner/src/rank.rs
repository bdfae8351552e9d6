//! Who comes first.
//!
//! Pattern answered: more work than room. Then it matters which jobs are finished in time: a job is worth most while
//! it can still meet its objective, little until three times that, and almost nothing afterwards. Within a
//! priority, jobs that last come first and are held to the room that is theirs ([`crate::idle`]); then short jobs:
//! those that are late and have begun, those that can be in time, other late ones, and among equals whoever came
//! first. Their size doesn't count: small ones first would finish a few more, and starve the large ones of a full
//! queue. Jobs of tasks that fill are ordered by what is still gained for each core-second that is left.

use cowslipchute_base::size::LATE_LIMIT;
use cowslipchute_ports::job::JobId;

use crate::job::Job;
use crate::planner::Planner;

/// Part of a job's worth that doesn't depend on its size (the users' page on payoff).
const FIXED_VALUE: f64 = 0.3;
/// What a job is still worth between one and three times its objective (the users' sheets: 0.15 of
/// the worth in time).
const LATE_VALUE: f64 = 0.15;
/// What a late short job counts whose work has begun: it comes before those that can be in time, since what is done of it
/// would be lost. A job of many tasks gathers its room piece by piece, and is often late before it has all.
const STARTED_LATE_VALUE: f64 = 1.5;
/// What a job that is later still is worth here: not nothing, so that it is done in idle time.
const LOST_VALUE: f64 = 0.02;
/// Core-seconds below which a job counts no smaller.
const MIN_WORK: f64 = 0.5;

/// How soon a job is done if all goes well from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prospect {
    /// In time.
    InTime,
    /// After its objective, and before it counts as lost.
    Late,
    /// Later than that.
    Lost,
}

impl Prospect {
    /// Returns the part of its worth that the job still earns.
    fn weight(self) -> f64 {
        match self {
            Prospect::InTime => 1.0,
            Prospect::Late => LATE_VALUE,
            Prospect::Lost => LOST_VALUE,
        }
    }
}

/// Place of a job in the order; lower comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    priority: u8,
    value: f64,
    order: u64,
}

impl Rank {
    pub(crate) fn compare(&self, other: &Rank) -> std::cmp::Ordering {
        self.priority
            .cmp(&other.priority)
            .then(other.value.total_cmp(&self.value))
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

    fn prospect(&self, job: &Job) -> Prospect {
        let finish = self.now.saturating_sub(job.due_since()) + job.remaining_critical_path();
        let objective = job.objective();
        if finish <= objective {
            Prospect::InTime
        } else if finish <= objective.mul_f64(LATE_LIMIT) {
            Prospect::Late
        } else {
            Prospect::Lost
        }
    }

    /// Tells whether a job can't be done in time any more.
    pub(crate) fn is_late(&self, job: &Job) -> bool {
        self.prospect(job) != Prospect::InTime
    }

    /// Tells whether a job can't be done any more before it counts as lost.
    pub(crate) fn is_lost(&self, job: &Job) -> bool {
        self.prospect(job) == Prospect::Lost
    }

    fn rank(&self, job: &Job) -> Rank {
        let steps = &job.accepted.spec.steps;
        let value = if steps.iter().all(|step| step.long_running) {
            f64::INFINITY
        } else if steps.iter().any(|step| step.fills) {
            self.prospect(job).weight() * self.value_density(job)
        } else {
            match self.prospect(job) {
                Prospect::Late if job.started => STARTED_LATE_VALUE,
                prospect => prospect.weight(),
            }
        };
        Rank { priority: job.policy.priority, value, order: job.arrival }
    }

    /// Returns a job's worth against its queue's mean, for each core-second that is left of it.
    fn value_density(&self, job: &Job) -> f64 {
        let work = job.work.max(MIN_WORK);
        let mean = self.mean_work(&job.accepted.queue).unwrap_or(work);
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * work / mean;
        value / job.remaining_work().max(MIN_WORK)
    }
}
