//! Tasks that crash the workers which start them.

use std::time::Duration;

use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::TaskId;

use super::World;

/// A worker that ends by itself this soon after a start looks as if the start had crashed it.
const CRASH_WINDOW: Duration = Duration::from_millis(150);

impl World {
    /// Crashes the workers on which a crashing task has run for long enough, and brings back those
    /// whose downtime has ended.
    pub(super) fn advance_crashes(&mut self) {
        let now = self.now;
        let crashed: Vec<(String, TaskId)> = self
            .workers
            .iter()
            .filter_map(|(name, worker)| {
                Some((name.clone(), worker.crashing_task(&self.crashes.crashing_tasks, now)?))
            })
            .collect();
        for (name, task) in crashed {
            let worker = self.workers.get_mut(&name).expect("the worker was found above");
            worker.up = false;
            let lost_runs: Vec<Run> = std::mem::take(&mut worker.active).into_keys().collect();
            self.break_gangs(&lost_runs);
            self.crashes.crash(&name, task, now);
        }
        for name in self.crashes.take_back(now) {
            if !self.workers[&name].up {
                self.crash(&name, true);
            }
        }
    }

    /// Checks that a task that has crashed as many workers as allowed isn't started again and
    /// again.
    pub(super) fn check_crash_limit(&mut self, run: Run) {
        let violation = self.crashes.start(run);
        assert_eq!(violation, None, "logged before:\n{}", self.log_lines.join("\n"));
    }

    /// Records the victims of a worker that ends by itself: a task that was started there just
    /// before can't be told from a crashing task.
    pub(super) fn record_crash_victims(&mut self, name: &str) {
        let now = self.now;
        let active = self.workers[name].active.iter();
        let begun = active.filter(|(_, active)| now < active.started_at + CRASH_WINDOW);
        self.crash_victims.extend(begun.map(|(run, _)| run.task.job));
    }

    /// Checks that only a job with a crashing task is ended as crashed, or one whose worker ended
    /// by itself right after a start.
    pub(super) fn check_crashed_job(&self, job: JobId, state: State) {
        let has_crashing_task = self.crashes.crashing_tasks.keys().any(|task| task.job == job);
        let may_crash = has_crashing_task || self.crash_victims.contains(&job);
        let notes = || self.log_lines.join("\n");
        let message = "is ended as crashed although it crashed no worker";
        assert!(
            may_crash || state != State::Crashed,
            "{job:x} {message}; logged before:\n{}",
            notes()
        );
    }
}
