//! Random series of triggers for an overload, in a cell whose owners have processor time to spare.
//! The simulated cell checks its invariants after every step. When the triggers are over, the owner
//! has to keep up again, and no owner may have been replaced for being slow more than once.

mod world;

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use world::World;

/// Number of workers in the cell.
const WORKERS: u8 = 20;
/// Owners' share of a core.
const SHARE: f64 = 0.013;
/// Largest part of its processor time that the owner may need without triggers, in percent.
const MAX_UTILIZATION: f64 = 75.0;
/// Jobs that run all the time.
const OPEN_JOBS: u64 = 120;
/// Duration of the tasks of these jobs, which is longer than a case.
const OPEN_JOB_TIME: Duration = Duration::from_secs(60);
/// Interval between the jobs of the load that goes on through the whole case.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Number of the jobs of the load, more than any case needs.
const LOAD_JOBS: u64 = 900;
/// Duration of the tasks of the load and of bursts.
const LOAD_JOB_TIME: Duration = Duration::from_millis(500);
/// First numbers of the jobs of the load and of bursts.
const FIRST_LOAD_JOB: JobId = 0x1_0000;
const FIRST_BURST_JOB: JobId = 0x10_0000;
/// Time until the cell has started what it can and until its owner has only the load to serve.
const WARMUP: Duration = Duration::from_secs(4);
/// Time in which the need of processor time is measured.
const MEASURED_TIME: Duration = Duration::from_secs(3);
/// Largest age of an event that an owner handles which keeps up.
const MAX_LAG: Duration = Duration::from_millis(500);
/// Time after the last trigger within which the owner has to keep up again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// The same if an owner was killed: its lease has to run out and the next one to take over.
const TAKEOVER_TIME: Duration = Duration::from_secs(10);
/// Time in which jobs are handed in that have to be served, and in which they have to be done.
const SERVED_TIME: Duration = Duration::from_secs(2);
const MAX_JOB_TIME: Duration = Duration::from_secs(1);
/// Part of these jobs that has to be done in time, in percent.
const MIN_SERVED: u64 = 80;
/// Number of times that owners may change beside those that were killed.
const MAX_EXTRA_OWNERS: u32 = 1;
/// Number of cases, unless `PROPTEST_CASES` is set.
const CASES: u32 = 24;
/// Maximum number of attempts to shrink a failing case.
const MAX_SHRINK_ITERS: u32 = 20;
/// Upper bound on the triggers of a case, exclusive.
const MAX_TRIGGERS: usize = 5;
/// Failed runs that a job may have, more than the triggers can cause.
const MAX_ATTEMPTS: u32 = 1000;

#[derive(Clone, Debug)]
enum Trigger {
    /// The owners' processors become slower by this factor, for this many milliseconds.
    Slow(u32, u64),
    /// This many jobs arrive with this many milliseconds between them.
    Burst(u64, u64),
    KillOwner,
    /// All processes that could own the cell crash, and are back after this many milliseconds.
    Outage(u64),
    /// Workers, by a bit mask of twenty, crash and leave; others take their places after this many
    /// milliseconds.
    LoseWorkers(u32, u64),
    Wait(u64),
}

fn trigger() -> impl Strategy<Value = Trigger> {
    prop_oneof![
        2 => (2u32..=10, 500u64..=3000).prop_map(|(factor, millis)| Trigger::Slow(factor, millis)),
        2 => (50u64..=900, 3u64..=20).prop_map(|(jobs, every)| Trigger::Burst(jobs, every)),
        1 => Just(Trigger::KillOwner),
        1 => (200u64..=2000).prop_map(Trigger::Outage),
        1 => (1u32..1 << WORKERS, 200u64..=2000).prop_map(|(mask, millis)| Trigger::LoseWorkers(mask, millis)),
        2 => (50u64..=2000).prop_map(Trigger::Wait),
    ]
}

fn triggers() -> impl Strategy<Value = Vec<Trigger>> {
    proptest::collection::vec(trigger(), 1..MAX_TRIGGERS)
}

fn job(step: Step) -> Accepted {
    let demand = Amount { cpu_milli: 1000, memory_mib: 100, accelerators: 0 };
    let step = Step { count: 1, demand, ..step };
    let spec = Spec { payload: "payload".into(), steps: vec![step], schedule: None };
    Accepted { queue: "q".into(), service: "desk".into(), spec, cancelled: false }
}

fn name(worker: u8) -> String {
    format!("w{worker}")
}

