//! Random orders of events between placement passes that are far apart: workers end, runs end, and
//! the configuration changes, also while the store is slow and workers list some of their ends only.
//! The simulated cell checks its invariants, and that the planner's tables agree, at every moment.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_planner::backpressure::Load;
use cowslipchute_ports::deployment::Config as Deployment;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step as JobStep;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use world::STORE_DELAY;
use world::World;

/// Number of workers in the cell.
const WORKERS: u8 = 8;
/// Capacity of each: three tasks of a load and one service task.
const CAPACITY: Amount = Amount { cpu_milli: 8000, memory_mib: 32_000, accelerators: 0 };
/// Number of ends that a worker lists at a time, fewer than end while an acknowledgement takes long.
const MAX_LISTED_ENDS: usize = 3;
/// Duration of a placement pass, which keeps passes a quarter of a second apart.
const PASS_TIME: Duration = Duration::from_millis(80);
/// Number of cases, unless `PROPTEST_CASES` is set.
const CASES: u32 = 40;
/// Maximum number of attempts to shrink a failing case.
const MAX_SHRINK_ITERS: u32 = 60;
/// Steps of a case.
const STEPS: std::ops::Range<usize> = 20..80;
/// Short jobs of a case, submitted at [`JOB_INTERVAL`]: more than the cell can run.
const JOBS: u64 = 160;
const JOB_INTERVAL: Duration = Duration::from_millis(60);
/// Failed runs that a job may have.
const MAX_ATTEMPTS: u32 = 1000;
/// Time after the repair within which every job has to reach a final state.
const COMPLETION_TIME: Duration = Duration::from_secs(60);
/// Ids of the service jobs.
const SERVICE_JOBS: std::ops::Range<u64> = 1..4;
/// Id of the first short job.
const FIRST_JOB: u64 = 100;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// A worker ends, and another one starts at its address under a new name.
    Replace(u8),
    /// A worker crashes and restarts under its name this many milliseconds later.
    Restart(u8, u64),
    Leave(u8),
    Return(u8),
    Unlist(u8),
    List(u8),
    Cancel(u64),
    /// The configuration changes: whether the service of all jobs is named by a queue of higher
    /// priority.
    Configure(bool),
    MachineListUnavailable(bool),
    /// The store responds after this many milliseconds, so that ends are acknowledged late.
    StoreDelay(u64),
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    let worker = || 0..WORKERS;
    prop_oneof![
        30 => (20u64..400).prop_map(Step::Wait),
        4 => worker().prop_map(Step::Replace),
        2 => (worker(), 0u64..600).prop_map(|(at, down)| Step::Restart(at, down)),
        3 => worker().prop_map(Step::Leave),
        6 => worker().prop_map(Step::Return),
        1 => worker().prop_map(Step::Unlist),
        3 => worker().prop_map(Step::List),
        2 => (FIRST_JOB..FIRST_JOB + JOBS).prop_map(Step::Cancel),
        1 => SERVICE_JOBS.prop_map(Step::Cancel),
        2 => proptest::bool::ANY.prop_map(Step::Configure),
        1 => proptest::bool::ANY.prop_map(Step::MachineListUnavailable),
        2 => (100u64..900).prop_map(Step::StoreDelay),
        2 => Just(Step::StoreDelay(4)),
        1 => Just(Step::TakeOver),
    ]
}

fn name(worker: u8) -> String {
    format!("w{worker}")
}

fn job(count: u32, cpu_milli: u32, time: u64, long_running: bool) -> Accepted {
    let step = JobStep {
        count,
        demand: Amount { cpu_milli, memory_mib: 100, accelerators: 0 },
        estimate: Duration::from_millis(time),
        long_running,
        ..JobStep::default()
    };
    let spec = Spec { payload: "payload".into(), steps: vec![step], schedule: None };
    Accepted { queue: "q".into(), service: "desk".into(), spec, cancelled: false }
}

fn config(first: bool) -> Arc<Deployment> {
    World::config(u8::from(!first), MAX_ATTEMPTS, false)
}

fn take_over(world: &mut World) {
    world.take_over(&config(true));
    let planner = world.planner.as_mut().expect("the cell is owned");
    planner.set_load(Load { lag: Duration::ZERO, pass_time: PASS_TIME });
}

fn apply_step(world: &mut World, step: &Step) {
    match step {
        Step::Wait(millis) => world.run(Duration::from_millis(*millis)),
        Step::Replace(at) => world.crash(&name(*at), true),
        Step::Restart(at, down) => world.restart(&name(*at), Duration::from_millis(*down)),
        Step::Leave(at) => world.leave(&name(*at)),
        Step::Return(at) => world.return_machine(&name(*at)),
        Step::Unlist(at) => world.unlist(&name(*at)),
        Step::List(at) => world.list(&name(*at)),
        Step::Cancel(id) => world.cancel(*id),
        Step::Configure(first) => world.configure(&config(*first)),
        Step::MachineListUnavailable(unavailable) => world.machines.list_unavailable = *unavailable,
        Step::StoreDelay(millis) => world.store_delay = Duration::from_millis(*millis),
        Step::TakeOver => take_over(world),
    }
}

fn run_case(steps: &[Step]) {
    let mut world = World::open();
    for at in 0..WORKERS {
        world.add_worker(&name(at), CAPACITY, "r1");
        let worker = world.workers.get_mut(&name(at)).expect("it was added");
        worker.max_listed_ends = MAX_LISTED_ENDS;
    }
    take_over(&mut world);
    for id in SERVICE_JOBS {
        world.submit(id, job(3, 1000, 1000, true));
    }
    world.run(Duration::from_secs(1));
    world.submit_stream(FIRST_JOB, &job(5, 2300, 700, false), JOBS, JOB_INTERVAL);
    world.run(Duration::from_secs(1));
    for step in steps {
        apply_step(&mut world, step);
    }
    world.machines.list_unavailable = false;
    world.store_delay = STORE_DELAY;
    for at in 0..WORKERS {
        world.return_machine(&name(at));
        world.list(&name(at));
    }
    for id in SERVICE_JOBS {
        world.cancel(id);
    }
    world.run(COMPLETION_TIME);
    let open: Vec<u64> = world.jobs.keys().copied().collect();
    assert!(open.is_empty(), "jobs without an end: {open:?}\n{}", world.describe());
}

/// Guards against an owner that panics on the id of a worker that ended between two passes, and
/// against tasks that are started again after an end that wasn't listed yet.
#[test]
fn any_order_of_events_between_passes_keeps_every_promise() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERS,
        ..Config::default()
    };
    TestRunner::new(config)
        .run(&proptest::collection::vec(step(), STEPS), |steps| {
            run_case(&steps);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}
