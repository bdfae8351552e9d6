//! What an owner does with values of the store that it can't decode.

mod support;

use std::sync::Arc;

use cowslipchute_planner::record;
use cowslipchute_planner::record::Record;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::Spec;
use cowslipchute_scheduler::keys;
use cowslipchute_scheduler::log;
use cowslipchute_scheduler::log::Log;
use cowslipchute_scheduler::metrics::Metrics;
use cowslipchute_scheduler::recovery;
use support::Fake;
use yare::parameterized;

fn open_log() -> Log {
    log::open("test", slog::Level::Error, Metrics::open().unwrap()).unwrap()
}

/// Returns a store with three jobs that have started, the second of which may be cancelled.
fn store(cancelled: bool) -> Fake {
    let fake = Fake::default();
    for job in 1..=3 {
        let accepted = Accepted {
            queue: Arc::from("q"),
            service: "desk".into(),
            spec: Spec::default(),
            cancelled: cancelled && job == 2,
        };
        fake.put(&keys::for_job(keys::JOBS, job), record::encode(&accepted));
        fake.put(&keys::for_job(keys::RECORDS, job), Record::default().encode());
    }
    fake
}

/// Guards against a cell that no owner can take over, since a job or a record can't be decoded.
#[parameterized(
    record = { keys::RECORDS, b"\xff", false, &[1, 3] },
    truncated_record = { keys::RECORDS, b"\x05\x01", false, &[1, 3] },
    record_of_a_cancelled_job = { keys::RECORDS, b"\xff", true, &[1, 2, 3] },
    job = { keys::JOBS, b"", false, &[1, 3] },
)]
#[test_macro(tokio::test)]
async fn a_job_that_cannot_be_decoded_is_set_aside(
    prefix: &str,
    value: &[u8],
    cancelled: bool,
    served: &[u64],
) {
    let fake = store(cancelled);
    let revision = fake.put(&keys::for_job(prefix, 2), value.to_vec());
    let cell = recovery::read_cell(&fake, &open_log()).await.unwrap();
    let jobs: Vec<u64> = cell.jobs.iter().map(|(job, _)| *job).collect();
    assert_eq!(jobs, served);
    assert!(cell.set_aside.contains(&2));
    if prefix == keys::RECORDS {
        assert_eq!(cell.revisions[&2], revision, "its end is guarded by the record it replaces");
    }
}

/// Guards against tasks that run twice: an owner of this release would set aside what a later one
/// serves, stop its runs and acknowledge their ends.
#[tokio::test]
async fn a_record_of_a_later_release_is_not_set_aside() {
    let fake = store(false);
    fake.put(&keys::for_job(keys::RECORDS, 2), b"\x06later".to_vec());
    assert!(recovery::read_cell(&fake, &open_log()).await.is_err());
}
