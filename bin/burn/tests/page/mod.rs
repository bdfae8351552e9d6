//! Metrics pages as an entry process writes them, with the same library and the same metric names.

#![allow(dead_code, reason = "each test uses its own part")]

use cowslipchute_base::code::Code;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

pub struct Page {
    pub registry: Registry,
    requests: IntCounterVec,
    latencies: HistogramVec,
    retries: IntCounterVec,
    hedges: IntCounterVec,
    store_down: IntCounter,
}

impl Page {
    pub fn open() -> Page {
        let counter = |name: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, "Counts."), labels).unwrap()
        };
        let seconds = HistogramOpts::new("cowslipchute_request_seconds", "Takes time.");
        let seconds = seconds.buckets(vec![0.1, 0.2, 1.0]);
        let page = Page {
            registry: Registry::new(),
            requests: counter(
                "cowslipchute_requests_total",
                &["service", "class", "outcome", "code"],
            ),
            latencies: HistogramVec::new(seconds, &["service", "class"]).unwrap(),
            retries: counter("cowslipchute_retries_total", &["service"]),
            hedges: counter("cowslipchute_hedges_total", &["service"]),
            store_down: IntCounter::new("cowslipchute_store_down_seconds_total", "Down.").unwrap(),
        };
        page.registry.register(Box::new(page.requests.clone())).unwrap();
        page.registry.register(Box::new(page.latencies.clone())).unwrap();
        page.registry.register(Box::new(page.retries.clone())).unwrap();
        page.registry.register(Box::new(page.hedges.clone())).unwrap();
        page.registry.register(Box::new(page.store_down.clone())).unwrap();
        page
    }

    pub fn add_answers(&self, service: &str, class: &str, code: u16, times: u64) {
        let outcome = Code::from_number(code).unwrap().outcome().as_str();
        let code = code.to_string();
        self.requests.with_label_values(&[service, class, outcome, &code]).inc_by(times);
    }

    pub fn add_latency(&self, service: &str, class: &str, seconds: f64) {
        self.latencies.with_label_values(&[service, class]).observe(seconds);
    }

    pub fn add_retries(&self, service: &str, times: u64) {
        self.retries.with_label_values(&[service]).inc_by(times);
    }

    pub fn add_hedges(&self, service: &str, times: u64) {
        self.hedges.with_label_values(&[service]).inc_by(times);
    }

    pub fn add_store_down(&self, seconds: u64) {
        self.store_down.inc_by(seconds);
    }

    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap()
    }
}
