//! Log of the service tasks that wait, and why.
//!
//! The owner logs the last decision about a waiting step ([`crate::service::decision`]) at an
//! interval, with what it was based on. The log changes no decision: what isn't part of one is
//! computed by the functions that decide.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::capacity::idle;
use crate::planner::Planner;
use crate::queue::bypass::BYPASS_INTERVAL;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::service::age::LONG_WAIT;
use crate::service::decision::Decision;
use crate::service::reclaim::Claim;
use crate::service::reclaim::Extent;
use crate::service::way::Way;
use crate::workers::worker::WorkerId;

/// Time for which a task waits before it is logged. Most are placed sooner.
const FIRST_LINE_DELAY: Duration = Duration::from_secs(1);
/// Interval of the check for steps without a recent decision.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the lines of a step with a task that has run before. All other steps have a line
/// each [`BYPASS_INTERVAL`].
const RETURNING_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two lines of all steps: forty lines a second at most, also in a cell of a
/// thousand workers. The interval of each step grows with the number of steps that wait, so that
/// each has its turn.
const LINE_GAP: Duration = Duration::from_millis(25);
/// Time of which unused lines may be made up for, when many tasks are lost at once.
const LINE_BURST: Duration = Duration::from_secs(1);
/// Time for which placements on the reserve for short tasks are remembered.
const OVERRIDE_SPAN: Duration = Duration::from_secs(2);
/// Upper bounds of the waits of returning tasks that are counted apart.
const WAIT_BOUNDS: [Duration; 3] = [Duration::from_secs(1), LONG_WAIT, Duration::from_secs(6)];

/// Recent placements of service tasks on the reserve for short tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overrides {
    recent: VecDeque<Time>,
}

impl Overrides {
    pub(crate) fn push(&mut self, now: Time) {
        while self.recent.front().is_some_and(|&at| at + OVERRIDE_SPAN < now) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    fn count(&self, now: Time) -> usize {
        self.recent.iter().rev().take_while(|&&at| at + OVERRIDE_SPAN >= now).count()
    }
}

/// State of the log, and the waits that have ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waits {
    /// Time up to which lines are accounted for.
    lines_until: Time,
    /// When steps without a recent decision are checked next.
    check_due: Time,
    /// Number of waiting service steps in this pass so far, and in the previous one.
    pub(crate) steps: u32,
    previous_steps: u32,
    pub(crate) returned: Returned,
}

/// Number of service tasks that were placed again, by how long they had waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Returned {
    counts: [u64; WAIT_BOUNDS.len() + 1],
}

impl Returned {
    fn count(&mut self, waited: Duration) {
        let index = WAIT_BOUNDS.iter().filter(|&&bound| waited >= bound).count();
        self.counts[index] += 1;
    }

    /// Returns the counts, each with the upper bound of the wait in seconds.
    pub(crate) fn by_bound(&self) -> [(&'static str, u64); WAIT_BOUNDS.len() + 1] {
        let [first, second, third, rest] = self.counts;
        [("1", first), ("3", second), ("6", third), ("more", rest)]
    }
}

impl Waits {
    pub(crate) fn begin_pass(&mut self) {
        self.previous_steps = std::mem::take(&mut self.steps);
    }

    /// Takes a line, if one is left.
    fn take_line(&mut self, now: Time) -> bool {
        let until = self.lines_until.max(now.saturating_sub(LINE_BURST)) + LINE_GAP;
        if until > now {
            return false;
        }
        self.lines_until = until;
        true
    }

    fn interval(&self, returning: bool) -> Duration {
        let interval = if returning { RETURNING_INTERVAL } else { BYPASS_INTERVAL };
        interval.max(LINE_GAP * self.previous_steps)
    }
}

impl Planner {
    /// Logs why service steps wait about which nothing was decided recently. Where no worker fits,
    /// there is no placement pass until something has changed.
    pub(crate) fn log_due_waits(&mut self) {
        if self.now < self.service_waits.check_due {
            return;
        }
        self.service_waits.check_due = self.now + CHECK_INTERVAL;
        let due = self.due_waits();
        if due.is_empty() {
            return;
        }
        for step in due {
            let accepted = self.jobs[&step.job].accepted.clone();
            self.log_service_wait(step, &accepted.spec.steps[usize::from(step.step)]);
        }
    }

    /// Returns the waiting service steps that are due to be logged.
    fn due_waits(&self) -> Vec<StepId> {
        let mut due = Vec::new();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            if !job.accepted.spec.steps.iter().any(|step| step.long_running) {
                continue;
            }
            let steps = job.waiting_steps(id).into_iter();
            let services = steps.filter(|step| job.spec(step.step).long_running);
            due.extend(services.filter(|&step| self.due_task(step).is_some()));
        }
        due
    }

