//! Takeover of a cell, and updates of its jobs and workers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::StepIndex;
use cowslipchute_ports::job::TaskId;

use crate::capacity::reserve::Reserve;
use crate::planner::Planner;
use crate::queue::job::Job;
use crate::queue::policy::Policy;
use crate::queue::task::Place;
use crate::records::estimates::Estimates;
use crate::records::record;
use crate::records::record::Record;
use crate::records::write::Writes;
use crate::workers::command::Timer;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::worker::Heartbeat;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Interval at which the lease of a silent worker is checked for expiry.
pub(crate) const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Planner {
    /// Takes over the cell with what the store holds.
    pub(crate) fn take_over(
        &mut self,
        epoch: id::Epoch,
        jobs: Vec<(JobId, Arc<Accepted>)>,
        records: Vec<(JobId, Record)>,
        estimates: Option<Estimates>,
    ) {
        self.release_ownership();
        if let Some(estimates) = estimates {
            self.restore_estimates(estimates);
        }
        self.epoch = Some(epoch);
        self.owned_at = self.now;
        self.reserve = Reserve::open(self.now);
        for (job, accepted) in jobs {
            self.insert_job(job, accepted);
        }
        for (job, record) in records {
            self.restore(job, &record);
        }
        let known: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in known {
            self.end_if_finished(job);
            self.add_to_share(job);
        }
        self.room_changed = true;
    }

    /// Forgets everything; another owner decides from now on.
    pub(crate) fn release_ownership(&mut self) {
        self.epoch = None;
        self.lease_until = id::Time::ZERO;
        self.jobs.clear();
        self.waiting.clear();
        self.shares = Default::default();
        self.ended.clear();
        self.ended_expiry.clear();
        self.workers = Default::default();
        self.workers_by_name.clear();
        self.next_generation = 0;
        self.crashed_at.clear();
        self.unconfigured.clear();
        self.pending_query = None;
        self.rollouts = Default::default();
        self.best_effort_due = id::Time::ZERO;
        self.pins.clear();
        self.late_starts = Default::default();
        self.placements = Default::default();
        self.short_starts = Default::default();
        self.reservations.clear();
        self.freed = Default::default();
        self.isolation_priority = None;
        self.quota = Default::default();
        self.scores = 0;
        self.passes = 0;
        self.next_pass_at = id::Time::ZERO;
        self.start_window = Default::default();
        self.forecasts = Default::default();
        self.recent_overrides = Default::default();
        self.service_waits = Default::default();
        self.timers.clear();
        self.writes = Writes::restart(&self.writes);
    }

    fn insert_job(&mut self, job: JobId, accepted: Arc<Accepted>) {
        self.arrivals += 1;
        let policy = Policy::of(self.config.as_deref(), &accepted.queue);
        let limit = self.settings.max_record_bytes;
        let state = Job::new(accepted, policy, limit, self.now, self.arrivals);
        self.reserve.add_job(self.now, &state.accepted.spec);
        Planner::learn_work(&mut self.mean_work, &state.accepted.queue, state.work);
        let scheduled = state.next_due().is_some();
        self.jobs.insert(job, state);
        self.waiting.insert(job);
        if scheduled {
            self.timers.insert((self.now, Timer::Occurrence(job)));
        }
    }

    /// Restores a job from the record of a previous owner.
    fn restore(&mut self, job: JobId, record: &Record) {
        // A record without a job is left over from a job that has ended; nothing is to be done for
        // it.
        let Some(state) = self.jobs.get_mut(&job) else { return };
        state.restore(record);
        let mut placed = Vec::new();
        for occurrence in &record.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                let step = StepId { job, occurrence: occurrence.number, step: step as StepIndex };
                for (index, stored) in tasks.iter().enumerate() {
                    let id = step.task(index as u32);
                    if state.task(id).is_none() {
                        continue;
                    }
                    restore_task(state, id, stored);
                    if let (false, Some(worker)) = (stored.done, &stored.worker) {
                        placed.push((Run { task: id, attempt: stored.attempt }, worker.clone()));
                    }
                }
            }
        }
        for crashes in &record.crashes {
            let step = StepId { job, occurrence: crashes.occurrence, step: crashes.step };
            if state.task(step.task(crashes.index)).is_some() {
                state.task_mut(step.task(crashes.index)).crashed = crashes.attempts.clone();
            }
        }
        state.open_steps();
        self.restore_pins(job, &record.outstanding);
        let settled: HashSet<TaskId> = record.settled.iter().map(|run| run.task(job)).collect();
        for (run, worker) in placed {
            self.restore_run(run, &worker, settled.contains(&run.task));
        }
        self.restore_waits(job, &record.waits);
        self.plan_next_rewrite(job, record);
    }

    /// Restores a run on the incarnation that its record names. Whichever incarnation answers
    /// first, its report shows which of the runs it holds.
    fn restore_run(&mut self, run: Run, host: &Incarnation, settled: bool) {
        let worker = self.ensure_worker(&host.name);
        let state = &mut self.workers[worker];
        state.first_seen = id::Time::ZERO;
        state.started_at = state.started_at.max(host.started_at);
        let now = self.now;
        let outstanding_since = self.outstanding_sent_at(run.task);
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let crashes = job.task(run.task).map_or(0, |task| task.crashed.len());
        // Only starts on workers that may restart are recorded as outstanding.
        let start_unanswered = outstanding_since.is_some();
        self.workers[worker].has_predecessor_with_start |= start_unanswered;
        let learns = self.settings.features.learned_durations;
        let hosted = Hosted {
            crashes,
            start_unanswered,
            starts_in_flight: u32::from(start_unanswered),
            start_last_sent: outstanding_since.unwrap_or(now),
            listed: settled,
            settlement_planned: settled,
            queue: learns.then(|| job.accepted.queue.clone()),
            ..Hosted::inherited(job.spec(run.task.step), now)
        };
        job.move_task(run.task, Place::At(worker));
        self.workers[worker].add_run(run, hosted);
    }

    /// Ends a job that is cancelled, done or out of attempts.
    fn end_if_finished(&mut self, job: JobId) {
        let Some(state) = self.jobs.get(&job) else { return };
        let max_attempts = state.policy.max_attempts as usize;
        let is_exhausted = state.steps(job).any(|(id, step)| {
            let is_service = state.spec(id.step).long_running;
            !is_service && step.tasks.iter().any(|task| task.failed.len() >= max_attempts)
        });
        if state.accepted.cancelled {
            self.finish_job(job, State::Cancelled);
        } else if state.is_done() {
            self.finish_job(job, State::Completed);
        } else if is_exhausted {
            self.finish_job(job, State::Failed);
        }
    }

    /// Handles a job that is in the store or was changed there.
    pub(crate) fn update_job(&mut self, job: JobId, accepted: Arc<Accepted>) {
        if self.epoch.is_none() || self.ended.contains_key(&job) {
            return;
        }
        match self.jobs.get_mut(&job) {
            Some(state) => state.accepted = accepted,
            None => {
                self.insert_job(job, accepted);
                self.record_arrival(job);
                self.add_to_share(job);
                self.room_changed = true;
                let size = self.jobs[&job].size().to_string();
                self.note(LogEvent::JobKnown, Some(job), None, None, size);
            }
        }
        if self.jobs[&job].end.is_none() && self.jobs[&job].accepted.cancelled {
            self.finish_job(job, State::Cancelled);
        }
    }

    fn ensure_worker(&mut self, name: &id::Instance) -> WorkerId {
        if let Some(&worker) = self.workers_by_name.get(name) {
            return worker;
        }
        let generation = self.next_generation;
        let worker = self.workers.insert(Worker::unlisted(name.clone(), generation, self.now));
        self.workers_by_name.insert(name.clone(), worker);
        self.timers.insert((self.now + EXPIRY_CHECK_INTERVAL, Timer::LeaseExpiry(worker)));
        worker
    }

    /// Handles a directory entry that is new or has changed.
    pub(crate) fn update_entry(&mut self, registration: &Registration) {
        if self.epoch.is_none() {
            return;
        }
        let known =
            self.workers_by_name.get(&registration.name).map(|&worker| &self.workers[worker]);
        if known.is_some_and(|worker| worker.is_newer_than(registration)) {
            self.correct_address(registration);
            return;
        }
        let is_known = known.is_some();
        let has_changed = known.is_none_or(|worker| !worker.matches_registration(registration));
        if !self.is_configured(&registration.service) && !self.lacks_address(&registration.name) {
            self.defer_entry(registration);
            return;
        }
        if !has_changed {
            return;
        }
        self.unconfigured.remove(&registration.name);
        let worker = self.ensure_worker(&registration.name);
        let worker = self.match_incarnation(worker, registration);
        let was_draining = self.workers[worker].draining;
        let had_no_address = self.workers[worker].address.is_none();
        self.workers[worker].update_registration(registration);
        if had_no_address {
            self.resume_commands(worker);
        }
        self.room_changed = true;
        if !is_known {
            let name = registration.name.clone();
            let detail = format!("{} in {}", registration.address, registration.domain);
            self.note(LogEvent::WorkerKnown, None, None, Some(name), detail);
        }
        if let Heartbeat::Due(at) = self.workers[worker].heartbeat {
            self.timers.insert((at, Timer::Heartbeat(worker)));
        }
        if registration.draining && !was_draining {
            let name = registration.name.clone();
            self.note(LogEvent::WorkerLeaving, None, None, Some(name), "");
            self.move_tasks_off(worker);
        }
    }

    /// Sends the commands that could not be sent while the worker's address was unknown.
    fn resume_commands(&mut self, worker: WorkerId) {
        let runs: Vec<Run> = self.workers[worker].runs.keys().copied().collect();
        for run in runs {
            self.schedule_command(worker, run, Duration::ZERO);
        }
    }

    /// Returns `true` if the current configuration names a service, as one of its own or as that of
    /// a queue.
    fn is_configured(&self, service: &id::Service) -> bool {
        let Some(config) = &self.config else { return false };
        config.services.iter().any(|known| known.name == *service)
            || config.queues.iter().any(|queue| queue.service == *service)
    }

    /// Returns `true` if a record names a worker whose address isn't known yet. Its runs need
    /// heartbeats even after its service was dropped.
    fn lacks_address(&self, name: &id::Instance) -> bool {
        let worker = self.workers_by_name.get(name).and_then(|&worker| self.workers.get(worker));
        worker.is_some_and(|worker| worker.address.is_none())
    }

    /// Defers an entry with a service that isn't configured, which an unrelated writer may have
    /// added, until the configuration names it. A worker that is already known gets nothing new
    /// meanwhile.
    fn defer_entry(&mut self, registration: &Registration) {
        let name = &registration.name;
        if self.workers_by_name.contains_key(name) {
            self.remove_entry(name);
        }
        self.unconfigured.insert(name.clone(), registration.clone());
    }

    /// Applies the deferred entries whose service is configured now.
    pub(crate) fn apply_deferred_entries(&mut self) {
        for (_, registration) in std::mem::take(&mut self.unconfigured) {
            self.update_entry(&registration);
        }
    }

    /// Handles the removal of a worker's directory entry. The worker may continue to run, so its
    /// runs keep their places.
    pub(crate) fn remove_entry(&mut self, name: &id::Instance) {
        self.unconfigured.remove(name);
        let Some(&worker) = self.workers_by_name.get(name) else { return };
        self.workers[worker].listed = false;
        self.note(LogEvent::WorkerUnlisted, None, None, Some(name.clone()), "");
        self.forget_if_unused(worker);
    }

    /// Forgets a worker that isn't listed, doesn't answer and can't run anything.
    pub(crate) fn forget_if_unused(&mut self, worker: WorkerId) {
        let state = &self.workers[worker];
        if !state.listed && !state.answers() && state.runs.is_empty() {
            self.forget_incarnation(worker);
        }
    }

    /// Moves service tasks and checkpointing tasks off a draining worker.
    fn move_tasks_off(&mut self, worker: WorkerId) {
        for run in
            self.workers[worker].runs_where(|hosted| hosted.long_running || hosted.checkpointing)
        {
            self.stop_run(worker, run, Reason::WorkerDraining);
        }
    }
}

fn restore_task(job: &mut Job, id: TaskId, stored: &record::Task) {
    let task = job.task_mut(id);
    task.attempt = stored.attempt;
    task.failed = stored.failed.clone();
    task.checkpoint = stored.checkpoint.clone();
    if stored.done {
        job.move_task(id, Place::Done);
    }
}
