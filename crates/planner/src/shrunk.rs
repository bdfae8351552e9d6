//! Workers that have less room than what was decided for them.
//!
//! Pattern answered: a worker's capacity shrinks while starts for it wait for the store, for the link or for an
//! answer. One that refuses what doesn't fit keeps them out itself; one that takes whatever it is told would be
//! overloaded, long after the directory has told of its new capacity. So each start is checked once more before it
//! is sent, against what its worker has then.

use cowslipchute_base::event::Event as Number;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Run;

use crate::host::Order;
use crate::host::Stage;
use crate::host::Why;
use crate::planner::Planner;
use crate::worker::Worker;
use crate::worker::WorkerId;

impl Planner {
    /// Tells whether a start would overload a worker that takes whatever it is told.
    pub(crate) fn is_overfull(&self, worker: &Worker) -> bool {
        !worker.reserved.fits(worker.capacity) && !self.refuses_excess(&worker.service)
    }

    /// Takes a start back that is due and may not be sent any more; tells whether it did. One of which nobody knows
    /// whether it was carried out is stopped instead, so that it keeps its room until that is known.
    pub(crate) fn take_back_start(&mut self, worker: WorkerId, run: Run) -> bool {
        let state = &self.workers[worker];
        let stage = state.runs.get(&run).map(|hosted| hosted.stage);
        let Some(Stage::Starting { order: Order::Due(_), unsettled }) = stage else { return false };
        if !self.is_overfull(state) {
            return false;
        }
        let name = state.name.clone();
        let detail = "its worker has less room than when it was placed";
        self.note(Number::RunRefused, Some(run.task.job), Some(run), Some(name), detail);
        if unsettled {
            self.stop_run(worker, run, Why::Unsettled);
        } else {
            self.end_run(worker, run, How::Stopped, None);
        }
        true
    }
}
