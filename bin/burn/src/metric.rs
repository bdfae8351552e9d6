//! The counters of one entry process, parsed from its metrics page.

use std::collections::BTreeMap;

use prometheus_parse::Labels;
use prometheus_parse::Scrape;
use prometheus_parse::Value;

use crate::failure::Failure;
use cowslipchute_base::code::Code;

/// The labels of one series of `cowslipchute_requests_total`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Series {
    /// The service.
    pub service: String,
    /// The class of the requests.
    pub class: String,
    /// The number of the result code.
    pub code: u16,
}

/// The labels of one histogram of `cowslipchute_request_seconds`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Histogram {
    /// The service.
    pub service: String,
    /// The class of the requests.
    pub class: String,
}

/// A cumulative histogram bucket: the requests that took no longer than a bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// The upper bound in seconds.
    pub upper_bound: f64,
    /// The number of requests.
    pub count: f64,
}

/// The counters of one process at one time, or their increase over a time span.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Final responses to clients.
    pub requests: BTreeMap<Series, f64>,
    /// Latency histograms, with buckets in ascending order of their bound.
    pub latencies: BTreeMap<Histogram, Vec<Bucket>>,
    /// Attempts beyond the first, including hedges, by service.
    pub extra_attempts: BTreeMap<String, f64>,
    /// Seconds during which the store could not be read.
    pub store_down: f64,
}

/// Parses a metrics page; metrics that the report does not use are ignored.
///
/// # Errors
///
/// When the text is not a metrics page, or a series lacks a label.
pub fn parse(text: &str) -> Result<Tally, Failure> {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let scrape = Scrape::parse(lines).map_err(|error| bad_metrics(error.to_string()))?;
    let mut tally = Tally::default();
    for sample in &scrape.samples {
        add_series(&mut tally, &sample.metric, &sample.labels, &sample.value)?;
    }
    Ok(tally)
}

fn add_series(
    tally: &mut Tally,
    metric: &str,
    labels: &Labels,
    value: &Value,
) -> Result<(), Failure> {
    match (metric, value) {
        ("cowslipchute_requests_total", Value::Counter(count)) => {
            let code = label(labels, "code")?;
            let code =
                code.parse().map_err(|_| bad_metrics(format!("{code:?} is not a result code")))?;
            let series = Series {
                service: label(labels, "service")?.to_owned(),
                class: label(labels, "class")?.to_owned(),
                code,
            };
            *tally.requests.entry(series).or_default() += count;
        }
        ("cowslipchute_request_seconds", Value::Histogram(counts)) => {
            let histogram = Histogram {
                service: label(labels, "service")?.to_owned(),
                class: label(labels, "class")?.to_owned(),
            };
            let buckets = counts.iter();
            let buckets =
                buckets.map(|bucket| Bucket { upper_bound: bucket.less_than, count: bucket.count });
            tally.latencies.insert(histogram, buckets.collect());
        }
        ("cowslipchute_retries_total" | "cowslipchute_hedges_total", Value::Counter(count)) => {
            let service = label(labels, "service")?.to_owned();
            *tally.extra_attempts.entry(service).or_default() += count;
        }
        ("cowslipchute_store_down_seconds_total", Value::Counter(seconds)) => {
            tally.store_down += seconds;
        }
        _ => {}
    }
    Ok(())
}

fn label<'a>(labels: &'a Labels, name: &str) -> Result<&'a str, Failure> {
    labels.get(name).ok_or_else(|| bad_metrics(format!("a series lacks the label {name}")))
}

fn bad_metrics(text: String) -> Failure {
    Failure::new(Code::BadFile, format!("metrics can't be parsed: {text}"))
}
