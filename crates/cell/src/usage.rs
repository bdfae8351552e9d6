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
use crate::interfere::Neighbour;
use crate::interfere::Neighbours;
use crate::job::JobId;
use crate::life::FULL_PERMILLE;
use crate::worker::Hold;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Maximum number of ended runs kept for each worker.
const PAST_MAX: usize = 32;
/// Time that ended runs are kept; measurements lag less than this.
const PAST: Duration = Duration::from_secs(60);
/// The slowdown, in thousandths, of a run without interference.
pub(crate) const ALONE: u32 = 1000;

/// A run that ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Past {
    job: JobId,
    since: Time,
    until: Time,
    permille: u16,
}

/// The last measurement of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    /// In thousandths of its time without interference; zero before the first measurement.
    pub(crate) slowdown: u32,
    /// The time of the measurement.
    pub(crate) at: Time,
    /// Number of consecutive measurements above the policy's limit.
    pub(crate) over: u32,
}

/// A throttle that was in force before the current one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Former {
    pub(crate) permille: u16,
    pub(crate) until: Time,
}

impl Hold {
    /// Returns the share of its processors that the run had at the given time.
    fn share_at(&self, at: Time) -> f32 {
        let permille = match self.former {
            Some(former) if at < former.until => former.permille,
            _ => self.life.permille(),
        };
        f32::from(permille) / f32::from(FULL_PERMILLE)
    }
}

impl Cell {
    /// Records an ended run for later measurements.
    pub(crate) fn remember(&mut self, id: WorkerId, hold: &Hold) {
        let now = self.now;
        let past = &mut self.workers[id].past;
        past.retain(|run| run.until + PAST > now);
        if past.len() >= PAST_MAX {
            past.remove(0);
        }
        let permille = hold.life.permille();
        past.push(Past { job: hold.job, since: hold.since, until: now, permille });
    }

    /// Applies a report's measurements.
    pub(crate) fn take_usage(&mut self, id: WorkerId, report: &Report) {
        for usage in &report.usage {
            let age = Duration::from_millis(report.stamp.saturating_sub(usage.measured));
            self.take_measurement(id, usage, self.now.saturating_sub(age));
        }
        if !report.usage.is_empty() {
            self.model.trim(&self.jobs);
        }
        self.relieve(id);
    }

    fn take_measurement(&mut self, id: WorkerId, usage: &Usage, at: Time) {
        let Some(&job) = self.job_names.get(&usage.run.job) else { return };
        let found = self.workers[id].find(job, usage.run.task, usage.run.attempt);
        let Some(index) = found else { return };
        let hold = &self.workers[id].holds[index];
        if hold.share_at(at) >= 1.0 {
            // A throttled run uses less than it needs.
            self.learn_size(job, usage.amount, hold.amount);
        }
        if self.jobs[job].class() != Class::Paying {
            return;
        }
        let neighbours = self.neighbours(&self.workers[id], index, at);
        let extra = usage.slowdown_permille.saturating_sub(ALONE) as f32;
        let met = self.model.learn(job, &neighbours, extra);
        self.end_probes(&met);
        let allowed = self.policy.slowdown_permille;
        let speed = &mut self.workers[id].holds[index].speed;
        let is_over = usage.slowdown_permille > allowed;
        speed.over = if is_over { speed.over + 1 } else { 0 };
        speed.slowdown = usage.slowdown_permille;
        speed.at = at;
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
        for (place, hold) in worker.holds.iter().enumerate() {
            if place != index && hold.since <= at {
                add(hold.job, hold.share_at(at));
            }
        }
        for run in worker.past.iter().filter(|run| run.since <= at && at < run.until) {
            add(run.job, f32::from(run.permille) / f32::from(FULL_PERMILLE));
        }
        found
    }
}
