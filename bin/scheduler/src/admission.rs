//! Admission of jobs at this instance: fetches forecasts from the owner of the cell and applies the
//! decisions of [`cowslipchute_admission::gate`].
//!
//! A forecast is fetched in the background while clients submit jobs here; no request waits for one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use cowslipchute_admission::calendar::Booking;
use cowslipchute_admission::demand::Demand;
use cowslipchute_admission::gate::Estimate;
use cowslipchute_admission::gate::Gate;
use cowslipchute_admission::gate::Verdict;
use cowslipchute_base::code::Code;
use cowslipchute_base::panic;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Rejection;
use tokio::sync::watch;

use crate::clock;
use crate::election::Holder;
use crate::metrics::Metrics;
use crate::rpc::Endpoint;
use crate::rpc::Request;
use crate::rpc::Response;

/// Admission control of this instance.
#[derive(Clone, Debug)]
pub struct Admission {
    gate: Arc<Mutex<Gate>>,
    endpoint: Endpoint,
    holder: watch::Receiver<Option<Holder>>,
    metrics: Metrics,
}

impl Admission {
    /// Opens admission control that knows nothing yet, so that it admits every job.
    pub fn open(
        endpoint: Endpoint,
        holder: watch::Receiver<Option<Holder>>,
        metrics: Metrics,
    ) -> Admission {
        Admission { gate: Arc::default(), endpoint, holder, metrics }
    }

    /// Decides on a job that was submitted here.
    ///
    /// # Errors
    ///
    /// Returns the rejection of a job that can't be done before it is worth nothing.
    pub fn decide(&self, demand: &Demand) -> Result<(), Rejection> {
        self.refresh();
        let verdict = self.lock().decide(clock::now(), demand);
        self.metrics.admission(verdict_name(&verdict));
        match verdict {
            Verdict::Admitted(_) | Verdict::Unjudged(_) => Ok(()),
            Verdict::Rejected { estimate, retry_after } => {
                let rejection = Rejection::new(Code::JobShed, reason(&estimate, demand));
                Err(rejection.retry_after(retry_after))
            }
        }
    }

    /// Requests a forecast in the background if one is due.
    fn refresh(&self) {
        let owner = self.holder.borrow().as_ref().map(|holder| holder.address);
        let Some(owner) = owner else { return };
        let requested_at = clock::now();
        let Some(bookings) = self.lock().request(requested_at) else { return };
        let admission = self.clone();
        tokio::spawn(async move {
            let jobs: Vec<JobId> = bookings.iter().map(|booking: &Booking| booking.job).collect();
            let response = admission.endpoint.call(owner, Request::Forecast(bookings)).await;
            if let Some(Response::Forecast(forecast)) = response {
                admission.metrics.forecast_received(clock::now());
                admission.lock().receive(Arc::unwrap_or_clone(forecast), requested_at, &jobs);
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        panic::lock(&self.gate)
    }
}

/// Returns the value of the `verdict` label.
fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Admitted(_) => "admitted",
        Verdict::Unjudged(_) => "unjudged",
        Verdict::Rejected { .. } => "rejected",
    }
}

/// Returns the inputs of a rejection, for the client and the log.
fn reason(estimate: &Estimate, demand: &Demand) -> String {
    let Estimate { forecast_age, work_before, rate, earliest_end, limit } = estimate;
    format!(
        "queue {}: {work_before:.0} core-seconds go first and {rate:.0} are done per second, so it ends in {} ms at the earliest and is worth nothing after {} ms (forecast of {} ms ago)",
        demand.queue,
        millis(*earliest_end),
        millis(*limit),
        millis(*forecast_age),
    )
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}
