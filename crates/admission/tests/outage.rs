//! Guards against clients that spend all their retries in one outage, or stay away from a store
//! that is back.

use std::time::Duration;

use cowslipchute_admission::outage::History;
use yare::parameterized;

const CLIENT_TIMEOUT_MS: u64 = 3000;

#[parameterized(
    nothing_known = { &[], 0, CLIENT_TIMEOUT_MS, 1000 },
    short_ones = { &[400, 600, 500], 0, CLIENT_TIMEOUT_MS, 500 },
    longer_than_all = { &[400, 600, 500], 700, CLIENT_TIMEOUT_MS, 1000 },
    halfway = { &[4000], 3600, CLIENT_TIMEOUT_MS, 400 },
    long_ones = { &[8000, 8000], 0, CLIENT_TIMEOUT_MS, 1000 },
    patient_client = { &[8000, 8000], 0, 30_000, 8000 },
    single_failed_calls = { &[20, 50], 0, CLIENT_TIMEOUT_MS, 1000 },
)]
fn retry_time(outages_ms: &[u64], elapsed_ms: u64, client_timeout_ms: u64, expected_ms: u64) {
    let mut history = History::default();
    for &outage_ms in outages_ms {
        history.record(Duration::from_millis(outage_ms));
    }
    let elapsed = Duration::from_millis(elapsed_ms);
    let retry_after = history.retry_after(elapsed, Duration::from_millis(client_timeout_ms));
    assert_eq!(retry_after, Duration::from_millis(expected_ms));
}
