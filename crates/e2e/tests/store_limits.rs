//! What a value that the store refuses means for the jobs of real processes.

use std::time::Duration;

use cowslipchute_e2e::await_until;
use cowslipchute_e2e::await_until::LIMIT;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_e2e::site::chain;
use cowslipchute_scheduler::keys;
use reqwest::StatusCode;

/// Duration of a task of these tests.
const WORK: Duration = Duration::from_millis(300);
/// Duration of a task that a change of the owner finds at work.
const LONG_WORK: Duration = Duration::from_secs(60);
/// Largest value of the store in these tests, which its settings don't name. The record of a job of
/// four tasks fits, and that of one of [`LARGE_COUNT`] doesn't.
const MAX_VALUE_BYTES: usize = 300;
const LARGE_COUNT: u32 = 200;
const SMALL_JOBS: u64 = 8;

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

async fn owner(deployment: &Deployment) -> String {
    await_until::some_async("the cell has an owner", LIMIT, || async { deployment.owner() }).await
}

async fn submit(deployment: &Deployment, member: &str, id: u64, count: u32) {
    let job = chain(1, count, WORK);
    assert_eq!(deployment.submit(member, id, &job).await, Some(StatusCode::OK));
}

async fn assert_small_jobs_complete(deployment: &Deployment, member: &str) {
    for id in 1..=SMALL_JOBS {
        deployment.await_state(member, id, "completed").await;
    }
}

/// Guards against a job whose record the store refuses permanently: it waited without end, and with it
/// the jobs of its transaction.
#[test]
fn a_record_that_the_store_refuses_holds_back_no_other_job() {
    block_on(async {
        let deployment = Deployment::open("store-limits", 3, 2).await.unwrap();
        let owner = owner(&deployment).await;
        deployment.site.lock().store.max_value_bytes = MAX_VALUE_BYTES;
        submit(&deployment, &owner, 0xb1, LARGE_COUNT).await;
        for id in 1..=SMALL_JOBS {
            submit(&deployment, &owner, id, 4).await;
        }
        submit(&deployment, &owner, 0xb2, LARGE_COUNT).await;
        assert_small_jobs_complete(&deployment, &owner).await;
        deployment.await_state(&owner, 0xb1, "failed").await;
        deployment.await_state(&owner, 0xb2, "failed").await;
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}

/// Guards against the same under each later owner: the record was stored while it fitted, and can't
/// be written by the owner that takes it over.
#[test]
fn an_owner_that_takes_over_a_record_that_no_longer_fits_serves_the_rest() {
    block_on(async {
        let mut deployment = Deployment::open("store-limits", 3, 2).await.unwrap();
        let killed = owner(&deployment).await;
        let other = deployment.members.keys().find(|name| **name != killed).unwrap().clone();
        let big = chain(2, LARGE_COUNT, WORK);
        assert_eq!(deployment.submit(&other, 0xb1, &big).await, Some(StatusCode::OK));
        deployment.await_state(&other, 0xb1, "active").await;
        deployment.site.lock().store.max_value_bytes = MAX_VALUE_BYTES;
        deployment.members.get_mut(&killed).unwrap().process = None;
        for id in 1..=SMALL_JOBS {
            submit(&deployment, &other, id, 4).await;
        }
        assert_small_jobs_complete(&deployment, &other).await;
        deployment.await_state(&other, 0xb1, "failed").await;
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}

/// Guards against a job that is accepted and can't be stored at each state of its life: it is
/// rejected at once, and the jobs beside it are done.
#[test]
fn a_job_that_may_outgrow_the_store_is_rejected_at_once() {
    block_on(async {
        let deployment = Deployment::open("store-limits", 3, 2).await.unwrap();
        let owner = owner(&deployment).await;
        let huge = chain(64, 4096, WORK);
        assert_eq!(deployment.submit(&owner, 0xb1, &huge).await, Some(StatusCode::BAD_REQUEST));
        for id in 1..=SMALL_JOBS {
            submit(&deployment, &owner, id, 4).await;
        }
        assert_small_jobs_complete(&deployment, &owner).await;
        let (status, _) = deployment.state(&owner, 0xb1).await.unwrap();
        assert_eq!(status, StatusCode::GONE);
    });
}

/// Guards against a cell that no owner can take over, since a record in the store can't be decoded:
/// its job is set aside until it is cancelled, and all others are served.
#[test]
fn a_record_that_cannot_be_decoded_sets_its_job_aside() {
    block_on(async {
        let mut deployment = Deployment::open("store-limits", 3, 2).await.unwrap();
        let killed = owner(&deployment).await;
        let other = deployment.members.keys().find(|name| **name != killed).unwrap().clone();
        let long = chain(1, 4, LONG_WORK);
        assert_eq!(deployment.submit(&other, 0xb1, &long).await, Some(StatusCode::OK));
        deployment.await_state(&other, 0xb1, "active").await;
        deployment.members.get_mut(&killed).unwrap().process = None;
        let key = keys::for_job(keys::RECORDS, 0xb1);
        deployment.site.lock().store.put(&key, b"\xffno record".to_vec(), 0);
        for id in 1..=SMALL_JOBS {
            submit(&deployment, &other, id, 4).await;
        }
        assert_small_jobs_complete(&deployment, &other).await;
        deployment.await_state(&other, 0xb1, "active").await;
        assert_eq!(deployment.cancel(&other, 0xb1).await, Some(StatusCode::OK));
        deployment.await_state(&other, 0xb1, "cancelled").await;
        assert!(deployment.site.lock().store.value(&key).is_none());
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}

/// Guards against a cell without an owner, since the store grants no lease as short as the owner
/// asks for.
#[test]
fn a_store_that_grants_longer_leases_alone_has_an_owner() {
    block_on(async {
        let mut deployment = Deployment::open("store-limits", 0, 2).await.unwrap();
        deployment.site.lock().store.min_lease = Duration::from_secs(2);
        deployment.add_member("m0").await.unwrap();
        deployment.await_ready().await;
        submit(&deployment, "m0", 1, 4).await;
        deployment.await_state("m0", 1, "completed").await;
    });
}
