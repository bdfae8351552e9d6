//! Measurements of runs, matched with their neighbours at the time of measuring.
//!
//! Measurements lag, so each is matched with the runs that were on the worker when it was taken. A
//! bounded history of ended runs and throttles records these.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Usage;

use crate::cell::Cell;
use crate::interference::Neighbour;
use crate::interference::Neighbours;
use crate::job::JobId;
use crate::stage::FULL_PERMILLE;
use crate::worker::Allocation;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Maximum number of ended runs kept for each worker.
const ENDED_RUNS_MAX: usize = 32;
/// Time that ended runs are kept; measurements lag less than this.
const ENDED_RUN_AGE_MAX: Duration = Duration::from_secs(60);
/// The slowdown, in thousandths, of a run without interference.
pub(crate) const NO_SLOWDOWN_PERMILLE: u32 = 1000;

/// A run that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended {
    job: JobId,
    since: Time,
    until: Time,
    permille: u16,
}

/// The last measurement of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Measurement {
    /// In thousandths of its time without interference; zero before the first measurement.
    pub(crate) slowdown: u32,
    /// The time of the measurement.
    pub(crate) at: Time,
    /// Number of consecutive measurements above the policy's limit.
    pub(crate) over_limit: u32,
}

/// A throttle that was in force before the current one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttle {
    pub(crate) permille: u16,
    pub(crate) until: Time,
}

impl Allocation {
    /// Returns the share of its processors that the run had at the given time.
    fn share_at(&self, at: Time) -> f32 {
        let permille = match self.previous_throttle {
            Some(previous) if at < previous.until => previous.permille,
            _ => self.stage.permille(),
        };
        f32::from(permille) / f32::from(FULL_PERMILLE)
    }
}

impl Cell {
    /// Records an ended run for later measurements.
    pub(crate) fn record_ended_run(&mut self, id: WorkerId, allocation: &Allocation) {
        let now = self.now;
        let ended_runs = &mut self.workers[id].ended_runs;
        ended_runs.retain(|run| run.until + ENDED_RUN_AGE_MAX > now);
        if ended_runs.len() >= ENDED_RUNS_MAX {
            ended_runs.remove(0);
        }
        let permille = allocation.stage.permille();
        ended_runs.push(Ended {
            job: allocation.job,
            since: allocation.since,
            until: now,
            permille,
        });
    }

    /// Applies a report's measurements.
    pub(crate) fn apply_usage(&mut self, id: WorkerId, report: &Report) {
        for usage in &report.usage {
            let age = Duration::from_millis(report.stamp.saturating_sub(usage.measured));
            self.apply_measurement(id, usage, self.now.saturating_sub(age));
        }
        if !report.usage.is_empty() {
            self.interference.trim(&self.jobs);
        }
        self.mitigate(id);
    }

    fn apply_measurement(&mut self, id: WorkerId, usage: &Usage, at: Time) {
        let Some(&job) = self.job_names.get(&usage.run.job) else { return };
        let found = self.workers[id].find(job, usage.run.task, usage.run.attempt);
        let Some(index) = found else { return };
        let allocation = &self.workers[id].allocations[index];
        if allocation.share_at(at) >= 1.0 {
            // A throttled run uses less than it needs.
            self.learn_size(job, usage.amount, allocation.amount);
        }
        if self.jobs[job].class() != Class::Paying {
            return;
        }
        let neighbours = self.neighbours(&self.workers[id], index, at);
        let extra = usage.slowdown_permille.saturating_sub(NO_SLOWDOWN_PERMILLE) as f32;
        let measured = self.interference.learn(job, &neighbours, extra);
        self.requeue_measured(&measured);
        let allowed = self.policy.slowdown_permille;
        let measurement = &mut self.workers[id].allocations[index].measurement;
        let is_over_limit = usage.slowdown_permille > allowed;
        measurement.over_limit = if is_over_limit { measurement.over_limit + 1 } else { 0 };
        measurement.slowdown = usage.slowdown_permille;
        measurement.at = at;
    }

    /// Returns the runs that were on the worker beside a run at the given time, summed by job.
    fn neighbours(&self, worker: &Worker, index: usize, at: Time) -> Neighbours {
        let mut found = Neighbours::new();
        let mut add = |job: JobId, share: f32| match found.iter_mut().find(|n| n.job == job) {
            Some(neighbour) => neighbour.share += share,
            None => {
                let class = self.jobs.get(job).map_or(Class::Batch, |job| job.class());
                found.push(Neighbour { job, class, share });
            }
        };
        for (other, allocation) in worker.allocations.iter().enumerate() {
            if other != index && allocation.since <= at {
                add(allocation.job, allocation.share_at(at));
            }
        }
        for run in worker.ended_runs.iter().filter(|run| run.since <= at && at < run.until) {
            add(run.job, f32::from(run.permille) / f32::from(FULL_PERMILLE));
        }
        found
    }
}
