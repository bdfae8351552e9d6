//! Backpressure: an owner that is behind spends less on what is worth the least.
//!
//! Load pattern: an owner short of processor time. Each event waits for a round of the owner's
//! work, and a task's capacity is idle from its end until the next start arrives, which takes
//! several rounds. So a late owner starts fewer tasks, the backlog grows, and passes over it make
//! the owner later still.
//!
//! What can be had for less is had for less while the owner is behind: reports of workers on which
//! no short task is about to end come in larger batches, placement passes take a bounded fraction
//! of the time, and small changes of speed limits are left out. Each of them falls with the lag, so
//! that the owner keeps up again whatever it was that set it back.

use std::time::Duration;

use cowslipchute_base::id::Time;

use crate::planner::Planner;
use crate::workers::host::FULL_SPEED;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::Contact;
use crate::workers::worker::Heartbeat;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Lag that an owner has in normal operation, a few rounds of its work.
const NORMAL_LAG: Duration = Duration::from_millis(8);
/// Pause between a report and the next heartbeat to the same worker, for each unit of lag beyond the
/// normal one.
const PAUSE_PER_LAG: u32 = 25;
/// Longest such pause: reports of latency-critical tasks have to arrive well within the time for
/// which a violation may last.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Time before the expected end of a short task at which its worker gets the next heartbeat, since
/// estimates are rough.
const END_MARGIN: Duration = Duration::from_millis(100);
/// Rank of the remaining times of like runs at which the next heartbeat is due, where durations are
/// learnt: a heartbeat too early costs little, while capacity is idle from an end until the report.
const EARLY_END_RANK: f64 = 0.25;
/// Interval between two placement passes as a multiple of the duration of one, up to
/// [`BRIEF_PASS_INTERVAL`].
const BRIEF_PASS_FACTOR: u32 = 8;
/// Interval up to which short passes take a small fraction of the time. Beyond it, tasks that have
/// just arrived would wait for long.
const BRIEF_PASS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two placement passes as a multiple of the duration of one, for long passes: the
/// larger part of the time is left for everything else.
const LONG_PASS_FACTOR: u32 = 3;
/// Longest interval between two placement passes: a job may have nothing running beside free
/// capacity for three seconds.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(500);
/// Change of a speed limit, in percent, that is left out while the owner is behind.
const MIN_SPEED_CHANGE: u8 = 20;

/// How far an owner is behind, as measured by the process that runs it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Typical age of an event when it is handled.
    pub lag: Duration,
    /// Typical duration of a placement pass.
    pub pass_time: Duration,
}

impl Load {
    /// Returns the lag beyond the normal one.
    fn excess_lag(self) -> Duration {
        self.lag.saturating_sub(NORMAL_LAG)
    }

    /// Returns the pause between a report and the next heartbeat to the same worker. A worker may
    /// delay its response by as much more.
    fn pause(self) -> Duration {
        (self.excess_lag() * PAUSE_PER_LAG).min(MAX_PAUSE)
    }

    /// Returns `true` if the owner is behind.
    pub(crate) fn is_behind(self) -> bool {
        !self.excess_lag().is_zero()
    }
}

impl Planner {
    /// Records how far the owner is behind.
    pub fn set_load(&mut self, load: Load) {
        self.load = load;
        self.start_window.resize(load.lag);
    }

    /// Returns the time of the next heartbeat to a worker that has just reported.
    pub(crate) fn next_heartbeat(&self, worker: &Worker, reported_at: Time) -> Time {
        let pause = self.report_pause(worker);
        if pause.is_zero() {
            return self.now;
        }
        let ends = worker.runs.values().filter_map(|hosted| self.short_end(hosted));
        let due = ends.fold(reported_at + pause, Time::min);
        due.max(self.now)
    }

    /// Returns by how much a worker's reports may be delayed because the owner is behind.
    pub(crate) fn report_pause(&self, worker: &Worker) -> Duration {
        if needs_prompt_reports(worker) { Duration::ZERO } else { self.load.pause() }
    }

    /// Brings a paused heartbeat forward if the end of a run is expected before it.
    pub(crate) fn expedite_heartbeat(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        let Heartbeat::Due(at) = state.heartbeat else { return };
        let Contact::Answering { at: reported_at } = state.contact else { return };
        let next = self.next_heartbeat(state, reported_at);
        if next < at && state.unacknowledged.is_empty() {
            self.schedule_heartbeat(worker, next);
        }
    }

    /// Returns when the end of a short task, or of one that is being stopped, is expected, less a
    /// margin.
    fn short_end(&self, hosted: &Hosted) -> Option<Time> {
        let is_short = !hosted.best_effort && !hosted.long_running;
        let end = match hosted.stage {
            Stage::Stopping { .. } => self.now,
            _ if !is_short => return None,
            Stage::Running { since } => {
                let learnt = self.learnt_remaining(hosted, EARLY_END_RANK);
                learnt.map_or(since + hosted.estimate, |remaining| self.now + remaining)
            }
            Stage::Intended { .. } | Stage::Starting { .. } => {
                let learnt = self.learnt_remaining(hosted, EARLY_END_RANK);
                self.now + learnt.unwrap_or(hosted.estimate)
            }
            Stage::Inherited => self.now,
        };
        Some(end.saturating_sub(END_MARGIN))
    }

    /// Returns the shortest interval between two placement passes.
    pub(crate) fn pass_interval(&self) -> Duration {
        let pass_time = self.load.pass_time;
        let brief = (pass_time * BRIEF_PASS_FACTOR).min(BRIEF_PASS_INTERVAL);
        brief.max(pass_time * LONG_PASS_FACTOR).min(MAX_PASS_INTERVAL)
    }

    /// Returns `true` if a change of a speed limit isn't worth a command now.
    pub(crate) fn skips_speed_change(&self, current: u8, limit: u8) -> bool {
        let is_small = current.abs_diff(limit) <= MIN_SPEED_CHANGE;
        self.load.is_behind() && is_small && limit > 0 && current > 0 && current <= FULL_SPEED
    }
}

/// Returns `true` if a worker's next report decides something that can't wait.
fn needs_prompt_reports(worker: &Worker) -> bool {
    worker.suspects > 0
        || worker.has_task_on_probation()
        || worker.missing_since().is_some()
        || worker.runs.values().any(|hosted| hosted.over_target_since.is_some())
}
