//! Ends runs and jobs, and updates the tasks and workers concerned.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;

use crate::planner::Planner;
use crate::queue::job::Job;
use crate::queue::task::Place;
use crate::records::write::end_text;
use crate::workers::command::Timer;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::WorkerId;

/// Delay before a failed task is retried, so that a task that fails immediately isn't restarted in
/// a tight loop.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Planner {
    /// Sets the final state of a job. Its client sees that state once the store holds it.
    pub(crate) fn finish_job(&mut self, job: JobId, state: State) {
        let Some(ending) = self.jobs.get_mut(&job) else { return };
        debug_assert!(ending.end.is_none(), "a job ends once");
        ending.end = Some(state);
        let mut places = Vec::new();
        for (id, step) in ending.steps(job) {
            for (index, task) in step.tasks.iter().enumerate() {
                if let Place::At(worker) = task.place {
                    let run = Run { task: id.task(index as u32), attempt: task.attempt };
                    places.push((worker, run));
                }
            }
        }
        self.waiting.remove(&job);
        self.settle_share(job, state);
        self.mark_dirty(job);
        self.note(LogEvent::JobEnding, Some(job), None, None, end_text(state));
        for (worker, run) in places {
            self.stop_run(worker, run, Reason::Obsolete);
        }
    }

    /// Requests that a run be stopped. A run whose start hasn't been sent ends immediately.
    pub(crate) fn stop_run(&mut self, worker: WorkerId, run: Run, reason: Reason) {
        let now = self.now;
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(hosted) = state.runs.get_mut(&run) else { return };
        match hosted.stage {
            Stage::Stopping { .. } => return,
            Stage::Intended { .. } => {
                self.end_run(worker, run, EndReason::Stopped, None);
                return;
            }
            _ => hosted.stage = Stage::Stopping { reason, command: Command::Due(now) },
        }
        let name = state.name.clone();
        self.timers.insert((now, Timer::Command(worker, run)));
        self.note(LogEvent::RunStopping, Some(run.task.job), Some(run), Some(name), reason.text());
    }

    /// Removes a run from its worker, and updates its task and its job.
    pub(crate) fn end_run(
        &mut self,
        worker: WorkerId,
        run: Run,
        how: EndReason,
        checkpoint: Option<id::Checkpoint>,
    ) {
        let hosted = self.workers.get_mut(worker).and_then(|worker| worker.remove_run(run));
        self.room_changed = true;
        if let Some(hosted) = hosted.as_ref().filter(|hosted| !hosted.best_effort) {
            self.record_freed(worker, hosted);
        }
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        if job.end.is_some() || job.task(run.task).is_none() {
            return;
        }
        let long_running = job.spec(run.task.step).long_running;
        let gang = job.spec(run.task.step).gang;
        let max_attempts = job.policy.max_attempts;
        let task = job.task_mut(run.task);
        let is_current = task.place == Place::At(worker) && task.attempt == run.attempt;
        if task.place == Place::Done {
            return;
        }
        // A gang fails as a whole, whichever member failed; its first task keeps the count.
        let counted = if gang { run.task.step_id().task(0) } else { run.task };
        let counted_task = job.task_mut(counted);
        if how == EndReason::Failed && !long_running && !counted_task.failed.contains(&run.attempt)
        {
            counted_task.record_failure(run.attempt, max_attempts);
        }
        let failures = counted_task.failed.len() as u32;
        let task = job.task_mut(run.task);
        let starts_exhausted = how == EndReason::Failed && task.count_failed_run(run.attempt);
        if how == EndReason::Done && !long_running {
            self.record_outstanding(worker, run, hosted.as_ref());
        }
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let task = job.task_mut(run.task);
        if how == EndReason::Done && !long_running && gang {
            self.complete_gang(worker, run);
        } else if how == EndReason::Done && !long_running {
            self.complete_task(worker, run, is_current);
        } else if is_current {
            let latest_checkpoint =
                checkpoint.or_else(|| hosted.as_ref().and_then(|hosted| hosted.checkpoint.clone()));
            if latest_checkpoint.is_some() {
                task.checkpoint = latest_checkpoint;
            }
            let never_began = hosted.as_ref().is_some_and(Hosted::never_began);
            if !long_running || !never_began {
                task.waiting_since = now;
            }
            task.not_before = restart_time(now, how);
            if how == EndReason::Failed {
                task.avoided_worker = Some(worker);
            }
            job.move_task(run.task, Place::Waiting);
            self.waiting.insert(run.task.job);
            self.timers.insert((restart_time(now, how), Timer::Place));
            if let Some(hosted) = &hosted {
                self.pin(worker, run, hosted);
            }
            if gang {
                self.stop_gang(run);
            }
        }
        self.mark_dirty(run.task.job);
        let job = &self.jobs[&run.task.job];
        if starts_exhausted {
            self.finish_job(run.task.job, State::Crashed);
        } else if !long_running && failures >= job.policy.max_attempts {
            self.finish_job(run.task.job, State::Failed);
        } else if job.is_done() {
            self.learn_delay(run.task.job);
            self.finish_job(run.task.job, State::Completed);
        } else if self.jobs.get_mut(&run.task.job).is_some_and(Job::drop_done_occurrences) {
            self.open_due(run.task.job);
        }
    }

    /// Marks a task as done by a run. If this run was considered lost and another one of the task
    /// was started, that one is stopped.
    fn complete_task(&mut self, worker: WorkerId, run: Run, is_current: bool) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let task = job.task(run.task).expect("the caller has looked it up");
        let other = match task.place {
            Place::At(other) if !is_current => {
                Some((other, Run { task: run.task, attempt: task.attempt }))
            }
            _ => None,
        };
        job.move_task(run.task, Place::Done);
        job.open_steps();
        if job.has_waiting() {
            self.waiting.insert(run.task.job);
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.health.record_success();
        }
        if let Some((other, run)) = other {
            self.stop_run(other, run, Reason::Obsolete);
        }
        self.record_completion(run.task.step_id(), 1);
    }

    /// Ends all runs that a worker has, or may have.
    pub(crate) fn end_all_runs(&mut self, worker: WorkerId) {
        let runs: Vec<Run> = self.workers[worker].runs.keys().copied().collect();
        for run in runs {
            let name = self.workers[worker].name.clone();
            let detail = "its worker's deadline or life is over";
            self.note(LogEvent::RunEnded, Some(run.task.job), Some(run), Some(name), detail);
            self.end_run(worker, run, EndReason::LeaseExpired, None);
        }
    }

    /// Counts a failure against a worker, and quarantines the worker after several failures.
    pub(crate) fn record_worker_failure(&mut self, worker: WorkerId) {
        let now = self.now;
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(until) = state.health.record_failure(now) else { return };
        state.quarantined_until = state.quarantined_until.max(until);
        let name = state.name.clone();
        let detail = format!("for {} ms", (until - now).as_millis());
        self.note(LogEvent::WorkerQuarantined, None, None, Some(name), detail);
        self.timers.insert((until, Timer::Place));
    }

    /// Returns `true` if a failed run is attributed to its worker rather than to its task.
    pub(crate) fn is_worker_at_fault(&self, run: Run, hosted: &Hosted) -> bool {
        let task = self.jobs.get(&run.task.job).and_then(|job| job.task(run.task));
        !hosted.is_stopping() && task.is_some_and(|task| task.failed.is_empty())
    }
}

fn restart_time(now: Time, how: EndReason) -> Time {
    match how {
        EndReason::Failed => now + FAILED_RETRY_DELAY,
        _ => now,
    }
}
