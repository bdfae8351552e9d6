//! Tasks that may be started on one worker only, since an earlier start of theirs is outstanding
//! there.
//!
//! Without pins a task could run twice: a start is unanswered, its worker restarts and reports its
//! runs without it, and the task is started elsewhere. The worker restarts once more behind a
//! partition. That incarnation hasn't been fenced yet and carries out the old start. Such a start
//! can't be revoked, and waiting until it has expired takes longer than a task may wait.
//!
//! So the task is *pinned* to the worker until the start has expired. It is started there again at
//! once: a worker's incarnations follow one another, so runs on two of them never overlap, and each
//! incarnation lists a run that was carried out late before it is given another one. Pins are part
//! of the job's record, so they outlive the owner.
//!
//! Only a worker that reports its start time can restart under the same name. A draining worker
//! won't restart, and a worker in an evacuated failure domain may not be given the task again: both
//! release their tasks once they have been fenced.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::owner::rate_limit::START_RETRY;
use crate::placement::fit::Precedence;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::records::record::Outstanding;
use crate::records::record::Settled;
use crate::service::way::Way;
use crate::workers::command::Timer;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time after sending within which an unanswered start may be carried out.
pub(crate) const START_EXPIRY: Duration = Duration::from_secs(12);

/// The only worker on which a task may be started until its outstanding start has expired.
#[derive(Clone, Debug)]
pub(crate) struct Pin {
    /// Name of the worker: any later incarnation may carry out the start.
    worker: id::Instance,
    until: Time,
}

impl Hosted {
    /// Returns `true` if an unanswered start of the run may still be carried out. For a run that a
    /// previous owner placed this is unknown, and assumed, until the worker has listed it.
    pub(crate) fn has_outstanding_start(&self, now: Time) -> bool {
        let is_unanswered = self.starts_in_flight > 0 || self.is_unsettled_inherited();
        is_unanswered && now < self.start_last_sent + START_EXPIRY
    }

    /// Returns `true` for a run that a previous owner placed, and that wasn't recorded as settled.
    pub(crate) fn is_unsettled_inherited(&self) -> bool {
        let is_of_previous_owner = !self.inherited_until.is_zero();
        matches!(self.stage, Stage::Inherited) && is_of_previous_owner && !self.listed
    }

    /// Returns `true` if this owner may send its start, again or for the first time, without a
    /// write of the record before.
    fn may_be_sent(&self) -> bool {
        matches!(self.stage, Stage::Intended { .. } | Stage::Starting { .. }) || self.needs_probe()
    }

    /// Returns `true` if none of its starts may be carried out any more. An answer alone doesn't
    /// show that: it may have come from a later incarnation than the record names.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        self.listed && !self.may_be_sent() && !self.has_outstanding_start(now)
    }

    /// Returns how long ago its latest start was sent, at least.
    fn start_age(&self, now: Time) -> Duration {
        match self.may_be_sent() {
            true => Duration::ZERO,
            false => now.saturating_sub(self.start_last_sent),
        }
    }
}

impl Planner {
    /// Pins a task whose run has left a worker, if a start of that run is outstanding.
    pub(crate) fn pin(&mut self, worker: WorkerId, run: Run, hosted: &Hosted) {
        if hosted.has_outstanding_start(self.now) {
            self.pin_until(worker, run.task, hosted.start_last_sent + START_EXPIRY);
        }
    }

    /// Pins a waiting task that a worker runs: an outstanding start was carried out there.
    pub(crate) fn pin_to_orphan(&mut self, worker: WorkerId, run: Run) {
        let task = self.jobs.get(&run.task.job).and_then(|job| job.task(run.task));
        if task.is_some_and(|task| task.place == Place::Waiting) {
            self.pin_until(worker, run.task, self.now + START_EXPIRY);
        }
    }

    fn pin_until(&mut self, worker: WorkerId, task: TaskId, until: Time) {
        let Some(state) = self.workers.get(worker) else { return };
        if !state.may_restart() || self.releases_pins(state) {
            return;
        }
        self.pins.insert(task, Pin { worker: state.name.clone(), until });
        self.timers.insert((until, Timer::Place));
    }

    /// Returns `true` if the tasks of a worker may go elsewhere although their starts are
    /// outstanding.
    fn releases_pins(&self, worker: &Worker) -> bool {
        worker.answers() && (worker.draining || self.is_evacuated(worker))
    }