    /// Returns the task of a step that is due to be logged, if there is one: the one that has
    /// waited longest, of those that have run before if there are any.
    fn due_task(&self, step: StepId) -> Option<(id::TaskIndex, &Task)> {
        let state = self.jobs.get(&step.job)?.step(step)?;
        let elapsed = state.service_wait_logged_at.map(|at| self.now.saturating_sub(at));
        if elapsed.is_some_and(|elapsed| elapsed < RETURNING_INTERVAL) {
            return None;
        }
        let waiting = (0..).zip(&state.tasks).filter(|(_, task)| task.place == Place::Waiting);
        let longest = waiting.min_by_key(|(_, task)| (task.attempt == 0, task.waiting_since));
        longest.filter(|(_, task)| {
            let interval = self.service_waits.interval(task.attempt > 0);
            self.now >= task.waiting_since + FIRST_LINE_DELAY
                && elapsed.is_none_or(|elapsed| elapsed >= interval)
        })
    }

    /// Logs why a service step has waiting tasks, if that is due.
    pub(crate) fn log_service_wait(&mut self, step: StepId, spec: &Step) {
        let now = self.now;
        let Some((index, task)) = self.due_task(step) else { return };
        let run = Run { task: step.task(index), attempt: task.attempt };
        if !self.service_waits.take_line(now) {
            return;
        }
        let detail = self.describe_wait(run.task, spec);
        let pinned_to = self.pinned_name(run.task);
        self.note(LogEvent::ServiceTaskWaits, Some(step.job), Some(run), pinned_to, detail);
        if let Some(state) = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step)) {
            state.service_wait_logged_at = Some(now);
        }
    }

    fn describe_wait(&self, id: TaskId, spec: &Step) -> String {
        let job = &self.jobs[&id.job];
        let (Some(state), Some(task)) = (job.step(id.step_id()), job.task(id)) else {
            return String::new();
        };
        let undecided = Decision::default();
        let decision = state.decision.as_deref().unwrap_or(&undecided);
        let room = self.room_for(id, spec, &self.service(id.job));
        let reason = self.wait_reason(id, spec, task, decision, &room);
        let waiting = state.tasks.iter().filter(|task| task.place == Place::Waiting);
        let returning = waiting.filter(|task| task.attempt > 0).count();
        let (windows, least) = state.idle.windows(self.reserve_overrides);
        let (held, quota) = self.quota.usage();
        format!(
            "waits for {} ms, since {}; reason: {reason}; decided {} ms ago; step {}: {} waiting, {returning} returning, {} millicores each; {room}{}; windows {windows} of {} with at least {least}, pair {:.2}; an observer sees {}, two for {} ms; quota {held:.0} of {quota:.0} millicores; {} overrides in {} ms; reclaim: {}{}",
            self.now.saturating_sub(task.waiting_since).as_millis(),
            self.wait_start(task, task.attempt > 0),
            self.now.saturating_sub(decision.at).as_millis(),
            id.step,
            state.waiting,
            spec.demand.cpu_milli,
            decision.narrowing(),
            idle::WINDOWS,
            state.idle.pair_fraction(),
            state.watch.slots(),
            state.watch.pair_time(self.now).as_millis(),
            self.recent_overrides.count(self.now),
            OVERRIDE_SPAN.as_millis(),
            self.reclaim_text(task, decision),
            if self.is_left_out(id, spec, task) { ", left out" } else { "" },
        )
    }

    /// Returns what began when a task's wait began, as far as this owner knows.
    fn wait_start(&self, task: &Task, has_run: bool) -> &'static str {
        if task.waiting_since < self.owned_at {
            "a time before this owner took over"
        } else if task.waiting_since == self.owned_at {
            "this owner took over"
        } else if has_run {
            "its run ended"
        } else {
            "its job arrived"
        }
    }

    fn reclaim_text(&self, task: &Task, decision: &Decision) -> &'static str {
        match self.claim(task) {
            Claim::Nothing => "none",
            Claim::TimedOut => "timed out",
            Claim::Jobs(_) if decision.mostly_free => "none, most of the cell is free",
            Claim::Jobs(Extent::Lost) => "lost",
            Claim::Jobs(Extent::LateUnstarted) => "late unstarted",
            Claim::Jobs(Extent::Late) => "late",
        }
    }

    /// Counts a service task that was just assigned, and logs it if it had waited for long.
    pub(crate) fn log_service_placement(&mut self, task: TaskId, worker: WorkerId, way: Way) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(state) = job.task(task).filter(|_| job.spec(task.step).long_running) else {
            return;
        };
        let waited = self.now.saturating_sub(state.waiting_since);
        let run = Run { task, attempt: state.attempt };
        let has_run = state.attempt > 1;
        let start = self.wait_start(state, has_run);
        let milli = job.spec(task.step).demand.cpu_milli;
        self.service_starts.count(way, has_run, milli);
        if has_run {
            self.service_waits.returned.count(waited);
        }
        if waited < LONG_WAIT {
            return;
        }
        let detail =
            format!("waited for {} ms, since {start}; way: {}", waited.as_millis(), way.text());
        let name = self.workers[worker].name.clone();
        self.note(LogEvent::ServiceTaskPlaced, Some(task.job), Some(run), Some(name), detail);
    }
}
