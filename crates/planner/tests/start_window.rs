//! The window of starts in flight, and the interval between placement passes, of a planner that is
//! driven by hand: the test decides when the store and the workers answer.

mod world;

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::backpressure::Load;
use cowslipchute_planner::event::BatchNumber;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;
use world::World;

/// Number of workers.
const WORKERS: u8 = 100;
/// CPU of each worker, in thousandths of a core.
const WORKER_CPU: u32 = 40_000;
/// Time until the owner knows its workers.
const WARMUP: Duration = Duration::from_secs(1);
/// Interval between two turns of the owner.
const TURN: Duration = Duration::from_millis(40);
/// Jobs that arrive with each turn.
const JOBS_PER_TURN: u64 = 300;
/// Turns in which the store doesn't answer.
const OUTAGE_TURNS: u64 = 12;
/// Number of starts that may be in flight.
const MAX_STARTS: usize = 512;
/// Time for which a job may have nothing running beside room.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// First number of the jobs that occupy the window.
const FIRST_JOB: JobId = 0x1000;

/// A planner with idle workers, whose lease doesn't run out.
struct Driven {
    planner: Planner,
    now: Time,
    next_job: JobId,
    writes: Vec<BatchNumber>,
    starts: Vec<(Target, Start)>,
}

impl Driven {
    fn open() -> Driven {
        let mut world = World::open();
        let capacity = Amount { cpu_milli: WORKER_CPU, memory_mib: 320_000, accelerators: 0 };
        (0..WORKERS).for_each(|at| world.add_worker(&format!("w{at}"), capacity, "r1"));
        world.take_over(&World::config(0, 3, false));
        world.run(WARMUP);
        let planner = world.planner.take().expect("the world has an owner");
        let (now, next_job) = (world.now, FIRST_JOB);
        let mut driven = Driven { planner, now, next_job, writes: Vec::new(), starts: Vec::new() };
        driven.step(Event::LeaseRenewed { until: now + Duration::from_secs(3600) });
        driven
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.planner.step(self.now, event, &mut actions);
        self.collect(actions);
    }

    fn submit(&mut self, job: JobId, queue: &str, step: Step) {
        let demand = Amount { cpu_milli: 100, memory_mib: 10, accelerators: 0 };
        let step = Step { count: 1, demand, ..step };
        let spec = Spec { payload: "payload".into(), steps: vec![step], schedule: None };
        let accepted =
            Accepted { queue: queue.into(), service: "desk".into(), spec, cancelled: false };
        self.step(Event::Job { job, accepted: Arc::new(accepted) });
    }

    fn submit_short(&mut self, count: u64) {
        for _ in 0..count {
            let estimate = Duration::from_secs(20);
            self.submit(self.next_job, "q", Step { estimate, ..Step::default() });
            self.next_job += 1;
        }
    }

    fn advance(&mut self) {
        let mut actions = Vec::new();
        self.planner.advance(self.now, &mut actions);
        self.collect(actions);
    }

    fn collect(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write { batch, .. } => self.writes.push(batch),
                Action::Start { target, start } => self.starts.push((target, start)),
                _ => {}
            }
        }
    }

    fn answer_writes(&mut self) {
        for batch in std::mem::take(&mut self.writes) {
            self.step(Event::Written { batch });
        }
    }

    /// Answers the starts that were sent; returns whether one of them was of this job.
    fn answer_starts(&mut self, job: JobId) -> bool {
        let mut found = false;
        for (target, start) in std::mem::take(&mut self.starts) {
            found |= start.run.task.job == job;
            let outcome = Ok(start.deadline);
            self.step(Event::StartResult { target, run: start.run, outcome });
        }
        found
    }

    /// Returns how long a job waits for its start while more jobs than the window lets through
    /// arrive with each turn, or `None` if that is longer than allowed.
    fn wait_of(&mut self, job: JobId, queue: &str, step: Step) -> Option<Duration> {
        self.submit_short(JOBS_PER_TURN);
        self.submit(job, queue, step);
        let since = self.now;
        while self.now < since + MAX_WAIT {
            self.advance();
            self.now += TURN;
            self.answer_writes();
            if self.answer_starts(job) {
                return Some(self.now - since);
            }
            self.submit_short(JOBS_PER_TURN / 10);
        }
        None
    }
}

/// Guards against thousands of starts that are sent at once when a store that was slow answers:
/// tasks whose assignment isn't stored yet must count for the window too.
#[test]
fn assignments_that_wait_for_the_store_count_for_the_window() {
    let mut driven = Driven::open();
    for _ in 0..OUTAGE_TURNS {
        driven.submit_short(JOBS_PER_TURN);
        driven.advance();
        driven.now += TURN;
    }
    driven.answer_writes();
    driven.advance();
    let starts = driven.starts.len();
    assert!(starts <= MAX_STARTS, "{starts} starts are in flight");
}

/// Returns how long a job waits whose owner's passes take this long.
fn wait_beside_passes(pass_time: Duration) -> Option<Duration> {
    let mut driven = Driven::open();
    driven.planner.set_load(Load { lag: Duration::ZERO, pass_time });
    driven.submit_short(1);
    driven.advance();
    driven.now += TURN;
    driven.answer_writes();
    driven.wait_of(1, "q", Step { estimate: MAX_WAIT, ..Step::default() })
}

/// Guards against a job that waits beside room for longer than jobs may, because passes take long.
#[test]
fn a_long_pass_does_not_delay_the_next_beyond_the_longest_wait() {
    let wait = wait_beside_passes(Duration::from_millis(1200));
    assert!(wait.is_some(), "it still waits after {MAX_WAIT:?}");
}

/// Guards against a case above that asks for more than an owner with short passes does.
#[test]
fn a_short_pass_does_not_delay_the_next() {
    let wait = wait_beside_passes(Duration::from_millis(10));
    assert!(wait.is_some(), "it still waits after {MAX_WAIT:?}");
}

/// Returns how long a job waits whose owner has this lag.
fn wait_beside_lag(lag: Duration, queue: &str, step: Step) -> Option<Duration> {
    let mut driven = Driven::open();
    driven.planner.set_load(Load { lag, pass_time: Duration::ZERO });
    driven.wait_of(1, queue, step)
}

fn best_effort() -> Step {
    Step { estimate: Duration::from_secs(10), best_effort: true, ..Step::default() }
}

fn service() -> Step {
    Step { estimate: Duration::from_secs(600), long_running: true, ..Step::default() }
}

/// Guards against a best-effort job that has nothing running beside room for as long as an owner
/// is behind, because better jobs always fill the window.
#[test]
fn a_best_effort_job_begins_although_the_window_is_full() {
    let wait = wait_beside_lag(Duration::from_secs(2), "q", best_effort());
    assert!(wait.is_some(), "it still waits after {MAX_WAIT:?}");
}

/// Guards against a service task that waits beside room for as long as an owner is behind, because
/// jobs of a higher priority always fill the window.
#[test]
fn a_service_task_begins_although_the_window_is_full() {
    let wait = wait_beside_lag(Duration::from_secs(2), "low", service());
    assert!(wait.is_some(), "it still waits after {MAX_WAIT:?}");
}

/// Guards against cases above that ask for more than an owner does that keeps up.
#[test]
fn jobs_begin_while_the_owner_keeps_up() {
    for (queue, step) in [("q", best_effort()), ("low", service())] {
        let wait = wait_beside_lag(Duration::ZERO, queue, step);
        assert!(wait.is_some(), "the job of {queue} still waits after {MAX_WAIT:?}");
    }
}
