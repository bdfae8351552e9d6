//! Cost of a cell's decisions, from task simulations.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_resource::policy;

use crate::capacity::slope::Slope;
use crate::tasks::figures::Figures;
use crate::tasks::fleet;
use crate::tasks::fleet::Fleet;
use crate::tasks::fleet::Service;
use crate::tasks::policy::Kind;
use crate::tasks::simulation;

/// Numbers of workers in a cell.
const WORKER_COUNTS: &[usize] = &[125, 250, 500, 1_000];
/// Number of workers where the number of tasks varies.
const FIXED_WORKER_COUNT: usize = 250;
/// Numbers of long-running tasks in a cell.
const TASK_COUNTS: &[usize] = &[1_750, 3_500, 7_000];
/// Declared size of these tasks.
const TASK_AMOUNT: Amount = Amount { cpu_milli: 1_000, memory_mib: 1_000, accelerators: 0 };
/// Services with these numbers of tasks.
const SERVICES: [[Service; 1]; 3] = [
    [Service { tasks: 1_750, amount: TASK_AMOUNT }],
    [Service { tasks: 3_500, amount: TASK_AMOUNT }],
    [Service { tasks: 7_000, amount: TASK_AMOUNT }],
];
/// Length of a run in which no task starts or ends.
const IDLE_LENGTH: Duration = Duration::from_secs(90);
/// Length of a run in which tasks start and end.
const BUSY_LENGTH: Duration = Duration::from_secs(120);
/// Seed of all runs.
const SEED: u64 = 1;

/// Costs of a cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Memory by workers, in bytes.
    pub workers: Slope,
    /// Memory by running tasks, in bytes.
    pub tasks: Slope,
    /// Microseconds per exchange without commands or changes, by workers.
    pub idle: Slope,
    /// Microseconds per exchange with measurements, by running tasks in the cell.
    pub with_usage: Slope,
    /// Microseconds per start, up to the acknowledgement of its completion.
    pub start: Slope,
    /// Exchanges per start, in addition to heartbeats.
    pub exchanges: Slope,
    /// Store batches per second.
    pub batches: Slope,
    /// Record bytes written per second.
    pub record_bytes: Slope,
}

impl Cell {
    /// Measures all costs.
    pub fn measure() -> Cell {
        let empty: Vec<Figures> =
            WORKER_COUNTS.iter().map(|&workers| run_idle(workers, &[])).collect();
        let full: Vec<Figures> =
            SERVICES.iter().map(|services| run_idle(FIXED_WORKER_COUNT, services)).collect();
        let busy: Vec<Figures> = WORKER_COUNTS.iter().map(|&workers| run_busy(workers)).collect();
        let by_workers = |quantity, value: &dyn Fn(usize) -> f64| {
            slope(quantity, "workers", WORKER_COUNTS, value)
        };
        let by_tasks =
            |quantity, value: &dyn Fn(usize) -> f64| slope(quantity, "tasks", TASK_COUNTS, value);
        let idle =
            by_workers("µs of decisions for an idle exchange", &|n| exchange_micros(&empty[n]));
        let idle_line = idle.line;
        Cell {
            workers: by_workers("bytes of state", &|n| empty[n].state_bytes as f64),
            tasks: by_tasks("bytes of state", &|n| full[n].state_bytes as f64),
            with_usage: by_tasks("µs of decisions for an exchange with usage", &|n| {
                exchange_micros(&full[n])
            }),
            start: by_workers("µs of decisions for a start and its end", &|n| {
                let counts = &busy[n].counts;
                let idle = idle_line.at(WORKER_COUNTS[n] as f64) * heartbeats(WORKER_COUNTS[n]);
                (busy[n].policy_time.as_secs_f64() * 1e6 - idle) / counts.starts as f64
            }),
            exchanges: by_workers("exchanges for a start", &|n| {
                let counts = &busy[n].counts;
                (counts.exchanges as f64 - heartbeats(WORKER_COUNTS[n])) / counts.starts as f64
            }),
            batches: by_workers("store batches a second", &|n| {
                busy[n].counts.batches as f64 / BUSY_LENGTH.as_secs_f64()
            }),
            record_bytes: by_workers("bytes of records a second", &|n| {
                busy[n].counts.record_bytes as f64 / BUSY_LENGTH.as_secs_f64()
            }),
            idle,
        }
    }

    /// Returns all slopes, in the order of the report.
    pub fn slopes(&self) -> Vec<&Slope> {
        vec![
            &self.workers,
            &self.tasks,
            &self.idle,
            &self.with_usage,
            &self.start,
            &self.exchanges,
            &self.batches,
            &self.record_bytes,
        ]
    }
}

/// Fits a slope to the value at the index of each size.
fn slope(
    quantity: &'static str,
    variable: &'static str,
    sizes: &[usize],
    value: &dyn Fn(usize) -> f64,
) -> Slope {
    let mut index = 0;
    Slope::measure("placer", quantity, variable, sizes, |_| {
        index += 1;
        value(index - 1)
    })
}

/// Returns the number of heartbeats in a busy run.
fn heartbeats(workers: usize) -> f64 {
    let interval = policy::Spec::default().heartbeat.as_secs_f64();
    workers as f64 * BUSY_LENGTH.as_secs_f64() / interval
}

fn exchange_micros(figures: &Figures) -> f64 {
    figures.policy_time.as_secs_f64() * 1e6 / figures.counts.exchanges.max(1) as f64
}

fn domain_fleet() -> Fleet {
    let fleet = *fleet::find("domain").expect("the deployment exists");
    Fleet { crashes: 0, failing: 0, ..fleet }
}

fn run_idle(workers: usize, services: &'static [Service]) -> Figures {
    let fleet = Fleet { workers, services, offered: 0.0, length: IDLE_LENGTH, ..domain_fleet() };
    simulation::run(&fleet, Kind::Shipped, SEED)
}

fn run_busy(workers: usize) -> Figures {
    let fleet = Fleet { workers, services: &[], length: BUSY_LENGTH, ..domain_fleet() };
    simulation::run(&fleet, Kind::Shipped, SEED)
}
