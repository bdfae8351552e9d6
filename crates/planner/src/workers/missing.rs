//! Runs that a worker's report lists neither as running nor as ended.
//!
//! Such a run may be gone: its start was never carried out, or its end was lost. Or it has ended,
//! and the report doesn't show that yet:
//!
//! - a run that is being stopped or killed is in neither list for as long as a stop takes;
//! - a worker lists its oldest ends, and the next ones once these are acknowledged, which waits for
//!   the store. However many a worker lists, a report that lists ends may leave out later ones.
//!
//! Ends are numbered in the order in which they happen, and listed in that order. So a report
//! without ends shows all of them up to the time at which it was requested; and the end of a run
//! that was running at some time shows all ends up to that time. A run is gone if it is missing for
//! longer than a stop takes, and all ends up to then are known.

use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Run;

use crate::planner::Planner;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Interval between two log lines about the runs that are missing from a worker's reports.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

impl Hosted {
    /// Returns the latest time known at which the run had not ended.
    fn running_at(&self) -> Option<Time> {
        self.listed_at.max(self.start_first_sent)
    }

    /// Returns `true` if a report that was requested at `sent` should list the run.
    fn is_expected(&self, sent: Time) -> bool {
        match self.stage {
            Stage::Inherited => true,
            Stage::Running { since } => since < sent,
            Stage::Stopping { command: Command::Done(at), .. } => at < sent,
            Stage::Intended { .. } | Stage::Starting { .. } | Stage::Stopping { .. } => false,
        }
    }
}

impl Worker {
    /// Extends the time up to which all ends are known by those that a report lists, before they
    /// are handled.
    pub(crate) fn extend_known_ends(&mut self, sent: Time, ended: &[Ended]) {
        let known = match ended {
            [] => Some(sent),
            ended => ended.iter().filter_map(|end| self.runs.get(&end.run)?.running_at()).max(),
        };
        self.ends_known_until = self.ends_known_until.max(known.unwrap_or_default());
    }
}

impl Planner {
    /// Resolves runs that the worker reports neither as running nor as ended, although the
    /// heartbeat was sent after they must have been there.
    pub(crate) fn resolve_missing(&mut self, worker: WorkerId, sent: Time, listed: &[Run]) {
        let now = self.now;
        let max_stop_time = self.settings.max_stop_time;
        let state = &mut self.workers[worker];
        let known_until = state.ends_known_until.min(sent);
        let mut gone: Vec<(Run, Stage)> = Vec::new();
        for (run, hosted) in &mut state.runs {
            if listed.contains(run) || !hosted.is_expected(sent) {
                hosted.missing_since = None;
                continue;
            }
            let since = *hosted.missing_since.get_or_insert(now);
            if known_until >= since + max_stop_time {
                gone.push((*run, hosted.stage));
            }
        }
        for (run, stage) in gone {
            match stage {
                Stage::Inherited => self.end_run(worker, run, EndReason::LeaseExpired, None),
                Stage::Running { .. } => self.stop_run(worker, run, Reason::Missing),
                _ => self.end_run(worker, run, EndReason::Stopped, None),
            }
        }
    }

    /// Logs how many runs are missing from a worker's report that lists this many ends, from time to
    /// time while there are any.
    pub(crate) fn log_missing(&mut self, worker: WorkerId, listed_ends: usize) {
        let state = &mut self.workers[worker];
        if self.now < state.missing_log_due {
            return;
        }
        let missing = state.runs.values().filter(|hosted| hosted.missing_since.is_some()).count();
        if missing == 0 {
            return;
        }
        state.missing_log_due = self.now + LOG_INTERVAL;
        let name = state.name.clone();
        let detail = format!(
            "{missing} of {} runs; {listed_ends} ends listed, up to {} acknowledged, known up to {} ms ago",
            state.runs.len(),
            state.acknowledged,
            self.now.saturating_sub(state.ends_known_until).as_millis()
        );
        self.note(LogEvent::RunsMissing, None, None, Some(name), detail);
    }
}
