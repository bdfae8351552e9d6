//! Tasks that crash the workers which start them.

use std::time::Duration;

use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;
use cowslipchute_ports::job::TaskId;

use super::World;

/// A worker that ends so soon after a start by itself looks as if it died of it.
const CRASH_WINDOW: Duration = Duration::from_millis(150);

impl World {
    /// Crashes the workers that run a culprit for long enough, and brings back those whose time is over.
    pub(super) fn advance_crashes(&mut self) {
        let now = self.now;
        let crashed: Vec<(String, TaskId)> = self
            .workers
            .iter()
            .filter_map(|(name, worker)| {
                Some((name.clone(), worker.crashing(&self.crashes.culprits, now)?))
            })
            .collect();
        for (name, task) in crashed {
            let worker = self.workers.get_mut(&name).expect("it was looked at a moment ago");
            worker.up = false;
            let gone: Vec<Run> = std::mem::take(&mut worker.active).into_keys().collect();
            self.break_gangs(&gone);
            self.crashes.crash(&name, task, now);
        }
        for name in self.crashes.take_back(now) {
            if !self.workers[&name].up {
                self.crash(&name, true);
            }
        }
    }

    /// A task that has crashed its share of workers isn't started again and again.
    pub(super) fn check_crash_limit(&mut self, run: Run) {
        let broken = self.crashes.start(run);
        assert_eq!(broken, None, "noted before:\n{}", self.notes.join("\n"));
    }

    /// A worker ends by itself: whoever was started there a moment before can't be told from a culprit.
    pub(super) fn record_crash_victims(&mut self, name: &str) {
        let now = self.now;
        let active = self.workers[name].active.iter();
        let begun = active.filter(|(_, active)| now < active.since + CRASH_WINDOW);
        self.crash_victims.extend(begun.map(|(run, _)| run.task.job));
    }

    /// Only a job with a culprit may be given up for crashes, or one that met one by itself right after a start.
    pub(super) fn check_given_up(&self, job: JobId, state: State) {
        let culprit = self.crashes.culprits.keys().any(|task| task.job == job);
        let guilty = culprit || self.crash_victims.contains(&job);
        let notes = || self.notes.join("\n");
        let told = "is given up and crashed no worker";
        assert!(guilty || state != State::Crashed, "{job:x} {told}; noted before:\n{}", notes());
    }
}
