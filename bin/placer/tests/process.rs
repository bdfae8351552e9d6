//! Runs placers in this process against stand-ins of the platform over loopback.

mod bench;

use bench::Bench;
use bench::job;
use bench::wait;
use cowslipchute_base::amount::Amount;
use cowslipchute_daemon::admin;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_placer::api;
use cowslipchute_resource::job;
use cowslipchute_resource::key::CELL;
use cowslipchute_resource::key::HOME;
use cowslipchute_resource::key::RECORD;
use cowslipchute_standin::fault::State;
use cowslipchute_standin::fault::Target;
use cowslipchute_tenure::home::Home;

/// More CPU than any worker has.
const HUGE: Amount = Amount { cpu_milli: 1_000_000, memory_mib: 1, accelerators: 0 };

#[test]
fn runs_a_job_to_its_end_and_keeps_the_record() {
    let bench = Bench::with_workers(3);
    let placer = bench.start("p1", 1);
    bench.put_job("report", job(20, 50));
    bench.await_done(20);
    wait("the record is in the store", || {
        let records = bench.read(RECORD);
        let record = records.iter().find(|entry| entry.key.ends_with("/report"))?;
        String::from_utf8_lossy(&record.value).contains("\"end\":20").then_some(())
    });
    assert_eq!(bench.read(HOME).len(), 1);
    assert_eq!(placer.notes("CellOwned"), 1);
    placer.stop();
    bench.check();
}

#[test]
fn gives_its_cell_to_another_placer_in_good_order() {
    let bench = Bench::with_workers(3);
    let first = bench.start("p1", 1);
    first.await_owner();
    let second = bench.start("p2", 1);
    bench.put_job("report", job(30, 400));
    wait("tasks run", || (bench.standin.report().tasks.started >= 10).then_some(()));
    first.drain();
    second.await_owner();
    let took = first.join();
    bench.await_done(30);
    let report = bench.standin.report().tasks;
    println!("drained in {took:?}, {report:?}");
    // The next owner renewed every lease in time, so no run was lost.
    assert_eq!(report.lapsed, 0);
    assert_eq!(report.started, 30);
    second.stop();
    bench.check();
}

#[test]
fn takes_over_from_a_placer_that_ended_without_a_word() {
    let bench = Bench::with_workers(3);
    let first = bench.start("p1", 1);
    first.await_owner();
    let second = bench.start("p2", 1);
    bench.put_job("report", job(30, 300));
    wait("tasks run", || (bench.standin.report().tasks.started >= 10).then_some(()));
    first.force();
    bench.unlist("p1");
    second.await_owner();
    bench.await_done(30);
    assert_eq!(bench.standin.report().tasks.redone, 0);
    second.stop();
    bench.check();
}

#[test]
fn goes_on_while_the_store_is_down_and_keeps_its_cell() {
    let bench = Bench::with_workers(3);
    let first = bench.start("p1", 1);
    first.await_owner();
    let second = bench.start("p2", 1);
    bench.put_job("report", job(30, 300));
    wait("tasks run", || (bench.standin.report().tasks.started >= 5).then_some(()));
    bench.fault(Target::Store, State::Down);
    wait("the owner is isolated", || (first.notes("CellIsolated") > 0).then_some(()));
    bench.await_done(30);
    bench.fault(Target::Store, State::Up);
    wait("the record is in the store", || {
        let records = bench.read(RECORD);
        let record = records.iter().find(|entry| entry.key.ends_with("/report"))?;
        String::from_utf8_lossy(&record.value).contains("\"end\":30").then_some(())
    });
    assert!(first.owns_a_cell());
    assert_eq!(second.notes("CellOwned"), 0);
    first.stop();
    second.stop();
    bench.check();
}

#[test]
fn settles_lost_answers_of_the_store() {
    let bench = Bench::with_workers(3);
    bench.lose_answers(Target::Store, 3);
    let placer = bench.start("p1", 1);
    bench.put_job("report", job(40, 100));
    bench.await_done(40);
    bench.fault(Target::Store, State::Up);
    wait("the record is in the store", || {
        let records = bench.read(RECORD);
        let record = records.iter().find(|entry| entry.key.ends_with("/report"))?;
        String::from_utf8_lossy(&record.value).contains("\"end\":40").then_some(())
    });
    placer.stop();
    bench.check();
}

#[test]
fn removes_home_and_record_of_a_job_that_is_gone() {
    let bench = Bench::with_workers(2);
    let placer = bench.start("p1", 1);
    bench.put_job("report", job(4, 60_000));
    wait("tasks run", || (bench.standin.report().tasks.started >= 4).then_some(()));
    bench.delete_job("report");
    wait("nothing of it is in the store", || {
        let left = bench.read(RECORD).iter().any(|entry| entry.key.ends_with("/report"));
        (!left && bench.read(HOME).is_empty()).then_some(())
    });
    assert_eq!(bench.standin.report().tasks.stopped, 4);
    placer.stop();
    bench.check();
}

