//! Attribution of responses to the incarnations of a worker.
//!
//! A command names its worker, not an incarnation, so the next incarnation may carry it out and
//! respond to it. Reports and directory entries give the start time of their incarnation; the
//! responses to other commands give the time on the worker's clock only, which starts anew with
//! each incarnation. `docs/design/incarnations.md` lists what is known of each message.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Timestamp;

use crate::workers::host::Hosted;
use crate::workers::worker::CLOCK_DRIFT;
use crate::workers::worker::ClockReading;
use crate::workers::worker::Worker;

/// How far a clock may be ahead of what is possible before it counts as another one.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);

/// The incarnation that has sent a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Responder {
    /// The known incarnation.
    Current,
    /// A later incarnation: the known one has ended.
    Later,
    /// The known incarnation, or one that has begun since its latest report.
    Undetermined,
}

impl Responder {
    /// Returns the attribution for the log.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Responder::Current => "",
            Responder::Later => "a later incarnation has responded",
            Responder::Undetermined => "the incarnation that has responded is unknown",
        }
    }
}

/// Returns the earliest time at which the incarnation that has sent a report may have begun: its
/// clock shows its age at least.
pub(crate) fn earliest_start(sent: Time, report: &Report) -> Time {
    // The clock is rounded down to milliseconds.
    let age = Duration::from_millis(report.clock + 1).div_f64(1.0 - CLOCK_DRIFT);
    sent.saturating_sub(age)
}

impl Hosted {
    /// Returns `true` if the start of the run was answered before an incarnation began, and no other
    /// start of it may be carried out.
    pub(crate) fn was_begun_before(&self, incarnation_began: Time) -> bool {
        self.starts_in_flight == 0
            && self.undetermined_since.is_some_and(|at| at <= incarnation_began)
    }
}

impl ClockReading {
    /// Returns the latest time that the same clock can show now, if it doesn't run fast.
    fn latest(&self, now: Time) -> Timestamp {
        let elapsed = now.saturating_sub(self.requested_at).as_millis() as Timestamp;
        self.stamp.saturating_add(elapsed)
    }

    /// Returns `true` if a clock is too far ahead to be the same one.
    pub(crate) fn is_outrun_by(&self, clock: Timestamp, now: Time) -> bool {
        clock > self.latest(now).saturating_add(MAX_CLOCK_LEAD.as_millis() as Timestamp)
    }
}

impl Worker {
    /// Returns the incarnation that has sent a response with this time on its clock, given the
    /// clock in the latest report before the command.
    ///
    /// Each incarnation's clock starts anew, at zero or anywhere else, and no clock runs fast. So one
    /// that has gone back, or has advanced by more than the time that has passed, is another one. One
    /// that has advanced by less is the same, unless the incarnation is so young that another one
    /// which has begun at zero since the latest report could show it.
    pub(crate) fn responder(
        &self,
        before: Option<Timestamp>,
        clock: Timestamp,
        now: Time,
    ) -> Responder {
        let Some(reading) = self.clock_reading else { return Responder::Undetermined };
        if before.is_some_and(|before| clock < before) || reading.is_outrun_by(clock, now) {
            return Responder::Later;
        }
        let since_report = now.saturating_sub(reading.requested_at);
        let is_older_than_report = u128::from(clock) > since_report.as_millis();
        if is_older_than_report && clock <= reading.latest(now) {
            Responder::Current
        } else {
            Responder::Undetermined
        }
    }
}
