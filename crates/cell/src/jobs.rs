//! Job declarations, cancellation and removal.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::TaskIndex;
use cowslipchute_base::id::Time;
use cowslipchute_resource::job;

use crate::cell::Cell;
use crate::job::Job;
use crate::job::JobId;
use crate::job::State;
use crate::membership::LIST;
use crate::place::first_attempt;
use crate::record::Record;
use crate::size::Size;
use crate::stage::Ownership;

/// Time that an undeclared job's runs and records are kept while its declaration may still arrive.
const UNDECLARED_TIMEOUT: Duration = Duration::from_secs(30);

/// A job that is known from a worker or the store and may never be declared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Undeclared {
    pub(crate) since: Time,
    job: JobId,
}

impl Cell {
    /// Returns the time at which the next undeclared job is to be removed.
    pub(crate) fn undeclared_due(&self) -> Option<Time> {
        let due = self.undeclared.front().map(|undeclared| undeclared.since + UNDECLARED_TIMEOUT);
        due.filter(|_| self.ownership.is_ready())
    }

    /// Returns a job by name; an unknown one gets an entry without a declaration.
    pub(crate) fn job_or_insert(&mut self, name: &id::Job) -> JobId {
        if let Some(&id) = self.job_names.get(name) {
            return id;
        }
        self.arrivals += 1;
        let mut job = Job::open(name.clone(), self.arrivals);
        job.floor = self.attempt_floors.get(name).copied().unwrap_or(0);
        let id = self.jobs.insert(job);
        self.job_names.insert(name.clone(), id);
        self.undeclared.push_back(Undeclared { since: self.now, job: id });
        id
    }

    pub(crate) fn load_records(&mut self, records: &[Record]) {
        for record in records.iter().filter(|record| &*record.job != LIST) {
            let id = self.job_or_insert(&record.job);
            self.jobs[id].load(record);
        }
    }

    pub(crate) fn declare_job(&mut self, name: id::Job, spec: Arc<job::Spec>) {
        let id = self.job_or_insert(&name);
        let job = &mut self.jobs[id];
        if job.removed {
            job.successor = Some(spec);
            return;
        }
        if job.spec.as_ref() == Some(&spec) {
            return;
        }
        job.spec = Some(spec);
        job.learnt_amount = Amount::ZERO;
        job.usage = Size::default();
        self.set_team(id);
        self.unpark_tasks(id);
        self.reconcile(id);
    }

    pub(crate) fn remove_job(&mut self, name: &id::Job) {
        let Some(&id) = self.job_names.get(name) else { return };
        let job = &mut self.jobs[id];
        job.removed = true;
        job.successor = None;
        self.reconcile(id);
    }

    /// Reconciles a job's tasks with its declaration.
    pub(crate) fn reconcile(&mut self, id: JobId) {
        if self.ownership.epoch().is_none() {
            return self.schedule_reap(id);
        }
        let job = &mut self.jobs[id];
        let tasks = job.tasks();
        let wanted = if job.is_cancelled() { 0 } else { tasks };
        let last = job.live.last_key_value().map_or(0, |(&index, _)| index + 1);
        let cancelled = job.cancel_waiting(wanted, tasks.max(last));
        let name = job.name.clone();
        if cancelled > 0 {
            self.writer.mark(id);
            let reason = format!("{cancelled} tasks that were on no worker");
            self.note(LogEvent::TaskCancelled, &name, reason);
        }
        self.stop_tasks_from(id, wanted);
        self.check_fit(id);
        self.enqueue(id);
        self.schedule_reap(id);
    }

    /// Reconciles all jobs, whose declarations may have changed while the cell was not owned.
    pub(crate) fn reconcile_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            if self.jobs.get(id).is_some_and(|job| job.spec.is_some()) {
                self.reconcile(id);
            }
        }
    }

    /// Stops the runs of a job's tasks with the index `wanted` or above.
    fn stop_tasks_from(&mut self, id: JobId, wanted: TaskIndex) {
        let placed: Vec<(TaskIndex, _)> = self.jobs[id]
            .live
            .range(wanted..)
            .filter_map(|(&index, task)| match task.state {
                State::Placed(worker) => Some((index, worker)),
                _ => None,
            })
            .collect();
        for (index, worker) in placed {
            self.stop_task(worker, id, index);
        }
    }

    fn unpark_tasks(&mut self, id: JobId) {
        let job = &mut self.jobs[id];
        job.parked = None;
        job.fails_everywhere = false;
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
        self.writer.mark(id);
        let reason = format!("the job was changed; {} tasks", parked.len());
        self.note(LogEvent::TaskUnparked, &name, reason);
    }

    pub(crate) fn reset_jobs(&mut self) {
        let jobs: Vec<JobId> = self.jobs.iter().map(|(id, _)| id).collect();
        for id in jobs {
            let job = &mut self.jobs[id];
            job.reset();
            if job.removed || job.spec.is_none() {
                let successor = job.successor.clone();
                let name = job.name.clone();
                self.drop_job(id);
                if let Some(spec) = successor {
                    self.declare_job(name, spec);
                }
            }
        }
    }

    /// Schedules a job for [`Cell::reap`] if it is no longer declared.
    pub(crate) fn schedule_reap(&mut self, id: JobId) {
        if self.jobs[id].removed {
            self.to_reap.push(id);
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
        while let Some(undeclared) = self.undeclared.front()
            && undeclared.since + UNDECLARED_TIMEOUT <= self.now
        {
            let id = undeclared.job;
            self.undeclared.pop_front();
            if self.jobs.get(id).is_some_and(|job| job.spec.is_none() && !job.removed) {
                self.jobs[id].removed = true;
                self.reconcile(id);
            }
        }
        while let Some(id) = self.to_reap.pop() {
            self.reap_job(id);
        }
    }

    fn reap_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if !job.removed || job.deleting_record || !job.is_idle() {
            return;
        }
        if self.ownership.epoch().is_none() {
            return self.drop_job(id);
        }
        self.writer.unmark(id);
        self.writer.remove(id);
        self.jobs[id].deleting_record = true;
    }

    /// Drops a job whose record was removed and declares its successor under the same name.
    ///
    /// The successor waits until then because a later owner would take the old record for that
    /// of the successor.
    pub(crate) fn record_removed(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.deleting_record = false;
        if !job.is_idle() {
            // A run of it was found on a worker in the meantime and has to end first.
            return;
        }
        let name = job.name.clone();
        let successor = job.successor.clone();
        // A worker whose lease was waited out may return with a run of a previous owner that this
        // owner has not seen, so the floor covers all attempts of lower epochs.
        let epoch = self.ownership.epoch().expect("only an owner removes records");
        let floor = job.highest_attempt.max(first_attempt(epoch).saturating_sub(1));
        self.attempt_floors.insert(name.clone(), floor);
        self.drop_job(id);
        if let Some(spec) = successor {
            self.declare_job(name, spec);
        }
    }

    fn drop_job(&mut self, id: JobId) {
        self.dequeue(id);
        self.writer.unmark(id);
        if let Some(job) = self.jobs.remove(id) {
            self.job_names.remove(&job.name);
        }
    }
}
