//! Starts that may be carried out after their task has completed.
//!
//! They are refused from the first command on that reaches an incarnation of their worker
//! ([`crate::workers::fence`]). No command can be sent to an incarnation that doesn't exist yet, so
//! one that starts before they have expired may carry them out before its first command. To keep
//! that time short, such a worker is tried more often while it is silent.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::TaskId;

use crate::placement::pin::START_EXPIRY;
use crate::planner::Planner;
use crate::workers::heartbeat::SILENT_RETRY_DELAY;
use crate::workers::host::Hosted;
use crate::workers::worker::WorkerId;

/// Delay before the heartbeat to a silent worker is retried if one of its incarnations may carry
/// out a start of a completed task.
const OUTSTANDING_RETRY_DELAY: Duration = Duration::from_millis(25);

/// A completed task with an outstanding start.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    task: TaskId,
    completed_at: Time,
    until: Time,
}

/// Outstanding starts of completed tasks, by the name of the worker that may carry them out.
#[derive(Debug, Default)]
pub(crate) struct LateStarts(BTreeMap<id::Instance, Vec<Outstanding>>);

impl LateStarts {
    fn insert(&mut self, worker: id::Instance, added: Outstanding) {
        let now = added.completed_at;
        let outstanding = self.0.entry(worker).or_default();
        outstanding.retain(|start| now < start.until);
        outstanding.push(added);
    }

    /// Returns when a task was completed of which a worker may carry out a start late.
    fn completed_at(&self, worker: &id::Instance, task: TaskId) -> Option<Time> {
        let mut outstanding = self.0.get(worker)?.iter();
        outstanding.find(|start| start.task == task).map(|start| start.completed_at)
    }

    fn is_awaited(&self, worker: &id::Instance, now: Time) -> bool {
        self.0.get(worker).is_some_and(|starts| starts.iter().any(|start| now < start.until))
    }
}

impl Planner {
    /// Records the outstanding starts of a task that a run has completed: an unanswered one of this
    /// run, and one of an earlier run, to whose worker the task is pinned.
    pub(crate) fn record_outstanding(
        &mut self,
        worker: WorkerId,
        run: Run,
        hosted: Option<&Hosted>,
    ) {
        let now = self.now;
        let unanswered = hosted.filter(|hosted| hosted.starts_in_flight > 0);
        let own = self.workers.get(worker).filter(|state| state.may_restart()).zip(unanswered);
        let own = own.map(|(state, hosted)| {
            (state.name.clone(), hosted.start_last_sent.saturating_add(START_EXPIRY))
        });
        let pinned = self.pinned_name(run.task).map(|name| (name, now + self.pinned_for(run.task)));
        for (name, until) in own.into_iter().chain(pinned).filter(|(_, until)| now < *until) {
            let detail = format!("for {} ms", (until - now).as_millis());
            self.note(
                LogEvent::StartOutstanding,
                Some(run.task.job),
                Some(run),
                Some(name.clone()),
                detail,
            );
            let added = Outstanding { task: run.task, completed_at: now, until };
            self.late_starts.insert(name, added);
        }
    }

    /// Logs a run that a worker reports without having been assigned it, if its task had completed
    /// before with a start outstanding there.
    pub(crate) fn log_late_start(&mut self, worker: WorkerId, run: Run) {
        let state = &self.workers[worker];
        let Some(completed_at) = self.late_starts.completed_at(&state.name, run.task) else {
            return;
        };
        let name = state.name.clone();
        let known_for = self.now.saturating_sub(state.first_seen);
        let detail = format!(
            "completed {} ms ago, the incarnation is known for {} ms",
            (self.now - completed_at).as_millis(),
            known_for.as_millis()
        );
        self.note(LogEvent::StartedLate, Some(run.task.job), Some(run), Some(name), detail);
    }

    /// Returns the delay before the heartbeat to a silent worker is retried.
    pub(crate) fn silent_retry_delay(&self, worker: WorkerId) -> Duration {
        match self.late_starts.is_awaited(&self.workers[worker].name, self.now) {
            true => OUTSTANDING_RETRY_DELAY,
            false => SILENT_RETRY_DELAY,
        }
    }
}
