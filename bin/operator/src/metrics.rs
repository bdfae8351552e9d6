//! Metrics of the operator process.

use cowslipchute_base::code::Code;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: IntCounterVec,
    revision: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// When one is registered already.
    pub fn open(registry: &Registry) -> prometheus::Result<Metrics> {
        let requests = IntCounterVec::new(
            Opts::new(
                "cowslipchute_operator_requests_total",
                "Requests of the resource interface, by the number of their result.",
            ),
            &["code"],
        )?;
        let revision = IntGauge::new(
            "cowslipchute_config_revision",
            "Revision of the configuration in force at this instance.",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(revision.clone()))?;
        Ok(Metrics { requests, revision })
    }

    /// Counts an answered request.
    pub fn answered(&self, code: Code) {
        self.requests.with_label_values(&[&code.number().to_string()]).inc();
    }

    /// Records the revision in force.
    pub fn in_force(&self, revision: u64) {
        self.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    }
}
