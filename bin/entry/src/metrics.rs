//! Metrics of the entry process. Label values are bounded: only declared services are named.

use std::time::Duration;

use cowslipchute_base::code::Code;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

use crate::front::Label;

/// The service label of a request whose service is unknown or not declared.
const NO_SERVICE: &str = "-";
/// Upper bounds of the latency histogram's buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Handles to the metrics; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: IntCounterVec,
    latency: HistogramVec,
    retries: IntCounterVec,
    hedges: IntCounterVec,
    /// Attempts in flight.
    pub attempts: IntGauge,
    /// Whole seconds for which the store could not be read.
    pub store_down: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is already registered.
    pub fn open(registry: &Registry) -> prometheus::Result<Metrics> {
        let requests = Opts::new("cowslipchute_requests_total", "Requests given a final answer.");
        let seconds = HistogramOpts::new(
            "cowslipchute_request_seconds",
            "Time from a request's head to its final answer.",
        );
        let retries = Opts::new("cowslipchute_retries_total", "Attempts after a failed one.");
        let hedges = Opts::new("cowslipchute_hedges_total", "Attempts beside a late one.");
        let metrics = Metrics {
            requests: IntCounterVec::new(requests, &["service", "class", "outcome", "code"])?,
            latency: HistogramVec::new(seconds.buckets(BUCKETS.to_vec()), &["service", "class"])?,
            retries: IntCounterVec::new(retries, &["service"])?,
            hedges: IntCounterVec::new(hedges, &["service"])?,
            attempts: IntGauge::new("cowslipchute_attempts_in_flight", "Attempts in flight.")?,
            store_down: IntCounter::new(
                "cowslipchute_store_down_seconds_total",
                "Seconds for which the store could not be read.",
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.hedges.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.store_down.clone()))?;
        Ok(metrics)
    }

    /// Counts a final answer.
    pub fn answered(&self, label: Option<&Label>, code: Code, time: Duration) {
        let service = label.and_then(|label| label.service.as_deref()).unwrap_or(NO_SERVICE);
        let class = label.map(|label| label.class).unwrap_or_default().as_str();
        let number = code.number().to_string();
        let outcome = code.outcome().as_str();
        self.requests.with_label_values(&[service, class, outcome, &number]).inc();
        self.latency.with_label_values(&[service, class]).observe(time.as_secs_f64());
    }

    /// Counts an attempt that is not the first of its request: a retry or a hedge.
    pub fn extra_attempt(&self, service: &str, hedge: bool) {
        let counter = if hedge { &self.hedges } else { &self.retries };
        counter.with_label_values(&[service]).inc();
    }
}
