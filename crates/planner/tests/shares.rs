//! The decision which jobs go ahead of their rank, without a cell.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_planner::share::Arrival;
use cowslipchute_planner::share::Class;
use cowslipchute_planner::share::Group;
use cowslipchute_planner::share::MAX_TIME_BEHIND;
use cowslipchute_planner::share::Outcome;
use cowslipchute_planner::share::Shares;
use cowslipchute_planner::share::max_min_level;
use cowslipchute_ports::job::JobId;
use yare::parameterized;

/// Work and CPU of the small jobs; the large ones have eight times as much.
const WORK: f64 = 1.0;
const MILLI: u64 = 2000;

fn group(priority: u8) -> Group {
    Group { priority, service: "desk".into() }
}

fn arrival(queue: &str, size: u32) -> Arrival {
    let work = WORK * f64::from(size);
    Arrival { queue: queue.into(), group: group(0), work, milli: MILLI * u64::from(size) }
}

/// Accounts with the number of the next job, and the time.
struct Cell {
    shares: Shares,
    next: JobId,
    now: Time,
}

impl Cell {
    fn open() -> Cell {
        Cell { shares: Shares::default(), next: 1, now: Time::ZERO }
    }

    fn arrive(&mut self, queue: &str, size: u32) -> JobId {
        let job = self.next;
        self.next += 1;
        self.shares.arrive(self.now, job, arrival(queue, size));
        job
    }

    fn settle(&mut self, queue: &str, size: u32, outcome: Outcome) {
        let job = self.arrive(queue, size);
        self.shares.settle(self.now, job, outcome);
    }

    /// Each tenth of a second, fifteen small jobs of a queue and a large one get these outcomes. Returns
    /// the number of logged changes.
    fn run(&mut self, tenths: u32, queue: &str, small: Outcome, large: Outcome) -> usize {
        let mut changes = 0;
        for _ in 0..tenths {
            self.now += Duration::from_millis(100);
            (0..15).for_each(|_| self.settle(queue, 1, small));
            self.settle(queue, 8, large);
            changes += self.shares.update(self.now).len();
        }
        changes
    }

    fn ahead(&self, queue: &str, class: Class) -> bool {
        let statuses = self.shares.statuses(self.now);
        statuses.iter().any(|(name, of, status)| &**name == queue && *of == class && status.ahead)
    }

    /// Returns which of these jobs go ahead in a cell of ten small jobs' CPU.
    fn choose(&mut self, candidates: &[JobId]) -> Vec<JobId> {
        self.shares.choose(self.now, &group(0), candidates, 10 * MILLI);
        candidates.iter().copied().filter(|&job| self.shares.is_ahead(job)).collect()
    }
}

#[parameterized(
    none = { &[], 5.0, f64::INFINITY },
    enough = { &[1.0, 2.0], 3.0, f64::INFINITY },
    equal = { &[10.0, 10.0], 6.0, 3.0 },
    small_one_is_met = { &[100.0, 1.0], 51.0, 50.0 },
    nothing_served = { &[1.0, 2.0], 0.0, 0.0 },
)]
fn a_small_demand_is_met_and_the_others_get_the_same(demands: &[f64], amount: f64, level: f64) {
    assert_eq!(max_min_level(demands, amount), level);
}

/// Guards against reacting to a single late job, and against waiting for longer than is stated.
#[test]
fn a_class_goes_ahead_once_it_was_behind_for_the_stated_time_until_it_has_caught_up() {
    let mut cell = Cell::open();
    cell.run(100, "q", Outcome::InTime, Outcome::InTime);
    assert_eq!(cell.run(10, "q", Outcome::InTime, Outcome::Late), 0);
    let tenths = 10 + (MAX_TIME_BEHIND.as_millis() / 100) as u32;
    assert_eq!(cell.run(tenths, "q", Outcome::InTime, Outcome::Late), 1);
    assert!(cell.ahead("q", Class::Largest) && !cell.ahead("q", Class::Rest));
    assert_eq!(cell.run(200, "q", Outcome::InTime, Outcome::InTime), 1);
    assert!(!cell.ahead("q", Class::Largest));
}

/// Guards against jobs that go ahead although nobody is served better.
#[parameterized(
    calm = { Outcome::InTime, Outcome::InTime },
    everyone_is_late = { Outcome::Late, Outcome::Late },
    the_large_are_better_off = { Outcome::Late, Outcome::InTime },
    clients_withdraw = { Outcome::InTime, Outcome::Withdrawn },
)]
fn the_largest_stay_in_rank(small: Outcome, large: Outcome) {
    let mut cell = Cell::open();
    cell.run(100, "q", small, large);
    assert!(!cell.ahead("q", Class::Largest));
}

/// Guards against a queue that takes all by asking for more, and against shares across priorities.
#[parameterized(
    rival = { 0, true },
    other_priority = { 2, false },
)]
fn a_queue_that_asks_for_little_is_due_all_of_it(priority: u8, ahead: bool) {
    let mut cell = Cell::open();
    for _ in 0..30 {
        cell.now += Duration::from_millis(100);
        let job = cell.arrive("small", 1);
        cell.shares.settle(cell.now, job, Outcome::Late);
        for outcome in [Outcome::InTime, Outcome::Late].repeat(5) {
            let group = group(priority);
            let job = cell.next;
            cell.next += 1;
            cell.shares.arrive(cell.now, job, Arrival { group, ..arrival("large", 1) });
            cell.shares.settle(cell.now, job, outcome);
        }
        cell.shares.update(cell.now);
    }
    assert_eq!(cell.ahead("small", Class::Rest), ahead);
    assert!(!cell.ahead("large", Class::Rest));
}

/// Guards against shares that take the cell from value, and against a large job that small ones pass
/// for ever or that exceeds the bound by itself.
#[test]
fn few_go_ahead_at_once_and_the_first_however_large() {
    let mut cell = Cell::open();
    cell.run(50, "q", Outcome::InTime, Outcome::Late);
    let jobs: Vec<JobId> = (0..3).map(|_| cell.arrive("q", 8)).collect();
    let small = cell.arrive("q", 1);
    let candidates = [small, jobs[0], jobs[1], jobs[2]];
    assert_eq!(cell.choose(&candidates), [jobs[0]]);
    assert_eq!(cell.choose(&candidates), [jobs[0]]);
    cell.shares.settle(cell.now, jobs[0], Outcome::Late);
    assert_eq!(cell.choose(&candidates), [jobs[1]]);
}

/// Guards against a log that grows with an account that is behind again and again.
#[test]
fn at_most_two_changes_are_logged_in_five_seconds() {
    let mut cell = Cell::open();
    let mut changes = 0;
    for _ in 0..10 {
        changes += cell.run(20, "q", Outcome::InTime, Outcome::Late);
        changes += cell.run(20, "q", Outcome::Late, Outcome::InTime);
    }
    assert!((2..=16).contains(&changes), "{changes} changes in 40 s");
}
