//! The last check of a start before it is sent.
//!
//! A worker may change while a start for it waits for the store, the link, a response or CPU time.
//! If it has shrunk, is draining or has had its failure domain evacuated since the placement,
//! nothing may be started on it. Every start passes this check, however its worker was chosen: when
//! it falls due, when it is retried, and right before it is sent.

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Target;

use crate::planner::Planner;
use crate::workers::host::Command;
use crate::workers::host::Hosted;
use crate::workers::host::Reason;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Reason why nothing more may be started on a worker, whatever was decided before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// The worker doesn't refuse excess runs and has less capacity than is reserved.
    Overcommitted,
    /// The worker is draining.
    Draining,
    /// The worker's failure domain is evacuated.
    Evacuated,
}

impl Obstacle {
    fn text(self) -> &'static str {
        match self {
            Obstacle::Overcommitted => "its worker has less capacity than when the run was placed",
            Obstacle::Draining => "its worker is leaving",
            Obstacle::Evacuated => "its worker's failure domain is evacuated",
        }
    }
}

impl Planner {
    /// Returns the reason why nothing may be started on a worker, if there is one.
    pub(crate) fn obstacle(&self, worker: &Worker) -> Option<Obstacle> {
        if self.is_evacuated(worker) {
            Some(Obstacle::Evacuated)
        } else if worker.draining {
            Some(Obstacle::Draining)
        } else if !worker.reserved.fits_within(worker.capacity)
            && !self.refuses_excess(&worker.service)
        {
            Some(Obstacle::Overcommitted)
        } else {
            None
        }
    }

    /// Withdraws a due start that may not be sent; returns `true` if it did. A start whose outcome
    /// is unknown is stopped instead, so that it keeps its reservation until the outcome is known.
    pub(crate) fn withdraw_start(&mut self, worker: WorkerId, run: Run) -> bool {
        let state = &self.workers[worker];
        let stage = state.runs.get(&run).map(|hosted| hosted.stage);
        let unsettled = match stage {
            Some(Stage::Intended { .. }) => false,
            Some(Stage::Starting { command: Command::Due(_), unsettled }) => unsettled,
            _ => return false,
        };
        let Some(obstacle) = self.obstacle(state) else { return false };
        let name = state.name.clone();
        let job = Some(run.task.job);
        self.note(LogEvent::StartWithdrawn, job, Some(run), Some(name), obstacle.text());
        if unsettled {
            self.stop_run(worker, run, Reason::Unsettled);
        } else {
            self.end_run(worker, run, EndReason::Stopped, None);
        }
        true
    }

    /// Withdraws the starts for a worker that were decided on but not sent.
    pub(crate) fn withdraw_starts(&mut self, worker: WorkerId) {
        for run in self.workers[worker].runs_where(Hosted::is_starting) {
            self.withdraw_start(worker, run);
        }
    }

    /// Returns `true` if a start that was decided on is still to be sent. An owner short of CPU
    /// time sends its commands late: the task may have ended since, or its worker may take nothing
    /// more.
    pub fn is_start_wanted(&self, target: &Target, run: Run) -> bool {
        let worker = self.find_worker(target).and_then(|worker| self.workers.get(worker));
        let Some(worker) = worker else { return false };
        let Some(hosted) = worker.runs.get(&run) else { return false };
        let wanted = match hosted.stage {
            // Resent to see whether the worker is alive; the next incarnation may carry it out.
            Stage::Running { .. } => hosted.probed,
            Stage::Starting { .. } => true,
            _ => false,
        };
        wanted && self.obstacle(worker).is_none()
    }
}
