//! A caller with its own connection.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use reqwest::Client;
use reqwest::redirect;

/// Largest latency that the histogram resolves, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Results of requests, as their callers see them.
#[derive(Clone, Debug)]
pub struct Results {
    /// Latency of successful requests, in microseconds.
    pub latency: Histogram<u64>,
    /// Successful requests.
    pub successes: u64,
    /// All other requests.
    pub failures: u64,
}

impl Default for Results {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid");
        Results { latency, successes: 0, failures: 0 }
    }
}

impl Results {
    /// Adds the results of another caller.
    pub fn add(&mut self, other: &Results) {
        self.latency.add(&other.latency).expect("the histograms have the same bounds");
        self.successes += other.successes;
        self.failures += other.failures;
    }

    fn record(&mut self, start: Instant, success: bool) {
        if !success {
            self.failures += 1;
            return;
        }
        self.successes += 1;
        self.latency.saturating_record(start.elapsed().as_micros() as u64);
    }
}

/// Creates a client that keeps one connection, without proxy, redirects or retries.
///
/// # Errors
///
/// Returns an error if the HTTP client can't be built.
pub fn client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(reqwest::retry::never())
        .pool_max_idle_per_host(1)
        .timeout(REQUEST_TIMEOUT)
        .build()
}

/// Sends requests from `first` until `end`, each after the previous answer or at a fixed interval.
/// At an interval, the latency of a request delayed by the previous one counts from its due time,
/// so that a stall isn't hidden. The lateness of a timer isn't counted.
pub async fn run(
    client: &Client,
    url: &str,
    first: Instant,
    end: Instant,
    interval: Option<Duration>,
) -> Results {
    let mut results = Results::default();
    let mut due = first;
    while due < end && Instant::now() < end {
        let start = match interval {
            Some(_) => wait_until(due).await,
            None => Instant::now(),
        };
        let success = send_request(client, url).await;
        results.record(start, success);
        due = interval.map_or_else(Instant::now, |interval| due + interval);
    }
    results
}

/// Waits until a request is due; returns the time from which its latency counts.
async fn wait_until(due: Instant) -> Instant {
    if Instant::now() >= due {
        return due;
    }
    tokio::time::sleep_until(due.into()).await;
    Instant::now()
}

async fn send_request(client: &Client, url: &str) -> bool {
    let Ok(response) = client.get(url).send().await else { return false };
    let success = response.status().is_success();
    success && response.bytes().await.is_ok()
}
