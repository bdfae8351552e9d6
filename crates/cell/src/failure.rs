//! Attribution of failed runs to their workers or jobs, and quarantine of workers.
//!
//! Workers and jobs have scores. Each failure is split between both in proportion to their failure
//! probabilities, so a job that fails everywhere doesn't put workers into quarantine, and a broken
//! worker doesn't get its jobs parked.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::JobId;
use crate::job::Outcome;
use crate::job::State;
use crate::worker::Health;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Number of runs in the prior of a score.
const PRIOR_RUNS: f32 = 2.0;
/// Number of failures in the prior of a score.
const PRIOR_FAILURES: f32 = 0.04;
/// Factor by which a score decays with each run, so that about the last twenty runs count.
const DECAY: f32 = 0.95;
/// Minimum number of failures attributed to a worker before it is quarantined.
const QUARANTINE_FAILURES_MIN: f32 = 1.5;
/// Minimum failure probability of a worker before it is quarantined.
const QUARANTINE_PROBABILITY_MIN: f32 = 0.4;
/// Failure probability of a job below which its failures count as evidence against a worker.
const SOUND_PROBABILITY_MAX: f32 = 0.2;
/// Minimum fraction of a failed probe that is attributed to the worker to extend its quarantine.
const PROBE_SHARE_MIN: f32 = 0.3;
/// Duration of the first quarantine; doubled by each failed probe.
const QUARANTINE_FIRST: Duration = Duration::from_secs(10);
/// Maximum number of times that a quarantine is doubled.
const DOUBLINGS_MAX: u32 = 7;
/// Run time after which a probe counts as successful.
const PROBE_RUN_TIME: Duration = Duration::from_secs(60);
/// Maximum number of failures kept for a worker, to be reverted if it is found to be at fault.
const FAILURES_MAX: usize = 32;
/// Number of workers on which a job must have failed to be parked, or all usable ones if fewer.
const FAILING_WORKERS_MIN: usize = 3;

/// Decaying counts of failures and successes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    failures: f32,
    successes: f32,
}

impl Score {
    /// Returns the estimated probability that the next run fails.
    fn failure_probability(self) -> f32 {
        (self.failures + PRIOR_FAILURES) / (self.failures + self.successes + PRIOR_RUNS)
    }

    fn fail(&mut self, share: f32) {
        self.failures = self.failures * DECAY + share;
        self.successes *= DECAY;
    }

    fn succeed(&mut self) {
        self.failures *= DECAY;
        self.successes = self.successes * DECAY + 1.0;
    }
}

/// A failure that may later be found to be the worker's fault.
#[derive(Clone, Copy, Debug)]
struct Failure {
    job: JobId,
    task: TaskIndex,
    /// The fraction of the failure that was attributed to the job.
    job_share: f32,
}

/// The quarantine of a worker.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// The time from which one task may be placed as a probe.
    until: Time,
    doublings: u32,
    /// The probe in progress.
    probe: Option<Key>,
}

/// A worker's record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    score: Score,
    failures: SmallVec<[Failure; 2]>,
    quarantine: Option<Quarantine>,
}

impl History {
    /// Returns the time from which a probe may be placed, if the worker is quarantined.
    pub(crate) fn probe_due(&self) -> Option<Time> {
        self.quarantine.map(|quarantine| quarantine.until)
    }

    fn has_several_jobs(&self) -> bool {
        self.failures.iter().any(|failure| failure.job != self.failures[0].job)
    }
}

impl Cell {
    /// Returns `true` if a worker is not quarantined or may take a probe.
    pub(crate) fn passes_quarantine(&self, worker: &Worker) -> bool {
        let may_probe = |due| due <= self.now && worker.allocations.is_empty();
        worker.history.probe_due().is_none_or(may_probe)
    }

    /// Splits a failure between worker and job; returns `true` if it counts against the task.
    pub(crate) fn attribute_failure(&mut self, id: WorkerId, key: Key) -> bool {
        let worker = &mut self.workers[id];
        let job = &mut self.jobs[key.job];
        let (worker_probability, job_probability) =
            (worker.history.score.failure_probability(), job.score.failure_probability());
        let share = worker_probability / (worker_probability + job_probability);
        worker.history.score.fail(share);
        job.score.fail(1.0 - share);
        if !job.failed_on.contains(&id) {
            job.failed_on.push(id);
        }
        if worker.history.failures.len() < FAILURES_MAX {
            let failure = Failure { job: key.job, task: key.task, job_share: 1.0 - share };
            worker.history.failures.push(failure);
        }
        if let Some(quarantine) = worker.history.quarantine {
            if quarantine.probe != Some(key) {
                // The run was placed before the quarantine.
                return false;
            }
            let is_worker_fault = share >= PROBE_SHARE_MIN;
            self.extend(id, quarantine, is_worker_fault);
            return !is_worker_fault;
        }
        let score = worker.history.score;
        let is_attributable =
            worker.history.has_several_jobs() || job_probability < SOUND_PROBABILITY_MAX;
        if score.failures < QUARANTINE_FAILURES_MIN
            || score.failure_probability() < QUARANTINE_PROBABILITY_MIN
            || !is_attributable
        {
            return true;
        }
        self.quarantine(id);
        false
    }