    pub(crate) fn is_pinned(&self, task: TaskId) -> bool {
        self.pins.contains_key(&task)
    }

    /// Returns the worker that a task is pinned to; `None` while no incarnation of it is known.
    pub(crate) fn pinned_worker(&self, task: TaskId) -> Option<WorkerId> {
        self.workers_by_name.get(&self.pins.get(&task)?.worker).copied()
    }

    /// Returns the name of the worker that a task is pinned to, known or not.
    pub(crate) fn pinned_name(&self, task: TaskId) -> Option<id::Instance> {
        self.pins.get(&task).map(|pin| pin.worker.clone())
    }

    /// Returns the time for which a task stays pinned.
    pub(crate) fn pinned_for(&self, task: TaskId) -> Duration {
        self.pins.get(&task).map_or(Duration::ZERO, |pin| pin.until.saturating_sub(self.now))
    }

    /// Returns the outstanding starts that the record of a job holds.
    pub(crate) fn outstanding_starts(&self, job: JobId) -> Vec<Outstanding> {
        let pins = self.pins.iter().filter(|(task, _)| task.job == job);
        let pinned = pins.map(|(task, pin)| {
            Outstanding::new(*task, pin.worker.clone(), self.pin_age(*task, pin))
        });
        let unanswered =
            self.unanswered_starts(job).filter(|start| !self.is_pinned(start.task(job)));
        pinned.chain(unanswered).collect()
    }

    /// Returns how long ago the latest start of a pinned task was sent, at least.
    fn pin_age(&self, id: TaskId, pin: &Pin) -> Duration {
        let age = START_EXPIRY.saturating_sub(pin.until.saturating_sub(self.now));
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        match task.and_then(|task| self.placed_run(id, task)) {
            Some((_, hosted)) if !hosted.is_settled(self.now) => {
                age.min(hosted.start_age(self.now))
            }
            _ => age,
        }
    }

    /// Returns the placed service tasks of a job without an outstanding start.
    pub(crate) fn settled_tasks(&self, job: JobId) -> Vec<Settled> {
        let settled = self
            .placed_runs(job)
            .filter(|(_, _, hosted)| hosted.long_running && hosted.is_settled(self.now));
        settled.map(|(task, _, _)| Settled::new(task)).collect()
    }

    /// Returns the run of a task that is in its place, with its worker.
    fn placed_run(&self, id: TaskId, task: &Task) -> Option<(&Worker, &Hosted)> {
        let Place::At(worker) = task.place else { return None };
        let worker = self.workers.get(worker)?;
        Some((worker, worker.runs.get(&Run { task: id, attempt: task.attempt })?))
    }

    /// Returns the runs of a job that are in their places, with their workers.
    fn placed_runs(&self, job: JobId) -> impl Iterator<Item = (TaskId, &Worker, &Hosted)> {
        let steps = self.jobs.get(&job).into_iter().flat_map(move |state| state.steps(job));
        let tasks = steps
            .flat_map(|(step, state)| (0..).map(move |index| step.task(index)).zip(&state.tasks));
        tasks.filter_map(|(id, task)| {
            let (worker, hosted) = self.placed_run(id, task)?;
            Some((id, worker, hosted))
        })
    }

    /// Returns the unanswered starts of runs that are in their places, on workers that may restart
    /// under their names.
    fn unanswered_starts(&self, job: JobId) -> impl Iterator<Item = Outstanding> {
        self.placed_runs(job).filter_map(|(id, worker, hosted)| {
            let is_outstanding = hosted.start_unanswered && hosted.has_outstanding_start(self.now);
            (is_outstanding && worker.may_restart())
                .then(|| Outstanding::new(id, worker.name.clone(), hosted.start_age(self.now)))
        })
    }

    /// Pins the tasks that a previous owner had pinned, for what is left of the time in which
    /// their starts may be carried out.
    pub(crate) fn restore_pins(&mut self, job: JobId, outstanding: &[Outstanding]) {
        for start in outstanding {
            let age = Duration::from_millis(start.age_ms.into());
            let until = self.now + START_EXPIRY.saturating_sub(age);
            let pin = Pin { worker: start.worker.clone(), until };
            self.pins.insert(start.task(job), pin);
            self.timers.insert((until, Timer::Place));
        }
    }

