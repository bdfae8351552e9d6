//! Placement of waiting tasks on workers with free capacity.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::TaskIndex;

use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::JobId;
use crate::job::State;
use crate::queue::Item;
use crate::worker::WorkerId;

/// Maximum number of blocked jobs tried on a worker that has freed capacity.
const FILL_JOBS_MAX: usize = 32;
/// Predicted slowdown of paying tasks, in thousandths, up to which a job counts as harmless.
const HARMLESS_PERMILLE: f32 = 3.0;
/// Maximum number of placements tried in one step, which bounds its time; the next step continues.
const STARTS_MAX: u32 = 1000;
/// Number of low bits of an attempt that count runs under one epoch.
const ATTEMPT_BITS: u32 = 10;

/// The reason why the placement of a job's tasks stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// No task waits any more.
    Empty,
    /// No worker has enough free capacity.
    NoRoom,
    /// The team's share is used up.
    Quota,
    /// The step has reached its limit of placements.
    StepLimit,
}

impl Cell {
    /// Starts the waiting tasks that can start.
    pub(crate) fn place(&mut self) {
        if !self.ownership.is_ready() {
            return;
        }
        self.retry_over_quota();
        self.retry_preemptors();
        let mut starts_left = STARTS_MAX;
        while let Some(item) = self.queue.open.pop_first() {
            match self.place_job(item, &mut starts_left) {
                Stop::Empty => self.jobs[item.job].queue_item = None,
                Stop::NoRoom => _ = self.queue.blocked.insert(item),
                Stop::Quota => _ = self.queue.over_quota.insert(item),
                Stop::StepLimit => {
                    self.queue.open.insert(item);
                    return;
                }
            }
        }
        let mut freed = std::mem::take(&mut self.queue.freed);
        for id in freed.drain(..) {
            self.fill(id);
        }
        self.queue.freed = freed;
    }

    /// Returns `true` if waiting tasks were deferred to the next step.
    pub(crate) fn has_open_jobs(&self) -> bool {
        self.ownership.is_ready() && !self.queue.open.is_empty()
    }

    /// Places a job's tasks until none waits or none can start, and returns why it stopped.
    fn place_job(&mut self, item: Item, starts_left: &mut u32) -> Stop {
        let id = item.job;
        while let Some(task) = self.jobs[id].next() {
            if *starts_left == 0 {
                return Stop::StepLimit;
            }
            *starts_left -= 1;
            let amount = self.amount(id);
            if !self.is_within_share(id, amount) {
                return Stop::Quota;
            }
            let must_leave_reserve = self.is_best_effort(id) && self.is_reserve_reached();
            let chosen = if must_leave_reserve { None } else { self.choose(id, amount) };
            let Some(worker) = chosen else {
                if item.may_preempt() {
                    self.preempt(id, amount);
                }
                return Stop::NoRoom;
            };
            self.start(worker, id, task, amount);
        }
        Stop::Empty
    }

    /// Offers a worker's free capacity to blocked jobs.
    fn fill(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        if !self.is_eligible(worker) {
            return;
        }
        let items: Vec<Item> = self.queue.blocked.iter().take(FILL_JOBS_MAX).copied().collect();
        // Tries jobs that are predicted harmless to the paying tasks there before all others.
        for risk_max in [HARMLESS_PERMILLE, f32::INFINITY] {
            for &item in &items {
                self.fill_from(id, item, risk_max);
            }
        }
    }

    fn fill_from(&mut self, id: WorkerId, item: Item, risk_max: f32) {
        if self.jobs[item.job].queue_item != Some(item) {
            return;
        }
        loop {
            let job = item.job;
            let amount = self.amount(job);
            let must_leave_reserve = self.is_best_effort(job) && self.is_reserve_reached();
            let is_too_harmful =
                self.risk(id, job).is_none_or(|risk| risk > risk_max && !item.may_preempt());
            let fits = self.has_room(id, job, amount) && self.is_within_share(job, amount);
            if must_leave_reserve || is_too_harmful || !fits {
                return;
            }
            let Some(task) = self.jobs[job].next() else {
                self.queue.blocked.remove(&item);
                self.jobs[job].queue_item = None;
                return;
            };
            self.start(id, job, task, amount);
        }
    }

    fn start(&mut self, id: WorkerId, job: JobId, task: TaskIndex, amount: Amount) {
        let worker = &self.workers[id];
        assert!(
            worker.committed.plus(amount).fits_within(worker.capacity),
            "no worker is overcommitted"
        );
        let epoch = self.ownership.epoch().expect("only an owner starts tasks");
        let entry = self.jobs[job].entry(task);
        let is_resumed = entry.checkpoint.is_some();
        entry.attempt = next_attempt(entry.attempt, epoch);
        let key = Key { job, task, attempt: entry.attempt };
        let entry = &mut self.jobs[job];
        entry.highest_attempt = entry.highest_attempt.max(key.attempt);
        entry.set(task, State::Placed(id));
        let allocation = self.new_allocation(key, amount);
        let run = self.run(&allocation);
        self.add_allocation(id, allocation);
        self.end_reservation(id, job);
        self.note_probe(id, key);
        let name = self.workers[id].name.clone();
        let number = if is_resumed { LogEvent::TaskResumed } else { LogEvent::TaskStarting };
        self.note_run(number, &name, run, "it fits there");
    }
}

/// Returns an attempt above `last` that no other owner has assigned or will assign.
///
/// The epoch is in the upper bits, so any attempt that a previous owner assigned without our
/// knowledge is lower, and no write is needed before a start.
fn next_attempt(last: Attempt, epoch: Epoch) -> Attempt {
    last.saturating_add(1).max(first_attempt(epoch))
}

/// Returns the lowest attempt of an epoch; owners of lower epochs assigned lower ones.
pub(crate) fn first_attempt(epoch: Epoch) -> Attempt {
    let low = u64::from(u32::MAX >> ATTEMPT_BITS);
    (epoch.min(low) as Attempt) << ATTEMPT_BITS
}
