//! The state of a cell for status pages and metrics.

use std::collections::BTreeMap;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use serde::Serialize;

use crate::cell::Cell;
use crate::job::Outcome;
use crate::job::State;
use crate::stage::Ownership;
use crate::stage::Stage;
use crate::worker::Fence;
use crate::worker::Health;

/// The ownership phase of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// We don't own it.
    Unowned,
    /// We own it, but a worker may still have unknown runs of a previous owner.
    Fencing,
    /// We own it, and every run is known.
    Ready,
    /// We own it, but records can't be stored at present.
    Isolated,
}

/// The number of tasks in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Counts {
    /// Tasks that wait for a worker.
    pub queued: u32,
    /// Tasks that were placed on a worker that has not confirmed them.
    pub starting: u32,
    /// Running tasks.
    pub running: u32,
    /// Tasks that run with a share of their processors.
    pub throttled: u32,
    /// Tasks that are being checkpointed and ended.
    pub evicting: u32,
    /// Tasks that are being stopped.
    pub stopping: u32,
    /// Tasks with a run on a worker that does not answer; they are also counted above.
    pub maybe: u32,
    /// Tasks whose run has ended and whose end is not stored yet.
    pub settling: u32,
    /// Completed tasks.
    pub done: u32,
    /// Cancelled tasks.
    pub cancelled: u32,
    /// Tasks that can't run until their job is changed.
    pub parked: u32,
}

impl Counts {
    /// Returns each count with its name.
    pub fn named(&self) -> [(&'static str, u32); 11] {
        [
            ("queued", self.queued),
            ("starting", self.starting),
            ("running", self.running),
            ("throttled", self.throttled),
            ("evicting", self.evicting),
            ("stopping", self.stopping),
            ("maybe", self.maybe),
            ("settling", self.settling),
            ("done", self.done),
            ("cancelled", self.cancelled),
            ("parked", self.parked),
        ]
    }
}

/// The state of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name.
    pub name: id::Instance,
    /// Its health.
    pub health: Health,
    /// Its capacity.
    pub capacity: Amount,
    /// The sum of its allocations.
    pub committed: Amount,
    /// Number of runs on it.
    pub runs: usize,
}

impl Cell {
    /// Returns the ownership phase.
    pub fn phase(&self) -> Phase {
        match self.ownership {
            Ownership::Unowned(_) => Phase::Unowned,
            _ if self.writer.isolated => Phase::Isolated,
            Ownership::Fencing(_) => Phase::Fencing,
            Ownership::Ready(_) => Phase::Ready,
        }
    }

    /// Returns the epoch of our ownership, if we own the cell.
    pub fn epoch(&self) -> Option<id::Epoch> {
        self.ownership.epoch()
    }

    /// Counts the tasks of all jobs by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for (_, job) in self.jobs.iter() {
            self.count_job(job, &mut counts);
        }
        self.count_runs(&mut counts);
        counts
    }

    /// Counts the tasks of each declared job by state; runs are all counted as `running`.
    pub fn jobs(&self) -> BTreeMap<id::Job, Counts> {
        let mut all = BTreeMap::new();
        for (_, job) in self.jobs.iter() {
            let mut counts = Counts::default();
            self.count_job(job, &mut counts);
            counts.running = job.runs;
            all.insert(job.name.clone(), counts);
        }
        all
    }

    fn count_job(&self, job: &crate::job::Job, counts: &mut Counts) {
        match job.parked {
            Some(_) => counts.parked += job.waiting(),
            None => counts.queued += job.waiting(),
        }
        counts.done += job.done.len();
        counts.cancelled += job.cancelled.len();
        for task in job.live.values() {
            match &task.state {
                State::Queued | State::Placed(_) => {}
                State::Settling(Outcome::Cancelled) => counts.settling += 1,
                State::Settling(_) => counts.settling += 1,
                State::Parked(_) => counts.parked += 1,
            }
        }
    }

    fn count_runs(&self, counts: &mut Counts) {
        for (_, worker) in self.workers.iter() {
            let is_unreachable = worker.failed_exchanges > 0;
            for allocation in &worker.allocations {
                match allocation.stage {
                    Stage::Starting(_) => counts.starting += 1,
                    Stage::Running(_) => counts.running += 1,
                    Stage::Throttled(_) => counts.throttled += 1,
                    Stage::Evicting(_) => counts.evicting += 1,
                    Stage::Stopping(_) => counts.stopping += 1,
                }
                counts.maybe += u32::from(is_unreachable);
            }
        }
    }

    /// Returns the state of each worker in slot order.
    pub fn workers(&self) -> impl Iterator<Item = Worker> + '_ {
        self.workers.iter().map(|(_, worker)| Worker {
            name: worker.name.clone(),
            health: if worker.leaving { Health::Leaving } else { worker.health },
            capacity: worker.capacity,
            committed: worker.committed,
            runs: worker.allocations.len(),
        })
    }

    /// Returns the reason why a job is parked, if it is.
    pub fn parked(&self, job: &id::Job) -> Option<&str> {
        let id = self.job_names.get(job)?;
        self.jobs[*id].parked.as_deref()
    }

    /// Returns the number of workers whose inventory is not known yet.
    pub fn unfenced(&self) -> usize {
        self.workers.iter().filter(|(_, worker)| worker.fence == Fence::Unfenced).count()
    }

    /// Estimates the memory used by the cell's state in bytes, excluding names.
    pub fn state_bytes(&self) -> usize {
        let workers: usize = self
            .workers
            .iter()
            .map(|(_, w)| {
                size_of_val(w) + w.allocations.capacity() * size_of::<crate::worker::Allocation>()
            })
            .sum();
        let jobs: usize = self
            .jobs
            .iter()
            .map(|(_, job)| {
                let spans = job.done.span_count() + job.cancelled.span_count();
                size_of_val(job)
                    + job.live.len() * size_of::<crate::job::Task>()
                    + spans * size_of::<crate::record::Span>()
            })
            .sum();
        workers + jobs + self.interference.bytes()
    }
}