/// Opens a cell whose owner keeps up with its load, and whose load goes on.
fn open_cell() -> World {
    let mut world = World::open();
    let capacity = Amount { cpu_milli: 16_000, memory_mib: 32_000, accelerators: 0 };
    (0..WORKERS).for_each(|at| world.add_worker(&name(at), capacity, "r1"));
    world.take_over(&World::config(0, MAX_ATTEMPTS, false));
    for id in 0..OPEN_JOBS {
        let open_job = job(Step {
            estimate: OPEN_JOB_TIME,
            long_running: id % 10 == 0,
            best_effort: id % 10 == 1,
            ..Step::default()
        });
        world.submit(id, open_job);
    }
    world.run(WARMUP);
    world.set_processor_share(Some(SHARE));
    let load = job(Step { estimate: LOAD_JOB_TIME, ..Step::default() });
    world.submit_stream(FIRST_LOAD_JOB, &load, LOAD_JOBS, LOAD_INTERVAL);
    world.run(WARMUP);
    world
}

/// Applies a trigger until it is over; returns the number of owners that it killed.
fn apply(world: &mut World, bursts: &mut u64, trigger: &Trigger) -> u32 {
    match trigger {
        Trigger::Slow(factor, millis) => {
            world.set_processor_share(Some(SHARE / f64::from(*factor)));
            world.run(Duration::from_millis(*millis));
            world.set_processor_share(Some(SHARE));
        }
        Trigger::Burst(jobs, every) => {
            let every = Duration::from_millis(*every);
            let burst = job(Step { estimate: LOAD_JOB_TIME, ..Step::default() });
            world.submit_stream(FIRST_BURST_JOB + *bursts, &burst, *jobs, every);
            *bursts += jobs;
            world.run(every * *jobs as u32);
        }
        Trigger::KillOwner => {
            let killed = world.planner.is_some();
            world.kill_owner();
            return killed.into();
        }
        Trigger::Outage(millis) => {
            let killed = world.planner.is_some();
            world.set_candidates(false);
            world.run(Duration::from_millis(*millis));
            world.set_candidates(true);
            return killed.into();
        }
        Trigger::LoseWorkers(mask, millis) => {
            let lost = || (0..WORKERS).filter(|at| mask & (1 << at) != 0).map(name);
            lost().for_each(|name| world.leave(&name));
            world.run(Duration::from_millis(*millis));
            lost().for_each(|name| world.return_machine(&name));
        }
        Trigger::Wait(millis) => world.run(Duration::from_millis(*millis)),
    }
    0
}

/// Checks that jobs that are handed in from now on are done in time.
fn check_service(world: &mut World) {
    let count = |world: &World| world.submitted_at.range(FIRST_LOAD_JOB..FIRST_BURST_JOB).count();
    let before = count(world) as u64;
    world.run(SERVED_TIME);
    let jobs = count(world) as u64 - before;
    world.run(MAX_JOB_TIME);
    let served = world.completed_within(FIRST_LOAD_JOB + before, jobs, MAX_JOB_TIME);
    assert!(served * 100 >= jobs * MIN_SERVED, "only {served} of {jobs} jobs are done in time");
}

fn run_case(triggers: &[Trigger]) {
    let mut world = open_cell();
    let mut bursts = 0;
    let owners_before = world.term;
    let killed: u32 = triggers.iter().map(|trigger| apply(&mut world, &mut bursts, trigger)).sum();
    world.run(if killed == 0 { RECOVERY_TIME } else { TAKEOVER_TIME });
    let processor = world.processor.as_ref().expect("it was limited before");
    let owners = world.term - owners_before;
    assert!(
        world.planner.is_some(),
        "no owner; {owners} followed one another, {killed} were killed"
    );
    assert!(
        owners <= killed + MAX_EXTRA_OWNERS,
        "{owners} owners followed one another, {killed} were killed"
    );
    let lag = processor.lag(world.now);
    assert!(lag <= MAX_LAG, "the owner lags by {lag:?}");
    assert!(
        owners == 0 || processor.takeover_time().is_some(),
        "the owner hasn't heard of all workers after {:?}",
        world.owned_for()
    );
    check_service(&mut world);
}

/// Guards against a test that asks for more than a cell's owner can do: without triggers it has
/// processor time to spare.
#[test]
fn an_owner_keeps_up_without_triggers() {
    let mut world = open_cell();
    let processor = world.processor.as_mut().expect("it was limited before");
    processor.take_utilization();
    world.run(MEASURED_TIME);
    assert_eq!(world.term, 1, "no owner is replaced");
    let processor = world.processor.as_mut().expect("it was limited before");
    let lag = processor.lag(world.now);
    assert!(lag <= MAX_LAG, "the owner lags by {lag:?}");
    let used = processor.take_utilization();
    assert!(used <= MAX_UTILIZATION, "the owner uses {used:.0} percent of its processor time");
    check_service(&mut world);
}

/// Guards against an overload that sustains itself after its trigger is over: owners that follow
/// one another without getting through a takeover, and a backlog that makes each event dearer.
#[test]
fn an_overload_ends_after_its_triggers() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    let default = Config::default();
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: default.max_shrink_iters.min(MAX_SHRINK_ITERS),
        ..default
    };
    let mut runner = TestRunner::new(config);
    runner
        .run(&triggers(), |triggers| {
            run_case(&triggers);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}
