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
use crate::workers::worker::Worker;

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

/// Returns the earliest time at which the incarnation that has sent a report may have begun.
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

impl Worker {
    /// Returns the incarnation that has sent a response with this time on its clock, given the
    /// clock in the latest report before the command.
    ///
    /// An incarnation that has begun since the latest report is younger than the request for that
    /// report, and clocks never run fast. The comparison needs no assumption on how slow they run.
    pub(crate) fn responder(
        &self,
        before: Option<Timestamp>,
        clock: Timestamp,
        now: Time,
    ) -> Responder {
        if before.is_some_and(|before| clock < before) {
            return Responder::Later;
        }
        let is_older_than_report = self.clock_reading.is_some_and(|reading| {
            u128::from(clock) > now.saturating_sub(reading.requested_at).as_millis()
        });
        if is_older_than_report { Responder::Current } else { Responder::Undetermined }
    }
}