#[test]
fn shows_cells_tasks_and_events_on_the_admin_address() {
    let bench = Bench::with_workers(2);
    let placer = bench.start("p1", 1);
    placer.await_owner();
    let address = bench::free_tcp_address();
    let routes = api::routes(placer.placer.api());
    let readiness = Readiness::default();
    let admin = admin::spawn(address, placer.registry.clone(), readiness, Some(routes));
    admin.expect("the address is free");
    bench.put_job("report", job(4, 60_000));
    wait("tasks run", || (bench.standin.report().tasks.started >= 4).then_some(()));
    let tasks = wait("the tasks show as running", || {
        let tasks = bench.get(address, "/tasks?job=report");
        (tasks[0]["tasks"]["running"] == 4).then_some(tasks)
    });
    assert_eq!(tasks[0]["cell"], "a/0");
    assert_eq!(bench.get(address, "/tasks?job=other"), serde_json::json!([]));
    let cells = wait("the cell is described", || {
        let status = bench.get(address, "/cells");
        (status["cells"][0]["detail"]["workers"]["by_health"]["healthy"] == 2).then_some(status)
    });
    assert_eq!(cells["cells"][0]["state"], "held");
    assert_eq!(cells["cells"][0]["owner"], "p1");
    let events = bench.get(address, "/events");
    let names: Vec<&str> =
        events.as_array().expect("a list").iter().filter_map(|e| e["name"].as_str()).collect();
    assert!(names.contains(&"CellOwned") && names.contains(&"TaskRunning"), "{names:?}");
    let running =
        events.as_array().into_iter().flatten().find(|note| note["name"] == "TaskRunning");
    let running = running.expect("a task runs");
    assert!(running["job"] == "report" && running["task"].is_u64(), "whose task: {running}");
    let last = events.as_array().and_then(|all| all.last()).expect("a note")["sequence"].clone();
    let newer = bench.get(address, &format!("/events?after={last}"));
    assert!(newer.as_array().is_some_and(|notes| notes.iter().all(|n| n["sequence"] != last)));
    placer.stop();
    bench.check();
}

#[test]
fn forgets_jobs_that_were_withdrawn_while_no_placer_ran() {
    let bench = Bench::with_workers(2);
    let first = bench.start("p1", 1);
    bench.put_job("done", job(4, 50));
    bench.put_job("huge", job::Spec { amount: HUGE, ..job(1, 50) });
    bench.await_done(4);
    wait("both jobs have a home", || (bench.read(HOME).len() == 2).then_some(()));
    first.stop();
    bench.delete_job("done");
    bench.delete_job("huge");
    let second = bench.start("p2", 1);
    wait("nothing of them is in the store", || {
        let left = bench.read(RECORD).iter().any(|entry| !entry.key.ends_with("/@list"));
        (!left && bench.read(HOME).is_empty()).then_some(())
    });
    second.stop();
    bench.check();
}

#[test]
fn lets_a_job_that_fits_no_worker_look_for_another_home() {
    let bench = Bench::with_workers(2);
    bench.put_raw(&format!("{CELL}b/0"), b"another failure domain's cell");
    let placer = bench.start("p1", 1);
    bench.put_job("huge", job::Spec { amount: HUGE, ..job(1, 50) });
    wait("it has given up its home", || {
        let homes = bench.read(HOME);
        let home = Home::from_bytes(&homes.first()?.value)?;
        (home == Home { cell: None, tried: vec!["a/0".into()] }).then_some(())
    });
    placer.stop();
    bench.check();
}

#[test]
fn an_owner_cut_off_from_the_store_stops_when_the_next_one_asks() {
    let bench = Bench::with_workers(3);
    let first = bench.start("p1", 1);
    first.await_owner();
    let second = bench.start("p2", 1);
    bench.put_job("report", job(60, 300));
    wait("tasks run", || (bench.standin.report().tasks.started >= 10).then_some(()));
    first.gate.shut();
    second.await_owner();
    // The platform still lists the first placer, so only its own answer shows that it has stopped.
    wait("the cell is ready", || (second.notes("CellReady") > 0).then_some(()));
    // Both the ownership manager and the cell report that they continue without the store.
    assert!(first.notes("CellIsolated") > 0);
    assert_eq!(first.notes("CellLost"), 1);
    bench.await_done(60);
    assert_eq!(bench.standin.report().tasks.redone, 0);
    first.gate.open();
    wait("the first one is back", || (first.notes("StoreBack") > 0).then_some(()));
    wait("it shows no cell of its own", || (!first.owns_a_cell()).then_some(()));
    assert_eq!(first.notes("CellOwned"), 1);
    first.stop();
    second.stop();
    bench.check();
}