    fn quarantine(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        worker.history.quarantine =
            Some(Quarantine { until: self.now + QUARANTINE_FIRST, doublings: 0, probe: None });
        worker.health = Health::Quarantined;
        let failures = std::mem::take(&mut worker.history.failures);
        let name = worker.name.clone();
        let reason =
            format!("{} of its runs failed that its jobs are not to blame for", failures.len());
        self.note(LogEvent::WorkerQuarantined, &name, reason);
        for failure in failures {
            self.revert_failure(id, failure);
        }
        self.update_free_capacity(id);
        self.touch(id);
    }

    /// Ends a failed probe; if the worker is at fault, doubles the delay until the next one.
    fn extend(&mut self, id: WorkerId, before: Quarantine, is_worker_fault: bool) {
        let doublings = if is_worker_fault {
            (before.doublings + 1).min(DOUBLINGS_MAX)
        } else {
            before.doublings
        };
        let wait =
            if is_worker_fault { QUARANTINE_FIRST * 2u32.pow(doublings) } else { Duration::ZERO };
        let worker = &mut self.workers[id];
        worker.history.quarantine =
            Some(Quarantine { until: self.now + wait, doublings, probe: None });
        worker.history.failures.clear();
        let name = worker.name.clone();
        if is_worker_fault {
            let reason = format!("a probe failed; the next one comes in {} s", wait.as_secs());
            self.note(LogEvent::WorkerQuarantined, &name, reason);
        }
        self.update_free_capacity(id);
        self.touch(id);
    }

    /// Reverts a job's failure that its worker caused.
    fn revert_failure(&mut self, id: WorkerId, failure: Failure) {
        let Some(job) = self.jobs.get_mut(failure.job) else { return };
        job.failed_on.retain(|worker| *worker != id);
        job.score.failures = (job.score.failures - failure.job_share).max(0.0);
        job.failures = job.failures.saturating_sub(1);
        if std::mem::take(&mut job.fails_everywhere) {
            job.parked = None;
            let name = job.name.clone();
            self.note(LogEvent::TaskUnparked, &name, "its worker was at fault");
            self.enqueue(failure.job);
        }
        let job = &mut self.jobs[failure.job];
        let Some(task) = job.live.get_mut(&failure.task) else { return };
        task.failures = task.failures.saturating_sub(1);
        self.writer.mark(failure.job);
        match &mut task.state {
            State::Settling(outcome @ Outcome::Park(_)) => *outcome = Outcome::Failed,
            State::Parked(_) => {
                job.set(failure.task, State::Queued);
                self.enqueue(failure.job);
            }
            _ => {}
        }
    }

    /// Records a completed run for its worker and its job.
    pub(crate) fn record_success(&mut self, id: WorkerId, job: JobId) {
        let job = &mut self.jobs[job];
        job.score.succeed();
        job.failed_on.clear();
        job.failures = 0;
        let worker = &mut self.workers[id];
        worker.history.score.succeed();
        worker.history.failures.clear();
        self.end_quarantine(id, "its probe completed");
    }

    /// Makes a quarantined worker available for placement once a probe is due.
    pub(crate) fn check_quarantine(&mut self, id: WorkerId) {
        if self.workers[id].history.probe_due().is_some_and(|due| due <= self.now) {
            self.update_free_capacity(id);
            self.mark_freed(id);
        }
    }

    /// Ends a quarantine once a probe has run long enough.
    pub(crate) fn check_probe(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let has_lasted = |since: Time| since + PROBE_RUN_TIME <= self.now;
        if worker.history.quarantine.is_some()
            && worker.allocations.iter().any(|h| has_lasted(h.since))
        {
            self.end_quarantine(id, "its probe goes on well");
        }
    }

    fn end_quarantine(&mut self, id: WorkerId, reason: &str) {
        let worker = &mut self.workers[id];
        if worker.history.quarantine.take().is_none() {
            return;
        }
        worker.history.score = Score::default();
        worker.health = Health::Healthy;
        let name = worker.name.clone();
        self.note(LogEvent::WorkerHealthy, &name, reason);
        self.mark_freed(id);
        self.update_free_capacity(id);
    }

    /// Records and reports a run on a quarantined worker as its probe.
    pub(crate) fn note_probe(&mut self, id: WorkerId, key: Key) {
        let worker = &mut self.workers[id];
        if let Some(quarantine) = &mut worker.history.quarantine {
            quarantine.probe = Some(key);
            let name = worker.name.clone();
            self.note(LogEvent::WorkerProbed, &name, "one task is tried on it");
        }
    }

    /// Parks a job whose runs have failed on every worker tried and never completed.
    pub(crate) fn check_failing(&mut self, id: JobId, reason: &str) {
        let usable =
            self.workers.iter().filter(|(_, worker)| self.passes_quarantine(worker)).count();
        let job = &self.jobs[id];
        let limit = job.spec.as_ref().map_or(u32::MAX, |spec| spec.failures_max.max(1));
        let is_everywhere = job.failed_on.len() >= FAILING_WORKERS_MIN.min(usable);
        if job.score.successes > 0.0 || job.score.failures < limit as f32 * 0.5 || !is_everywhere {
            return;
        }
        if job.parked.is_some() || job.failures < limit {
            return;
        }
        let worker_count = job.failed_on.len();
        let reason =
            format!("it fails wherever it runs ({worker_count} workers), lately with: {reason}");
        let name = job.name.clone();
        let job = &mut self.jobs[id];
        job.parked = Some(reason.clone());
        job.fails_everywhere = true;
        self.dequeue(id);
        self.note(LogEvent::TaskParked, &name, reason);
    }
}
