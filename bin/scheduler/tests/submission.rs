//! Jobs that are submitted together are settled each by itself.

mod support;

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::submission;
use support::Fake;
use support::Fate;
use tokio::task::JoinSet;

/// Largest value of the store.
const MAX_VALUE_BYTES: usize = 100;
/// The job whose entry is larger.
const LARGE: u64 = 4;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Submits nine jobs at once; returns the jobs that are rejected, each with its code.
async fn rejected(fates: Vec<Fate>) -> Vec<(u64, Code)> {
    let fake = Fake::default();
    fake.0.lock().unwrap().max_value_bytes = Some(MAX_VALUE_BYTES);
    fake.0.lock().unwrap().fates = fates;
    let log = log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap();
    let batcher = submission::spawn(fake.clone(), log);
    let mut submissions = JoinSet::new();
    for job in 0..9 {
        let bytes = if job == LARGE { MAX_VALUE_BYTES + 1 } else { MAX_VALUE_BYTES };
        let batcher = batcher.clone();
        submissions
            .spawn(async move { (job, batcher.submit(job, vec![0; bytes], CLIENT_TIMEOUT).await) });
    }
    let mut rejected = Vec::new();
    while let Some(submitted) = submissions.join_next().await {
        let (job, outcome) = submitted.unwrap();
        rejected.extend(outcome.err().map(|rejection| (job, rejection.code)));
    }
    rejected
}

/// Guards against a job that takes the jobs beside it with it: they were rejected too, for a store
/// that is said to be down.
#[tokio::test(start_paused = true)]
async fn a_job_that_the_store_refuses_is_rejected_alone() {
    assert_eq!(rejected(Vec::new()).await, [(LARGE, Code::StoreRefused)]);
}

/// Guards against a client that is told that its job won't run although an answer of the store was
/// lost before.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_a_lost_answer_leaves_the_outcome_unknown() {
    let fates = vec![Fate::Dropped];
    assert_eq!(rejected(fates).await, [(LARGE, Code::StoreUnknown)]);
}
