//! Window of starts in flight.
//!
//! Load pattern: a takeover, or the end of an outage, finds capacity for thousands of tasks at once.
//! Without a window one placement pass assigns them all. It takes longer than a lease, and sending
//! its starts occupies the owner for seconds more, in which it handles no end and no arrival.
//!
//! With it, tasks beyond the window stay in the planner, where the most valuable one goes first and
//! cancelled ones are dropped. The window moves as starts are answered, so the owner decides on
//! starts as fast as it sends them. It is smaller while the owner is behind, since each start in
//! flight delays whatever comes after it.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::workers::host::Stage;
use crate::workers::worker::WorkerId;

/// Number of starts that may be in flight: a few times what a busy owner sends while one is on its
/// way.
const MAX_STARTS: usize = 512;
/// The same for an owner that is far behind.
const MIN_STARTS: usize = 16;
/// Lag up to which the window has its full size.
const FULL_SIZE_LAG: Duration = Duration::from_millis(60);
/// Jobs that get a start beyond the window in a placement pass: those that have starved for the
/// longest time, which may soon count as lost.
const STARVED_JOBS: usize = 2;

/// Tasks that are assigned and whose starts are not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    /// Number of starts that may be in flight.
    size: usize,
    pending: Vec<(WorkerId, Run)>,
    /// Jobs that may get a start beyond the window in the current pass.
    starved: SmallVec<[JobId; STARVED_JOBS]>,
    /// Whether a task had to wait for the window.
    refused: bool,
}

impl Default for Window {
    fn default() -> Window {
        Window { size: MAX_STARTS, pending: Vec::new(), starved: SmallVec::new(), refused: false }
    }
}

impl Window {
    /// Sets the size for an owner with this lag.
    pub(crate) fn resize(&mut self, lag: Duration) {
        let fraction = FULL_SIZE_LAG.div_duration_f64(lag.max(FULL_SIZE_LAG));
        self.size = ((MAX_STARTS as f64 * fraction) as usize).max(MIN_STARTS);
    }

    fn is_open(&self) -> bool {
        self.pending.len() < self.size
    }

    /// Returns `true` if another task of a job may be assigned. If not, the next answer leads to
    /// another pass.
    pub(crate) fn admits(&mut self, job: JobId) -> bool {
        let admits = self.is_open() || self.starved.contains(&job);
        self.refused |= !admits;
        admits
    }

    /// Records that a task was assigned.
    pub(crate) fn push(&mut self, worker: WorkerId, run: Run) {
        if !self.is_open() {
            self.starved.retain(|job| *job != run.task.job);
        }
        self.pending.push((worker, run));
    }

    /// Returns `true` if a task waits for the answer to a start that has just come.
    pub(crate) fn take_refused(&mut self) -> bool {
        std::mem::take(&mut self.refused)
    }
}

impl Planner {
    /// Forgets the starts that were answered, went unanswered or were withdrawn since the last
    /// placement pass.
    pub(crate) fn begin_start_window(&mut self) {
        let mut window = std::mem::take(&mut self.start_window);
        window.pending.retain(|&(worker, run)| {
            let state = self.workers.get(worker).and_then(|worker| worker.runs.get(&run));
            matches!(
                state.map(|hosted| hosted.stage),
                Some(Stage::Intended { .. } | Stage::Starting { unsettled: false, .. })
            )
        });
        window.refused = false;
        window.starved = self.starved_jobs();
        self.start_window = window;
    }

    /// Returns the jobs that have starved for the longest time, if the owner is behind.
    fn starved_jobs(&self) -> SmallVec<[JobId; STARVED_JOBS]> {
        if !self.load.is_behind() {
            return SmallVec::new();
        }
        let waiting = self.waiting.iter().filter(|&job| self.jobs.contains_key(job));
        let mut starved: Vec<(Time, JobId)> =
            waiting.filter_map(|&job| Some((self.starving_since(job)?, job))).collect();
        starved.sort_unstable();
        starved.into_iter().take(STARVED_JOBS).map(|(_, job)| job).collect()
    }
}
