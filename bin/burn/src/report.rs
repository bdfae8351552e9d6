//! The report: for each service and window, the requests that missed the objective and the burn rate
//! of the error budget. A burn rate of 1 spends the budget exactly over the objective's period.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::Serialize;

use crate::cause;
use crate::cause::Causes;
use crate::metric::Tally;
use crate::objective;
use crate::objective::Objective;
use crate::objective::Verdict;
use crate::span::Seconds;
use crate::span::Span;

/// Label value of requests for a service that is not declared.
const NO_SERVICE: &str = "-";
/// Burn rate in the two shortest windows that requires a page: the budget is spent in two days.
const PAGE_BURN: f64 = 14.4;
/// Burn rate in the second and third window that requires a ticket: the budget is spent in five days.
const TICKET_BURN: f64 = 6.0;
/// Burn rate above which the budget does not last.
const SUSTAINABLE_BURN: f64 = 1.0;

/// The parameters of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The objectives.
    pub objective: Objective,
    /// The lengths of the windows, shortest first. All windows end at the last sample.
    pub windows: Vec<Duration>,
}

/// The urgency with which an operator must handle a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// The budget lasts; nothing to do.
    None,
    /// Investigate during working hours.
    Ticket,
    /// Investigate immediately.
    Page,
}

/// One window of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// Its length in seconds.
    pub seconds: f64,
    /// The fraction of the window that samples cover, from 0 to 1.
    pub covered: f64,
    /// The number of requests that count for the objective.
    pub requests: f64,
    /// The number of those requests that were not answered.
    pub failed: f64,
    /// The number of requests of any outcome that exceeded the latency objective.
    pub slow: f64,
    /// The burn rate of the error budget for failed requests.
    pub burn: f64,
    /// The burn rate of the error budget for slow requests.
    pub slow_burn: f64,
    /// The failed requests by cause.
    pub causes: Causes,
}

/// The report on one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Service {
    /// Its name.
    pub service: String,
    /// The urgency of its burn rate.
    pub urgency: Urgency,
    /// Its windows, shortest first.
    pub windows: Vec<Window>,
}

/// The burn rate of one service between two samples, for the chart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Time relative to the end of the report; negative or zero.
    pub at: Seconds,
    /// The burn rate of failed requests.
    pub burn: f64,
}

/// The whole report.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// The time of the last sample, in seconds since the Unix epoch.
    pub end: Seconds,
    /// The objectives.
    pub objective: Objective,
    /// Processes that could not be read, by admin address.
    pub missing: Vec<String>,
    /// The services in ascending order of name.
    pub services: Vec<Service>,
}

/// Creates the report.
pub fn report(query: &Query, spans: &[Span], missing: Vec<String>) -> Report {
    let end = end_time(spans);
    let names: BTreeSet<&str> = spans
        .iter()
        .flat_map(|span| span.increase.requests.keys())
        .map(|series| series.service.as_str())
        .filter(|service| *service != NO_SERVICE)
        .collect();
    let services = names.into_iter().map(|name| service(query, spans, end, name));
    Report { end, objective: query.objective.clone(), missing, services: services.collect() }
}

/// Returns the burn rate of a service between consecutive samples.
pub fn points(objective: &Objective, spans: &[Span], service: &str) -> Vec<Point> {
    let end = end_time(spans);
    let mut times: Vec<Seconds> = spans.iter().map(|span| span.to).collect();
    times.sort_by(f64::total_cmp);
    times.dedup();
    let start = spans.iter().map(|span| span.from).fold(end, f64::min);
    let mut points = Vec::new();
    let mut from = start;
    for to in times {
        let window = sum(objective, spans, service, from, to);
        points.push(Point { at: to - end, burn: window.burn });
        from = to;
    }
    points
}

fn end_time(spans: &[Span]) -> Seconds {
    spans.iter().map(|span| span.to).fold(0.0, f64::max)
}

fn service(query: &Query, spans: &[Span], end: Seconds, name: &str) -> Service {
    let windows: Vec<Window> = query
        .windows
        .iter()
        .map(|length| {
            let from = end - length.as_secs_f64();
            sum(&query.objective, spans, name, from, end)
        })
        .collect();
    Service { service: name.to_owned(), urgency: urgency(&windows), windows }
}

/// Returns the urgency. A short and a longer window must both exceed the limit: the longer one shows
/// that the loss is significant, the short one that it is still going on.
fn urgency(windows: &[Window]) -> Urgency {
    let burns: Vec<f64> = windows.iter().map(|window| window.burn.max(window.slow_burn)).collect();
    let both = |short: usize, limit: f64| {
        burns.len() > short + 1 && burns[short] >= limit && burns[short + 1] >= limit
    };
    if both(0, PAGE_BURN) {
        Urgency::Page
    } else if both(1, TICKET_BURN) || both(2, SUSTAINABLE_BURN) {
        Urgency::Ticket
    } else {
        Urgency::None
    }
}

fn sum(objective: &Objective, spans: &[Span], service: &str, from: Seconds, to: Seconds) -> Window {
    let seconds = to - from;
    let mut window = Window {
        seconds,
        covered: covered(spans, from, to),
        requests: 0.0,
        failed: 0.0,
        slow: 0.0,
        burn: 0.0,
        slow_burn: 0.0,
        causes: Causes::default(),
    };
    let mut timed = 0.0;
    for span in spans {
        let fraction = span.fraction_within(from, to);
        let counts = counts(&span.increase, service, objective);
        window.requests += counts.requests * fraction;
        window.failed += counts.failed * fraction;
        window.slow += counts.slow * fraction;
        timed += counts.timed * fraction;
        window.causes.add(cause::attribute(&span.increase, service, objective), fraction);
    }
    window.burn = burn_rate(window.failed, window.requests, objective.answered);
    window.slow_burn = burn_rate(window.slow, timed, objective.in_time);
    window
}

/// Returns the fraction of a window that the samples of any process cover.
fn covered(spans: &[Span], from: Seconds, to: Seconds) -> f64 {
    let start = spans.iter().map(|span| span.from).fold(to, f64::min);
    ((to - start.max(from)) / (to - from)).clamp(0.0, 1.0)
}

fn burn_rate(missed: f64, all: f64, objective: f64) -> f64 {
    if all > 0.0 { missed / all / (1.0 - objective) } else { 0.0 }
}

struct Counts {
    requests: f64,
    failed: f64,
    timed: f64,
    slow: f64,
}

fn counts(increase: &Tally, service: &str, objective: &Objective) -> Counts {
    let mut counts = Counts { requests: 0.0, failed: 0.0, timed: 0.0, slow: 0.0 };
    for (series, requests) in &increase.requests {
        if series.service != service || series.class != objective.class {
            continue;
        }
        match objective::count(series.code) {
            Verdict::Good => counts.requests += requests,
            Verdict::Bad => {
                counts.requests += requests;
                counts.failed += requests;
            }
            Verdict::Ignored => {}
        }
    }
    for (histogram, buckets) in &increase.latencies {
        if histogram.service == service && histogram.class == objective.class {
            let all = buckets.last().map_or(0.0, |bucket| bucket.count);
            // The largest bucket whose bound meets the objective. Requests between that bound and the
            // objective can't be told apart from slow ones and count as slow.
            let in_time =
                buckets.iter().rev().find(|bucket| bucket.upper_bound <= objective.within);
            counts.timed += all;
            counts.slow += all - in_time.map_or(0.0, |bucket| bucket.count);
        }
    }
    counts
}
