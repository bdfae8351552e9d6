//! Order in which waiting jobs are placed.
//!
//! With more work than capacity the order decides which jobs finish in time. A job has its full
//! value while it can still meet its objective, little until three times the objective, and almost
//! none afterwards. Within a priority, jobs of service tasks come first and are limited to their
//! capacity ([`crate::capacity::idle`]). Jobs with best-effort tasks are ordered by the value that is still
//! to be gained per remaining core-second.

use std::time::Duration;

use cowslipchute_admission::value;
use cowslipchute_admission::value::MIN_WORK;
use cowslipchute_base::size::MAX_LATE_FACTOR;
use cowslipchute_ports::job::JobId;

use crate::planner::Planner;
use crate::queue::job::Job;

/// Value of a job between one and three times its objective (the users' sheets: 0.15 of the value
/// in time).
const LATE_VALUE: f64 = 0.15;
/// Value of a late short job that has started. It comes before jobs that can be in time, since its
/// finished work would be lost. A job of many tasks gets its capacity piece by piece and is often
/// late before it has all.
const STARTED_LATE_VALUE: f64 = 1.5;
/// The same while the owner is behind. Starts are short then rather than capacity: late jobs that go
/// first would make all later ones late too, for as long as jobs arrive.
const BEHIND_LATE_VALUE: f64 = 0.9;
/// Value of a job that counts as lost. It isn't 0, so that such jobs run in idle time.
const LOST_VALUE: f64 = 0.02;
/// Value of a job that goes ahead of its rank ([`crate::queue::share`]): after service tasks, which
/// are limited to capacity of their own, and before all other jobs of its priority.
const AHEAD_VALUE: f64 = f64::MAX;

/// Earliest possible finish of a job, compared with its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Prospect {
    /// In time.
    InTime,
    /// After its objective, but before it counts as lost.
    Late,
    /// After it counts as lost.
    Lost,
}

impl Prospect {
    /// Returns the fraction of its value that the job still earns.
    fn weight(self) -> f64 {
        match self {
            Prospect::InTime => 1.0,
            Prospect::Late => LATE_VALUE,
            Prospect::Lost => LOST_VALUE,
        }
    }
}

/// Position of a job in the order; lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    priority: u8,
    value: f64,
    arrival: u64,
}

impl Rank {
    pub(crate) fn compare(&self, other: &Rank) -> std::cmp::Ordering {
        self.priority
            .cmp(&other.priority)
            .then(other.value.total_cmp(&self.value))
            .then(self.arrival.cmp(&other.arrival))
    }
}

impl Planner {
    /// Returns the jobs that wait for placement, in order.
    pub(crate) fn ranked(&self) -> Vec<JobId> {
        let mut ranked: Vec<(Rank, JobId)> = self
            .waiting
            .iter()
            .filter_map(|&id| Some((self.rank(id, self.jobs.get(&id)?), id)))
            .collect();
        ranked.sort_by(|a, b| a.0.compare(&b.0));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    fn prospect(&self, job: &Job) -> Prospect {
        let (remaining, objective) = match self.durations.of_queue(&job.accepted.queue) {
            None => (job.remaining_critical_path(), job.objective()),
            Some(learnt) => {
                let delay = if job.started { Duration::ZERO } else { learnt.delay() };
                let remaining = job.expected_remaining_path(learnt) + delay;
                (remaining, job.expected_objective(learnt))
            }
        };
        let finish = self.now.saturating_sub(job.due_since()) + remaining;
        if finish <= objective {
            Prospect::InTime
        } else if finish <= objective.mul_f64(MAX_LATE_FACTOR) {
            Prospect::Late
        } else {
            Prospect::Lost
        }
    }

    /// Returns `true` if a job can no longer finish in time.
    pub(crate) fn is_late(&self, job: &Job) -> bool {
        self.prospect(job) != Prospect::InTime
    }

    /// Returns `true` if a job can no longer finish before it counts as lost.
    pub(crate) fn is_lost(&self, job: &Job) -> bool {
        self.prospect(job) == Prospect::Lost
    }

    /// Returns a job's rank.
    ///
    /// Of the short jobs, late ones that have started come first, then those that can be in time,
    /// then other late ones, and among equals the earliest arrival. Their size doesn't count:
    /// smaller jobs first would finish a few more but starve the large ones of a full queue.
    fn rank(&self, id: JobId, job: &Job) -> Rank {
        let steps = &job.accepted.spec.steps;
        let value = if steps.iter().all(|step| step.long_running) {
            f64::INFINITY
        } else if self.shares.is_ahead(id) {
            AHEAD_VALUE
        } else if steps.iter().any(|step| step.best_effort) {
            let density = match self.load.is_behind() {
                true => self.progress_density(job),
                false => self.value_density(job),
            };
            self.prospect(job).weight() * density
        } else {
            match self.prospect(job) {
                Prospect::Late if job.started && self.load.is_behind() => BEHIND_LATE_VALUE,
                Prospect::Late if job.started => STARTED_LATE_VALUE,
                prospect => prospect.weight(),
            }
        };
        Rank { priority: job.policy.priority, value, arrival: job.arrival }
    }

    /// Returns the density of a job of mean size with the same progress. An owner that is behind
    /// starts fewer tasks than there is capacity for, and the job with the least density would never
    /// begin.
    fn progress_density(&self, job: &Job) -> f64 {
        let work = job.work.max(MIN_WORK);
        let mean = self.mean_work(&job.accepted.queue).unwrap_or(work).max(MIN_WORK);
        work / (mean * job.remaining_work().max(MIN_WORK))
    }

    /// Returns a job's value relative to its queue's mean, per remaining core-second.
    fn value_density(&self, job: &Job) -> f64 {
        let mean = self.mean_work(&job.accepted.queue).unwrap_or(job.work);
        value::density(job.work, mean, job.remaining_work())
    }

    /// Returns the value density of a job, weighted by what of its value it can still have.
    pub(crate) fn expected_density(&self, job: &Job) -> f64 {
        self.prospect(job).weight() * self.value_density(job)
    }
}