    /// Returns the latest time at which a previous owner sent the outstanding start of a task.
    pub(crate) fn outstanding_sent_at(&self, task: TaskId) -> Option<Time> {
        self.pins.get(&task).map(|pin| pin.until.saturating_sub(START_EXPIRY))
    }

    /// Releases the tasks that are pinned to a worker.
    pub(crate) fn unpin_worker(&mut self, worker: WorkerId) {
        let name = &self.workers[worker].name;
        let before = self.pins.len();
        self.pins.retain(|_, pin| pin.worker != *name);
        self.room_changed |= self.pins.len() != before;
    }

    /// Restarts pinned tasks on their workers, before anything else may take their capacity there.
    pub(crate) fn place_pinned(&mut self) {
        self.drop_expired_pins();
        let pinned: Vec<TaskId> = self.pins.keys().copied().collect();
        for task in pinned {
            if !self.start_limiter.allows(self.now) {
                self.timers.insert((self.now + START_RETRY, Timer::Place));
                return;
            }
            self.place_pinned_task(task);
        }
    }

    /// Releases tasks whose starts have expired or whose workers won't carry them out.
    fn drop_expired_pins(&mut self) {
        let mut pins = std::mem::take(&mut self.pins);
        pins.retain(|task, pin| {
            let worker = self.workers_by_name.get(&pin.worker).and_then(|&id| self.workers.get(id));
            self.now < pin.until
                && self.jobs.contains_key(&task.job)
                && !worker.is_some_and(|worker| self.releases_pins(worker))
        });
        self.pins = pins;
    }

    fn place_pinned_task(&mut self, task: TaskId) {
        let Some(worker) = self.pinned_worker(task) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let accepted = job.accepted.clone();
        let is_waiting = job.task(task).is_some_and(|state| state.is_ready(self.now));
        let is_open = job.end.is_none() && job.step(task.step_id()).is_some_and(|step| step.open);
        // The pin may come from a record, which need not match the job.
        let Some(step) = accepted.spec.steps.get(usize::from(task.step)) else { return };
        // A gang is placed as a whole.
        if is_waiting && is_open && !step.gang {
            self.restart_pinned(task, worker, step);
        }
    }

    fn restart_pinned(&mut self, task: TaskId, worker: WorkerId, step: &Step) {
        if !self.accepts_step(worker, task.step_id()) || self.has_run_of(worker, task) {
            return;
        }
        if let Some(advice) = self.queue(task.job).and_then(|queue| queue.advice)
            && !self.has_ticket(task.step_id(), worker)
        {
            // Tickets of the previous incarnation aren't valid for this one.
            self.query_advice(task.step_id(), step, advice, &[worker]);
            return;
        }
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let shares_probation = state.is_some_and(|state| self.shares_probation(step, state));
        let precedence = Precedence { shares_probation, ..Precedence::default() };
        let request = Request::new(&self.interference, task, step).with(precedence);
        if !self.may_start(task, worker, request.shared_probation()) {
            return;
        }
        if self.has_room(&self.workers[worker], &request) {
            self.assign(task, worker);
            self.log_service_placement(task, worker, Way::Pin);
            if step.best_effort {
                self.refresh_colocation(worker);
            }
        }
    }

    /// Returns `true` if a worker takes new tasks of a step's service.
    fn accepts_step(&self, worker: WorkerId, step: StepId) -> bool {
        let state = &self.workers[worker];
        self.is_open(state) && state.service == self.service(step.job)
    }

    /// Returns `true` if a worker still holds a run of a task, whose start may have been carried
    /// out late.
    pub(crate) fn has_run_of(&self, worker: WorkerId, task: TaskId) -> bool {
        self.workers[worker].runs.keys().any(|run| run.task == task)
    }

    /// Returns `true` unless a task is on probation and the worker isn't suitable for that.
    fn may_start(&self, task: TaskId, worker: WorkerId, shared: Option<StepId>) -> bool {
        let state = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let on_probation = state.filter(|state| state.is_on_probation());
        on_probation.is_none_or(|state| {
            !self.probation_workers(state.waiting_since, &[worker], shared).is_empty()
        })
    }
}

impl Task {
    /// Returns `true` if it waits and may be started now.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.place == Place::Waiting && self.not_before <= now
    }
}
