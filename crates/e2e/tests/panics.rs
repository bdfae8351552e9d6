//! What a panic of one of the scheduler's threads means for the cell.

use std::time::Duration;
use std::time::Instant;

use cowslipchute_daemon::event_loop::PANIC_EXIT_CODE;
use cowslipchute_e2e::await_until;
use cowslipchute_e2e::await_until::LIMIT;
use cowslipchute_e2e::site::Deployment;
use cowslipchute_e2e::site::chain;
use cowslipchute_scheduler::failpoint;
use cowslipchute_scheduler::failpoint::Place;
use reqwest::StatusCode;
use yare::parameterized;

/// Duration of a task of these tests.
const WORK: Duration = Duration::from_millis(400);
/// Time after the end of an owner within which jobs are placed again: its lease, and two seconds.
const PLACED_AGAIN: Duration = Duration::from_millis(1200 + 2000);
/// Interval of looks at the state of the cell.
const LOOK: Duration = Duration::from_millis(5);

fn block_on(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    runtime.block_on(test);
}

async fn open(name: &str, place: Place) -> Deployment {
    let environment = vec![(failpoint::VARIABLE.to_owned(), place.name().to_owned())];
    let name = format!("{name}-{}", place.name());
    let mut deployment = Deployment::open_with(&name, 3, 2, environment).await.unwrap();
    deployment.expects_panics = true;
    deployment
}

async fn owner(deployment: &Deployment) -> String {
    await_until::some_async("the cell has an owner", LIMIT, || async { deployment.owner() }).await
}

/// Guards against a process that goes on holding the cell after one of its threads has panicked:
/// it ends, and the next owner places jobs within a lease and two seconds.
#[parameterized(
    planner = { Place::Planner },
    lease = { Place::Lease },
    store = { Place::Store },
    directory = { Place::Directory },
)]
fn a_panic_of_a_thread_ends_the_process_and_the_cell_goes_on(place: Place) {
    block_on(async {
        let mut deployment = open("panics", place).await;
        let owner = owner(&deployment).await;
        let other = deployment.members.keys().find(|name| **name != owner).unwrap().clone();
        let job = chain(2, 4, WORK);
        assert_eq!(deployment.submit(&other, 0xa1, &job).await, Some(StatusCode::OK));
        deployment.await_state(&other, 0xa1, "active").await;
        let mut process = deployment.members.get_mut(&owner).unwrap().process.take().unwrap();
        process.hang_up();
        let status = process.ended(LIMIT);
        let ended_at = Instant::now();
        assert_eq!(status.code(), Some(PANIC_EXIT_CODE));
        let log = process.log();
        assert!(log.contains("\"name\":\"Panicked\""), "the panic is logged");
        assert!(log.contains("\"reason\":\"requested by a test\""), "with its message");
        assert_eq!(deployment.submit(&other, 0xa2, &job).await, Some(StatusCode::OK));
        while !deployment.site.lock().started.contains(&0xa2) {
            assert!(ended_at.elapsed() < LIMIT, "the job is never started");
            tokio::time::sleep(LOOK).await;
        }
        let placed_after = ended_at.elapsed();
        assert!(placed_after < PLACED_AGAIN, "the job was started after {placed_after:?}");
        deployment.await_state(&other, 0xa1, "completed").await;
        deployment.await_state(&other, 0xa2, "completed").await;
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}

/// Guards against a request that ends one process after the other as its client repeats it: its
/// connection is closed, and the process serves others.
#[test]
fn a_panic_of_a_request_costs_its_connection_alone() {
    block_on(async {
        let mut deployment = open("panics", Place::Request).await;
        let job = chain(1, 2, WORK);
        assert_eq!(deployment.submit("m0", 0xa1, &job).await, Some(StatusCode::OK));
        let process = deployment.members.get_mut("m0").unwrap().process.as_mut().unwrap();
        process.hang_up();
        await_until::some("the settings are read again", LIMIT, || {
            process.log().contains("ReloadAsked").then_some(())
        });
        assert_eq!(deployment.state("m0", 0xa1).await, None, "its connection is closed");
        deployment.await_state("m0", 0xa1, "completed").await;
        let process = deployment.members.get_mut("m0").unwrap().process.as_mut().unwrap();
        assert!(process.is_running());
        await_until::some("the panic is logged", LIMIT, || {
            process.log().contains("\"name\":\"RequestPanicked\"").then_some(())
        });
        assert_eq!(deployment.site.lock().violations, Vec::<String>::new());
    });
}
