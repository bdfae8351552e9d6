//! Jobs that are submitted together are settled each by itself.

mod support;

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::submission;
use support::Fake;
use tokio::task::JoinSet;

/// Largest value of the store.
const MAX_VALUE_BYTES: usize = 100;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against a job that takes the jobs beside it with it: they were rejected too, for a store
/// that is said to be down.
#[tokio::test(start_paused = true)]
async fn a_job_that_the_store_refuses_is_rejected_alone() {
    let fake = Fake::default();
    fake.0.lock().unwrap().max_value_bytes = Some(MAX_VALUE_BYTES);
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    let batcher = submission::spawn(fake.clone(), log);
    let mut submissions = JoinSet::new();
    for job in 0..9 {
        let bytes = if job == 4 { MAX_VALUE_BYTES + 1 } else { MAX_VALUE_BYTES };
        let batcher = batcher.clone();
        submissions
            .spawn(async move { (job, batcher.submit(job, vec![0; bytes], CLIENT_TIMEOUT).await) });
    }
    while let Some(submitted) = submissions.join_next().await {
        let (job, outcome) = submitted.unwrap();
        let code = outcome.err().map(|rejection| rejection.code);
        assert_eq!(code, (job == 4).then_some(Code::StoreRefused), "job {job}");
    }
}
