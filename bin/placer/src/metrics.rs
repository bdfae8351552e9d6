//! Counters and gauges of the placer.

use std::time::Duration;

use cowslipchute_base::event::Event;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::status::Status;

/// Upper bounds of the histogram of exchange times, in seconds.
const EXCHANGE_BUCKETS_SECONDS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Counters and gauges; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    store_calls: IntCounterVec,
    exchanges: IntCounterVec,
    exchange_seconds: Histogram,
    events: IntCounterVec,
    cells: IntGaugeVec,
    tasks: IntGaugeVec,
    workers: IntGaugeVec,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// When the registry already has a metric with one of these names.
    pub fn open(registry: &Registry) -> prometheus::Result<Metrics> {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label])
        };
        let gauge =
            |name: &str, help: &str, label: &str| IntGaugeVec::new(Opts::new(name, help), &[label]);
        let seconds = HistogramOpts::new(
            "cowslipchute_placer_exchange_seconds",
            "Time of one exchange with a worker.",
        );
        let metrics = Metrics {
            store_calls: counter(
                "cowslipchute_placer_store_calls_total",
                "Calls to the platform's store, by purpose.",
                "purpose",
            )?,
            exchanges: counter(
                "cowslipchute_placer_exchanges_total",
                "Exchanges with workers, by how they ended.",
                "outcome",
            )?,
            exchange_seconds: Histogram::with_opts(
                seconds.buckets(EXCHANGE_BUCKETS_SECONDS.to_vec()),
            )?,
            events: counter(
                "cowslipchute_placer_events_total",
                "Changes that the system made on its own, by event; starts, completions and evictions among them.",
                "event",
            )?,
            cells: gauge(
                "cowslipchute_placer_cells",
                "Cells of the failure domain, by how this placer stands to them.",
                "state",
            )?,
            tasks: gauge(
                "cowslipchute_placer_tasks",
                "Tasks of the cells that this placer owns, by state; maybe counts some again.",
                "state",
            )?,
            workers: gauge(
                "cowslipchute_placer_workers",
                "Workers of the cells that this placer owns, by health.",
                "health",
            )?,
        };
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.exchanges.clone()))?;
        registry.register(Box::new(metrics.exchange_seconds.clone()))?;
        registry.register(Box::new(metrics.events.clone()))?;
        registry.register(Box::new(metrics.cells.clone()))?;
        registry.register(Box::new(metrics.tasks.clone()))?;
        registry.register(Box::new(metrics.workers.clone()))?;
        Ok(metrics)
    }

    /// Counts a call to the store.
    pub fn store_call(&self, purpose: &str) {
        self.store_calls.with_label_values(&[purpose]).inc();
    }

    /// Counts an exchange with a worker.
    pub fn exchange(&self, outcome: &str, took: Duration) {
        self.exchanges.with_label_values(&[outcome]).inc();
        self.exchange_seconds.observe(took.as_secs_f64());
    }

    /// Counts a change that the system made without an operator's request.
    pub fn event(&self, event: Event) {
        self.events.with_label_values(&[event.name()]).inc();
    }

    /// Sets the gauges.
    pub fn set_status(&self, status: &Status) {
        self.cells.reset();
        self.tasks.reset();
        self.workers.reset();
        for cell in &status.cells {
            self.cells.with_label_values(&[cell.state]).inc();
            let Some(detail) = &cell.detail else { continue };
            for (state, count) in detail.tasks.named() {
                self.tasks.with_label_values(&[state]).add(count.into());
            }
            for (health, count) in &detail.workers.by_health {
                self.workers.with_label_values(&[health]).add(*count as i64);
            }
        }
    }
}
