//! Attribution of failed runs to their workers or jobs, and quarantine of workers.
//!
//! Workers and jobs have scores. Each failure is split between both in proportion to their failure
//! probabilities, so a job that fails everywhere doesn't put workers into quarantine, and a broken
//! worker doesn't get its jobs parked.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
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
const PRIOR: f32 = 2.0;
/// Number of failures in the prior of a score.
const PRIOR_BAD: f32 = 0.04;
/// Decay of a score with each run; the last twenty runs or so count.
const FADE: f32 = 0.95;
/// Minimum number of failures attributed to a worker before it is quarantined.
const QUARANTINE_BAD: f32 = 1.5;
/// Minimum failure probability of a worker before it is quarantined.
const QUARANTINE_CHANCE: f32 = 0.4;
/// Failure probability of a job below which its failures count as evidence against a worker.
const SOUND_CHANCE: f32 = 0.2;
/// Minimum share of a failed probe that is attributed to the worker to extend its quarantine.
const PROBE_SHARE: f32 = 0.3;
/// Duration of the first quarantine; doubled by each failed probe.
const QUARANTINE: Duration = Duration::from_secs(10);
/// Maximum number of doublings.
const ROUNDS_MAX: u32 = 7;
/// Run time after which a probe counts as successful.
const LASTING: Duration = Duration::from_secs(60);
/// Maximum number of failures kept for a worker, to be reverted if it is found to be at fault.
const SUSPECTS_MAX: usize = 32;
/// Number of workers on which a job must have failed to be parked, or all usable ones if fewer.
const PLACES_MIN: usize = 3;

/// Decaying counts of failures and successes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Score {
    bad: f32,
    good: f32,
}

impl Score {
    /// Returns the estimated probability that the next run fails.
    fn chance(self) -> f32 {
        (self.bad + PRIOR_BAD) / (self.bad + self.good + PRIOR)
    }

    fn fail(&mut self, share: f32) {
        self.bad = self.bad * FADE + share;
        self.good *= FADE;
    }

    fn succeed(&mut self) {
        self.bad *= FADE;
        self.good = self.good * FADE + 1.0;
    }
}

/// A failure that may later be found to be the worker's fault.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    job: JobId,
    task: TaskIndex,
    /// The part of the failure that was attributed to the job.
    charge: f32,
}

/// The quarantine of a worker.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// The time from which one task may be placed as a probe.
    until: Time,
    rounds: u32,
    /// The probe in progress.
    probe: Option<Key>,
}

/// A worker's record of failures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    score: Score,
    suspects: SmallVec<[Suspect; 2]>,
    quarantine: Option<Quarantine>,
}

impl Record {
    /// Returns the time from which a probe may be placed, if the worker is quarantined.
    pub(crate) fn probe_due(&self) -> Option<Time> {
        self.quarantine.map(|quarantine| quarantine.until)
    }

    fn has_several_jobs(&self) -> bool {
        self.suspects.iter().any(|suspect| suspect.job != self.suspects[0].job)
    }
}

impl Cell {
    /// Returns `true` if a worker is not quarantined or may take a probe.
    pub(crate) fn is_trusted(&self, worker: &Worker) -> bool {
        let probe = |due| due <= self.now && worker.holds.is_empty();
        worker.blame.probe_due().is_none_or(probe)
    }

    /// Splits a failure between worker and job; returns `true` if it counts against the task.
    pub(crate) fn blame(&mut self, id: WorkerId, key: Key) -> bool {
        let worker = &mut self.workers[id];
        let job = &mut self.jobs[key.job];
        let (of_worker, of_job) = (worker.blame.score.chance(), job.score.chance());
        let share = of_worker / (of_worker + of_job);
        worker.blame.score.fail(share);
        job.score.fail(1.0 - share);
        if !job.failed_on.contains(&id) {
            job.failed_on.push(id);
        }
        if worker.blame.suspects.len() < SUSPECTS_MAX {
            let suspect = Suspect { job: key.job, task: key.task, charge: 1.0 - share };
            worker.blame.suspects.push(suspect);
        }
        if let Some(quarantine) = worker.blame.quarantine {
            if quarantine.probe != Some(key) {
                // The run was placed before the quarantine.
                return false;
            }
            let guilty = share >= PROBE_SHARE;
            self.extend(id, quarantine, guilty);
            return !guilty;
        }
        let score = worker.blame.score;
        let sure = worker.blame.has_several_jobs() || of_job < SOUND_CHANCE;
        if score.bad < QUARANTINE_BAD || score.chance() < QUARANTINE_CHANCE || !sure {
            return true;
        }
        self.quarantine(id);
        false
    }

    fn quarantine(&mut self, id: WorkerId) {
        let worker = &mut self.workers[id];
        worker.blame.quarantine =
            Some(Quarantine { until: self.now + QUARANTINE, rounds: 0, probe: None });
        worker.health = Health::Quarantined;
        let suspects = std::mem::take(&mut worker.blame.suspects);
        let name = worker.name.clone();
        let reason =
            format!("{} of its runs failed that its jobs are not to blame for", suspects.len());
        self.note(Number::WorkerQuarantined, &name, reason);
        for suspect in suspects {
            self.acquit(id, suspect);
        }
        self.refresh(id);
        self.touch(id);
    }

