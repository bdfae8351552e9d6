//! Planned writes of a job's record, for changes that need no write of their own.
//!
//! A start that is settled holds back nothing under this owner, but the next owner assumes that it is
//! outstanding until the record says otherwise. The settled starts of a job are written together,
//! some time after the first of them, unless another write has included them.
//!
//! The record holds how long ago an outstanding start was sent. The next owner waits for what is
//! left of its expiry, so the age is written again from time to time; otherwise a chain of owners
//! would lose it. Clocks of owners aren't compared: an age is a lower bound whenever it is read.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;

use crate::planner::Planner;
use crate::records::record::Record;
use crate::workers::command::Timer;

/// Delay of the write after the first start that has been settled: one write holds the starts of a
/// placement pass, whose workers report within some hundred milliseconds.
pub(crate) const SETTLED_START_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a job with outstanding starts is written. A change of owner loses up to this
/// much of their age.
const OUTSTANDING_START_INTERVAL: Duration = Duration::from_millis(500);

impl Planner {
    /// Plans a write of a job's record, unless an earlier one is planned.
    pub(crate) fn plan_rewrite(&mut self, job: JobId, delay: Duration) {
        let at: Time = self.now + delay;
        let Some(state) = self.jobs.get_mut(&job) else { return };
        if state.rewrite_at.is_none_or(|planned| at < planned) {
            state.rewrite_at = Some(at);
            self.timers.insert((at, Timer::Rewrite(job)));
        }
    }

    /// Plans the next write of a job whose record is being written, or was taken over.
    pub(crate) fn plan_next_rewrite(&mut self, job: JobId, record: &Record) {
        if let Some(state) = self.jobs.get_mut(&job) {
            state.rewrite_at = None;
        }
        if !record.outstanding.is_empty() {
            self.plan_rewrite(job, OUTSTANDING_START_INTERVAL);
        }
    }

    /// Writes a job's record if that is still planned.
    pub(crate) fn rewrite(&mut self, job: JobId) {
        let now = self.now;
        let planned = self.jobs.get(&job).and_then(|state| state.rewrite_at);
        if planned.is_some_and(|at| at <= now) {
            self.mark_dirty(job);
        }
    }
}
