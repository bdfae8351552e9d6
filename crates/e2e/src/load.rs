//! A bounded load of callers, each of whom checks that the answer is the whole one to its own
//! request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::Cluster;
use cowslipchute_base::code;
use cowslipchute_base::code::Code;
use cowslipchute_standin::backend::directive::ID_HEADER;
use hdrhistogram::Histogram;
use reqwest::Client;
use reqwest::Method;
use reqwest::Response;
use reqwest::header::HeaderMap;

/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX: u64 = 120_000_000;

/// What is sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where entries are reached, taken in turn as a balancer would.
    pub entries: Vec<String>,
    /// The service.
    pub service: &'static str,
    /// The method of every request.
    pub method: Method,
    /// Headers of every request.
    pub headers: HeaderMap,
    /// Callers that each have one request on its way at a time.
    pub callers: usize,
    /// Requests of all callers together.
    pub requests: u64,
    /// Starts every request's id, so that two loads don't share ids.
    pub prefix: &'static str,
}

/// What became of a load.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests by result code; the answers that a backend server gave are under `Answered`.
    pub codes: BTreeMap<u16, u64>,
    /// Ids of requests whose connection to the entry broke, so that the caller knows nothing.
    pub broken: Vec<String>,
    /// Requests that found no entry listening, so that they surely did not run.
    pub refused: u64,
    /// Answers that were not the whole answer to the request.
    pub wrong: u64,
    /// Ids of requests that were told "not run".
    pub not_run: Vec<String>,
    /// Ids of requests that were answered.
    pub answered: Vec<String>,
    /// Latency of answered requests in microseconds.
    pub latency: Histogram<u64>,
    /// How long the whole load took.
    pub took: Duration,
}

impl Tally {
    fn new() -> Tally {
        Tally {
            codes: BTreeMap::new(),
            broken: Vec::new(),
            refused: 0,
            wrong: 0,
            not_run: Vec::new(),
            answered: Vec::new(),
            latency: Histogram::new_with_bounds(1, LATENCY_MAX, 3)
                .expect("the bounds are constant"),
            took: Duration::ZERO,
        }
    }

    fn add(&mut self, other: Tally) {
        for (code, count) in other.codes {
            *self.codes.entry(code).or_default() += count;
        }
        self.broken.extend(other.broken);
        self.refused += other.refused;
        self.wrong += other.wrong;
        self.not_run.extend(other.not_run);
        self.answered.extend(other.answered);
        self.latency.add(other.latency).expect("both histograms have the same bounds");
    }

    /// Returns how many requests ended with a code.
    pub fn of(&self, code: Code) -> u64 {
        self.codes.get(&code.number()).copied().unwrap_or(0)
    }

    /// Returns how many requests ended at all.
    pub fn total(&self) -> u64 {
        self.codes.values().sum::<u64>() + self.broken.len() as u64 + self.refused
    }
}

/// Sends the whole load and waits for every answer.
///
/// # Panics
///
/// Panics when a caller panics.
pub async fn run(client: &Client, plan: &Plan) -> Tally {
    let next = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let callers: Vec<_> = (0..plan.callers)
        .map(|_| tokio::spawn(caller(client.clone(), plan.clone(), next.clone())))
        .collect();
    let mut tally = Tally::new();
    for caller in callers {
        tally.add(caller.await.expect("a caller never panics"));
    }
    tally.took = start.elapsed();
    tally
}

async fn caller(client: Client, plan: Plan, next: Arc<AtomicU64>) -> Tally {
    let mut tally = Tally::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= plan.requests {
            return tally;
        }
        let id = format!("{}-{number}", plan.prefix);
        let entry = &plan.entries[number as usize % plan.entries.len()];
        let start = Instant::now();
        let request = client
            .request(plan.method.clone(), format!("{entry}/{}/echo", plan.service))
            .headers(plan.headers.clone())
            .header(ID_HEADER, &id)
            .body(id.clone());
        match request.send().await {
            Ok(response) => judge(&mut tally, id, response, start).await,
            Err(error) if error.is_connect() => tally.refused += 1,
            Err(_) => tally.broken.push(id),
        }
    }
}

/// Checks a load against the stand-ins' own record of what ran.
///
/// # Panics
///
/// Panics when a promise about requests was broken: an answer was not the caller's own whole one, a
/// request ran twice, one that was told "not run" did run, or one that was answered did not.
pub async fn check(cluster: &Cluster, tally: &Tally) {
    assert_eq!(tally.wrong, 0, "every caller gets the whole answer to its own request");
    let report = cluster.report().await.expect("the stand-ins show their record");
    assert_eq!(report.requests.doubled, 0, "ran twice: {:?}", report.requests.doubled_ids);
    for id in &tally.not_run {
        let runs = cluster.runs_of(id).await.expect("the stand-ins show their record");
        assert_eq!(runs, 0, "{id} was told that it did not run");
    }
    for id in &tally.answered {
        let runs = cluster.runs_of(id).await.expect("the stand-ins show their record");
        assert_eq!(runs, 1, "{id} was answered");
    }
}

async fn judge(tally: &mut Tally, id: String, response: Response, start: Instant) {
    let number = response
        .headers()
        .get(code::HEADER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(0);
    let Ok(body) = response.text().await else {
        tally.broken.push(id);
        return;
    };
    *tally.codes.entry(number).or_default() += 1;
    match Code::from_number(number).map(Code::outcome) {
        Some(code::Outcome::Answered) => {
            let micros = start.elapsed().as_micros() as u64;
            tally.latency.saturating_record(micros.max(1));
            if !body.contains(&id) {
                tally.wrong += 1;
            }
            tally.answered.push(id);
        }
        Some(code::Outcome::NotRun) => tally.not_run.push(id),
        Some(code::Outcome::Unknown) => {}
        None => tally.wrong += 1,
    }
}