    /// Ends a failed probe; if the worker is at fault, doubles the delay until the next one.
    fn extend(&mut self, id: WorkerId, before: Quarantine, guilty: bool) {
        let rounds = if guilty { (before.rounds + 1).min(ROUNDS_MAX) } else { before.rounds };
        let wait = if guilty { QUARANTINE * 2u32.pow(rounds) } else { Duration::ZERO };
        let worker = &mut self.workers[id];
        worker.blame.quarantine = Some(Quarantine { until: self.now + wait, rounds, probe: None });
        worker.blame.suspects.clear();
        let name = worker.name.clone();
        if guilty {
            let reason = format!("a probe failed; the next one comes in {} s", wait.as_secs());
            self.note(Number::WorkerQuarantined, &name, reason);
        }
        self.refresh(id);
        self.touch(id);
    }

    /// Reverts a job's failure that its worker caused.
    fn acquit(&mut self, id: WorkerId, suspect: Suspect) {
        let Some(job) = self.jobs.get_mut(suspect.job) else { return };
        job.failed_on.retain(|worker| *worker != id);
        job.score.bad = (job.score.bad - suspect.charge).max(0.0);
        job.failures = job.failures.saturating_sub(1);
        if std::mem::take(&mut job.broken) {
            job.parked = None;
            let name = job.name.clone();
            self.note(Number::TaskUnparked, &name, "its worker was at fault");
            self.enqueue(suspect.job);
        }
        let job = &mut self.jobs[suspect.job];
        let Some(task) = job.live.get_mut(&suspect.task) else { return };
        task.failures = task.failures.saturating_sub(1);
        self.ledger.mark(suspect.job);
        match &mut task.state {
            State::Settling(outcome @ Outcome::Park(_)) => *outcome = Outcome::Failed,
            State::Parked(_) => {
                job.set(suspect.task, State::Queued);
                self.enqueue(suspect.job);
            }
            _ => {}
        }
    }

    /// Records a completed run for its worker and its job.
    pub(crate) fn praise(&mut self, id: WorkerId, job: JobId) {
        let job = &mut self.jobs[job];
        job.score.succeed();
        job.failed_on.clear();
        job.failures = 0;
        let worker = &mut self.workers[id];
        worker.blame.score.succeed();
        worker.blame.suspects.clear();
        self.release(id, "its probe completed");
    }

    /// Makes a quarantined worker available for placement once a probe is due.
    pub(crate) fn check_quarantine(&mut self, id: WorkerId) {
        if self.workers[id].blame.probe_due().is_some_and(|due| due <= self.now) {
            self.refresh(id);
            self.mark(id);
        }
    }

    /// Ends a quarantine once a probe has run long enough.
    pub(crate) fn check_probe(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let lasts = |since: Time| since + LASTING <= self.now;
        if worker.blame.quarantine.is_some() && worker.holds.iter().any(|h| lasts(h.since)) {
            self.release(id, "its probe has run long enough");
        }
    }

    fn release(&mut self, id: WorkerId, reason: &str) {
        let worker = &mut self.workers[id];
        if worker.blame.quarantine.take().is_none() {
            return;
        }
        worker.blame.score = Score::default();
        worker.health = Health::Healthy;
        let name = worker.name.clone();
        self.note(Number::WorkerHealthy, &name, reason);
        self.mark(id);
        self.refresh(id);
    }

    /// Records and reports a run on a quarantined worker as its probe.
    pub(crate) fn note_probe(&mut self, id: WorkerId, key: Key) {
        let worker = &mut self.workers[id];
        if let Some(quarantine) = &mut worker.blame.quarantine {
            quarantine.probe = Some(key);
            let name = worker.name.clone();
            self.note(Number::WorkerProbed, &name, "one task is tried on it");
        }
    }

    /// Parks a job whose runs have failed on every worker tried and never completed.
    pub(crate) fn check_broken(&mut self, id: JobId, reason: &str) {
        let usable = self.workers.iter().filter(|(_, worker)| self.is_trusted(worker)).count();
        let job = &self.jobs[id];
        let limit = job.spec.as_ref().map_or(u32::MAX, |spec| spec.failures_max.max(1));
        let everywhere = job.failed_on.len() >= PLACES_MIN.min(usable);
        if job.score.good > 0.0 || job.score.bad < limit as f32 * 0.5 || !everywhere {
            return;
        }
        if job.parked.is_some() || job.failures < limit {
            return;
        }
        let places = job.failed_on.len();
        let reason = format!("it fails wherever it runs ({places} workers), lately with: {reason}");
        let name = job.name.clone();
        let job = &mut self.jobs[id];
        job.parked = Some(reason.clone());
        job.broken = true;
        self.dequeue(id);
        self.note(Number::TaskParked, &name, reason);
    }
}
