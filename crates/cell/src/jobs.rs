//! Job declarations, cancellation and removal.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_resource::job;

use crate::cell::Cell;
use crate::census::LIST;
use crate::job::Job;
use crate::job::JobId;
use crate::job::State;
use crate::life::Ownership;
use crate::place::first_attempt;
use crate::record::Record;
use crate::size::Size;

/// Time that an undeclared job's runs and records are kept while its declaration may still arrive.
const STRANGER: Duration = Duration::from_secs(30);

/// A job that is known from a worker or the store and may never be declared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stranger {
    pub(crate) since: Time,
    job: JobId,
}

impl Cell {
    /// Returns the time at which the next undeclared job is to be removed.
    pub(crate) fn stranger_due(&self) -> Option<Time> {
        let due = self.strangers.front().map(|stranger| stranger.since + STRANGER);
        due.filter(|_| self.ownership.is_ready())
    }

    /// Returns a job by name; an unknown one gets an entry without a declaration.
    pub(crate) fn job(&mut self, name: &id::Job) -> JobId {
        if let Some(&id) = self.job_names.get(name) {
            return id;
        }
        self.arrivals += 1;
        let mut job = Job::open(name.clone(), self.arrivals);
        job.floor = self.floors.get(name).copied().unwrap_or(0);
        let id = self.jobs.insert(job);
        self.job_names.insert(name.clone(), id);
        self.strangers.push_back(Stranger { since: self.now, job: id });
        id
    }

    pub(crate) fn load(&mut self, records: &[Record]) {
        for record in records.iter().filter(|record| &*record.job != LIST) {
            let id = self.job(&record.job);
            self.jobs[id].load(record);
        }
    }

    pub(crate) fn declare(&mut self, name: id::Job, spec: Arc<job::Spec>) {
        let id = self.job(&name);
        let job = &mut self.jobs[id];
        if job.gone {
            job.successor = Some(spec);
            return;
        }
        if job.spec.as_ref() == Some(&spec) {
            return;
        }
        job.spec = Some(spec);
        job.amount = Amount::ZERO;
        job.size = Size::default();
        self.join(id);
        self.unpark(id);
        self.apply(id);
    }

    pub(crate) fn undeclare(&mut self, name: &id::Job) {
        let Some(&id) = self.job_names.get(name) else { return };
        let job = &mut self.jobs[id];
        job.gone = true;
        job.successor = None;
        self.apply(id);
    }

    /// Reconciles a job's tasks with its declaration.
    pub(crate) fn apply(&mut self, id: JobId) {
        if self.ownership.epoch().is_none() {
            return self.finish_job(id);
        }
        let job = &mut self.jobs[id];
        let tasks = job.tasks();
        let kept = if job.is_cancelled() { 0 } else { tasks };
        let last = job.live.last_key_value().map_or(0, |(&index, _)| index + 1);
        let cancelled = job.cancel_waiting(kept, tasks.max(last));
        let name = job.name.clone();
        if cancelled > 0 {
            self.ledger.mark(id);
            let reason = format!("{cancelled} tasks that were on no worker");
            self.note(Number::TaskCancelled, &name, reason);
        }
        self.stop_from(id, kept);
        self.refit_job(id);
        self.enqueue(id);
        self.finish_job(id);
    }

    /// Reconciles all jobs, whose declarations may have changed while the cell was not owned.
    pub(crate) fn apply_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            if self.jobs.get(id).is_some_and(|job| job.spec.is_some()) {
                self.apply(id);
            }
        }
    }

    /// Stops the runs of a job's tasks from `kept` on.
    fn stop_from(&mut self, id: JobId, kept: TaskIndex) {
        let placed: Vec<(TaskIndex, _)> = self.jobs[id]
            .live
            .range(kept..)
            .filter_map(|(&index, task)| match task.state {
                State::Placed(worker) => Some((index, worker)),
                _ => None,
            })
            .collect();
        for (index, worker) in placed {
            self.stop_task(worker, id, index);
        }
    }

    fn unpark(&mut self, id: JobId) {
        let job = &mut self.jobs[id];
        job.parked = None;
        job.broken = false;
        let parked: Vec<TaskIndex> = job
            .live
            .iter()
            .filter(|(_, task)| matches!(task.state, State::Parked(_)))
            .map(|(&index, _)| index)
            .collect();
        for &index in &parked {
            job.entry(index).failures = 0;
            job.set(index, State::Queued);
        }
        if parked.is_empty() {
            return;
        }
        let name = job.name.clone();
        self.ledger.mark(id);
        let reason = format!("the job was changed; {} tasks", parked.len());
        self.note(Number::TaskUnparked, &name, reason);
    }

    pub(crate) fn reset_jobs(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            let job = &mut self.jobs[id];
            job.reset();
            if job.gone || job.spec.is_none() {
                let declared = job.successor.clone();
                let name = job.name.clone();
                self.drop_job(id);
                if let Some(spec) = declared {
                    self.declare(name, spec);
                }
            }
        }
    }

    /// Schedules a job for [`Cell::reap`] if it is no longer declared.
    pub(crate) fn finish_job(&mut self, id: JobId) {
        if self.jobs[id].gone {
            self.finishing.push(id);
        }
    }

    /// Cancels jobs that were not declared in time and removes those without runs and pending
    /// writes.
    ///
    /// Does nothing while the cell is fencing: a worker that has not been reached yet may still run
    /// such a job's tasks, and without the record a later declaration would start ended tasks
    /// again.
    pub(crate) fn reap(&mut self) {
        if matches!(self.ownership, Ownership::Fencing(_)) {
            return;
        }
        while let Some(stranger) = self.strangers.front()
            && stranger.since + STRANGER <= self.now
        {
            let id = stranger.job;
            self.strangers.pop_front();
            if self.jobs.get(id).is_some_and(|job| job.spec.is_none() && !job.gone) {
                self.jobs[id].gone = true;
                self.apply(id);
            }
        }
        while let Some(id) = self.finishing.pop() {
            self.reap_job(id);
        }
    }

    fn reap_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.gone || job.removing || !job.is_idle() {
            return;
        }
        if self.ownership.epoch().is_none() {
            return self.drop_job(id);
        }
        self.ledger.unmark(id);
        self.ledger.remove(id);
        self.jobs[id].removing = true;
    }

    /// Drops a job whose record was removed and declares its successor under the same name.
    ///
    /// The successor waits until then because a later owner would take the old record for its own.
    pub(crate) fn removed(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.removing = false;
        if !job.is_idle() {
            // A run of it was found on a worker in the meantime and has to end first.
            return;
        }
        let name = job.name.clone();
        let successor = job.successor.clone();
        // A worker whose lease was waited out may return with a run of a former owner that was
        // never seen here.
        let epoch = self.ownership.epoch().expect("only an owner removes records");
        let floor = job.highest.max(first_attempt(epoch).saturating_sub(1));
        self.floors.insert(name.clone(), floor);
        self.drop_job(id);
        if let Some(spec) = successor {
            self.declare(name, spec);
        }
    }

    fn drop_job(&mut self, id: JobId) {
        self.dequeue(id);
        self.ledger.unmark(id);
        if let Some(job) = self.jobs.remove(id) {
            self.job_names.remove(&job.name);
        }
    }
}
