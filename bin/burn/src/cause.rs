//! Attribution of failed requests to causes, as far as counters allow it.
//!
//! Counters don't say why one request failed, so a span's failed requests are attributed in
//! proportion. Results that an outage of the store can cause are attributed to the store if there was
//! an outage in the span. Results that indicate a lack of capacity are attributed by the fraction of
//! trials in the served load and the fraction of extra attempts in all attempts.

use cowslipchute_base::code::Code;
use serde::Serialize;

use crate::metric::Series;
use crate::metric::Tally;
use crate::objective;
use crate::objective::Objective;
use crate::objective::Verdict;

/// Failed requests by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Causes {
    /// Capacity used by trials.
    pub trials: f64,
    /// Capacity used by retries and hedges.
    pub retries: f64,
    /// Outages of the store.
    pub store: f64,
    /// All other causes.
    pub other: f64,
}

impl Causes {
    /// Adds a fraction of other causes.
    pub fn add(&mut self, other: Causes, fraction: f64) {
        self.trials += other.trials * fraction;
        self.retries += other.retries * fraction;
        self.store += other.store * fraction;
        self.other += other.other * fraction;
    }

    /// Returns the number of failed requests of all causes.
    pub fn total(&self) -> f64 {
        self.trials + self.retries + self.store + self.other
    }
}

/// Attributes a service's failed requests in one span of one process to causes.
pub fn attribute(increase: &Tally, service: &str, objective: &Objective) -> Causes {
    let trials = trial_fraction(increase, service);
    let retries = (1.0 - trials) * extra_attempt_fraction(increase, service);
    let mut causes = Causes::default();
    for (series, requests) in &increase.requests {
        let is_relevant = series.service == service && series.class == objective.class;
        if !is_relevant || objective::count(series.code) != Verdict::Bad {
            continue;
        }
        match Code::from_number(series.code) {
            Some(code) if is_store_related(code) && increase.store_down > 0.0 => {
                causes.store += requests;
            }
            Some(code) if is_capacity_related(code) => {
                causes.trials += requests * trials;
                causes.retries += requests * retries;
                causes.other += requests * (1.0 - trials - retries);
            }
            _ => causes.other += requests,
        }
    }
    causes
}

fn is_store_related(code: Code) -> bool {
    matches!(code, Code::NotReady | Code::KeyOwnerUnreachable)
}

fn is_capacity_related(code: Code) -> bool {
    matches!(
        code,
        Code::QueueFull | Code::QueueTimeout | Code::NoBackend | Code::Busy | Code::Timeout
    )
}

/// Returns the fraction of trials among the requests that were answered.
fn trial_fraction(increase: &Tally, service: &str) -> f64 {
    let answered = |series: &&Series| {
        series.service == service && objective::count(series.code) == Verdict::Good
    };
    let served = increase.requests.keys().filter(answered);
    let (mut trials, mut all) = (0.0, 0.0);
    for series in served {
        let requests = increase.requests[series];
        all += requests;
        if series.class == "trial" {
            trials += requests;
        }
    }
    ratio(trials, all)
}

/// Returns the fraction of extra attempts among all attempts.
fn extra_attempt_fraction(increase: &Tally, service: &str) -> f64 {
    let extra = increase.extra_attempts.get(service).copied().unwrap_or_default();
    let requests = increase.requests.iter().filter(|(series, _)| series.service == service);
    let first: f64 = requests.map(|(_, requests)| requests).sum();
    ratio(extra, first + extra)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { (part / whole).min(1.0) } else { 0.0 }
}
