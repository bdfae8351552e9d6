//! Log of how the capacity of the cell is used.
//!
//! Tasks may wait beside free capacity since it is withheld from them, since it lies in pieces that
//! are too small, or since another resource is used up. The line gives each of these sums.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;

use crate::planner::Planner;
use crate::queue::task::Place;
use crate::service::way::Way;
use crate::workers::worker::Worker;

/// Interval of the line: a few times the duration of a short task.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bounds of the free CPU of a worker for the sums by size, in millicores.
const PIECE_BOUNDS: [u32; 4] = [2_000, 4_000, 8_000, 16_000];

/// Use of the capacity of the usable workers.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    open: usize,
    closed: usize,
    capacity: Sum,
    services: Sum,
    others: Sum,
    /// Free millicores of open workers, by the free CPU of their worker.
    pieces: [u64; PIECE_BOUNDS.len() + 1],
    closed_free: Sum,
}

/// Total over workers; the sum of a large cell exceeds an [`Amount`].
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    cpu_milli: u64,
    memory_mib: u64,
}

impl Sum {
    fn add(&mut self, amount: Amount) {
        self.cpu_milli += u64::from(amount.cpu_milli);
        self.memory_mib += u64::from(amount.memory_mib);
    }
}

impl fmt::Display for Sum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores and {} GiB", self.cpu_milli / 1_000, self.memory_mib >> 10)
    }
}

impl Usage {
    fn add_open(&mut self, worker: &Worker) {
        self.open += 1;
        self.capacity.add(worker.capacity);
        self.services.add(worker.reserved_by_services);
        self.others.add(worker.reserved.minus(worker.reserved_by_services));
        let free = worker.room().cpu_milli;
        let index = PIECE_BOUNDS.iter().filter(|&&bound| free >= bound).count();
        self.pieces[index] += u64::from(free);
    }

    fn add_closed(&mut self, worker: &Worker) {
        self.closed += 1;
        self.closed_free.add(worker.room());
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, fourth, rest] = self.pieces.map(|milli| milli / 1_000);
        write!(
            f,
            "{} open workers: {}; service tasks {}; others {}; free cores on workers with less than 2: {first}, 4: {second}, 8: {third}, 16: {fourth}, with more: {rest}; {} closed workers: {} free",
            self.open, self.capacity, self.services, self.others, self.closed, self.closed_free,
        )
    }
}

/// Starts of service tasks since the last line, by how they came to be placed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceStarts {
    /// Count and millicores for each way, apart for tasks that have run before.
    by_way: BTreeMap<(Way, bool), (u32, u64)>,
}

impl ServiceStarts {
    pub(crate) fn count(&mut self, way: Way, has_run: bool, milli: u32) {
        let (count, sum) = self.by_way.entry((way, has_run)).or_default();
        *count += 1;
        *sum += u64::from(milli);
    }
}

impl fmt::Display for ServiceStarts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((way, has_run), (count, milli)) in &self.by_way {
            let kind = if *has_run { "returning" } else { "new" };
            write!(f, "; {count} {kind}, {} cores: {}", milli / 1_000, way.text())?;
        }
        Ok(())
    }
}

/// Waiting tasks of the cell.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    returning: Backlog,
    new: Backlog,
    short: Backlog,
}

/// Number of tasks and the CPU that they need.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    tasks: u64,
    cpu_milli: u64,
}

impl Backlog {
    fn add(&mut self, tasks: usize, cpu_milli: u32) {
        self.tasks += tasks as u64;
        self.cpu_milli += tasks as u64 * u64::from(cpu_milli);
    }
}

impl fmt::Display for Backlog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} for {} cores", self.tasks, self.cpu_milli / 1_000)
    }
}

impl Planner {
    /// Returns the waiting tasks that reserve CPU.
    fn waiting_tasks(&self) -> Waiting {
        let mut waiting = Waiting::default();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id) else { continue };
            for (step, state) in job.steps(id) {
                let spec = job.spec(step.step);
                let tasks = || state.tasks.iter().filter(|task| task.place == Place::Waiting);
                let milli = spec.demand.cpu_milli;
                if spec.long_running {
                    let returning = tasks().filter(|task| task.attempt > 0).count();
                    waiting.returning.add(returning, milli);
                    waiting.new.add(tasks().count() - returning, milli);
                } else if !spec.best_effort && state.open {
                    waiting.short.add(tasks().count(), milli);
                }
            }
        }
        waiting
    }

    /// Logs how the capacity of the cell is used, at an interval.
    pub(crate) fn log_usage(&mut self) {
        if self.now < self.usage_log_due {
            return;
        }
        self.usage_log_due = self.now + LINE_INTERVAL;
        let mut usage = Usage::default();
        for (_, worker) in self.workers.iter().filter(|(_, worker)| self.is_usable(worker)) {
            match self.is_open(worker) {
                true => usage.add_open(worker),
                false => usage.add_closed(worker),
            }
        }
        let waiting = self.waiting_tasks();
        let reserved = self.reserved_milli() as u64 / 1_000;
        let (_, quota) = self.quota.usage();
        let detail = format!(
            "{usage}; {} reserved workers for {reserved} cores; quota of service tasks {:.0} cores, reserve for short ones {:.0}; waiting: {} returning, {} new, {} short{}",
            self.reservations.len(),
            quota / 1e3,
            self.reserve.milli(self.now, usage.capacity.cpu_milli as f64) / 1e3,
            waiting.returning,
            waiting.new,
            waiting.short,
            std::mem::take(&mut self.service_starts),
        );
        self.note(LogEvent::CellCapacity, None, None, None, detail);
    }
}
