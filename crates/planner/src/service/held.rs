//! Log of the service tasks that keep their places on workers that don't answer.
//!
//! Such a task doesn't wait, so [`crate::service::service_wait`] has no line about it. An observer
//! may know already that its run has ended, while the owner has to assume that it goes on.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;

use crate::planner::Planner;
use crate::workers::host::Hosted;
use crate::workers::worker::Contact;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time for which a worker is silent before its tasks are logged.
const FIRST_LINE_DELAY: Duration = Duration::from_secs(1);
/// Interval of the lines of all workers.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of workers with a line at a time: those that have been silent for the longest
/// time.
const MAX_LINES: usize = 8;

impl Worker {
    /// Returns since when the worker hasn't answered, if it doesn't.
    fn silent_since(&self) -> Option<Time> {
        match self.contact {
            Contact::Answering { .. } => None,
            Contact::Silent { at } | Contact::Unfenced { since: at } => Some(at),
        }
    }
}

impl Planner {
    /// Logs the workers that have been silent for the longest time while they hold service tasks.
    pub(crate) fn log_held(&mut self) {
        if self.now < self.held_log_due {
            return;
        }
        self.held_log_due = self.now + LINE_INTERVAL;
        let mut silent: Vec<(Time, WorkerId)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.runs.values().any(|hosted| hosted.long_running))
            .filter_map(|(id, worker)| Some((worker.silent_since()?, id)))
            .filter(|&(since, _)| self.now >= since + FIRST_LINE_DELAY)
            .collect();
        silent.sort_unstable();
        for &(since, worker) in silent.iter().take(MAX_LINES) {
            self.log_held_by(worker, since, silent.len());
        }
    }

    fn log_held_by(&mut self, worker: WorkerId, since: Time, workers: usize) {
        let state = &self.workers[worker];
        let held = state.runs.values().filter(|hosted| hosted.long_running).count();
        let in_doubt = |hosted: &&Hosted| hosted.has_outstanding_start(self.now);
        let outstanding = state.runs.values().filter(in_doubt).count();
        let contact = match state.contact {
            Contact::Unfenced { .. } => "it has not answered this owner",
            _ => "it has answered this owner",
        };
        let detail = format!(
            "{held} service tasks; silent for {} ms, {contact}; {outstanding} starts may be outstanding{}; {workers} such workers",
            (self.now - since).as_millis(),
            if state.listed { "" } else { "; not in the directory" },
        );
        let name = state.name.clone();
        self.note(LogEvent::ServiceTaskHeld, None, None, Some(name), detail);
    }
}
