//! Placement of waiting tasks on workers with free capacity.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id::Attempt;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::TaskIndex;

use crate::cell::Cell;
use crate::inventory::Key;
use crate::job::JobId;
use crate::job::State;
use crate::queue::Place;
use crate::worker::WorkerId;

/// Maximum number of blocked jobs tried on a worker that has freed capacity.
const TRIES: usize = 32;
/// Predicted slowdown of paying tasks, in thousandths, up to which a job counts as harmless.
const HARMLESS: f32 = 3.0;
/// Maximum number of placements tried in one step, which bounds its time; the next step continues.
const STARTS_MAX: u32 = 1000;
/// Number of low bits of an attempt that count runs under one epoch.
const ATTEMPT_BITS: u32 = 10;

/// The reason why the placement of a job's tasks stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// No task waits any more.
    Over,
    /// No worker has enough free capacity.
    Room,
    /// The team's share is used up.
    Share,
    /// The step has reached its limit of placements.
    Turn,
}

impl Cell {
    /// Starts the waiting tasks that can start.
    pub(crate) fn place(&mut self) {
        if !self.ownership.is_ready() {
            return;
        }
        self.uncap();
        self.urge();
        let mut left = STARTS_MAX;
        while let Some(place) = self.queue.open.pop_first() {
            match self.place_job(place, &mut left) {
                Wait::Over => self.jobs[place.job].place = None,
                Wait::Room => _ = self.queue.blocked.insert(place),
                Wait::Share => _ = self.queue.capped.insert(place),
                Wait::Turn => {
                    self.queue.open.insert(place);
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
    pub(crate) fn has_more(&self) -> bool {
        self.ownership.is_ready() && !self.queue.open.is_empty()
    }

    /// Places a job's tasks until none waits or none can start, and returns why it stopped.
    fn place_job(&mut self, place: Place, left: &mut u32) -> Wait {
        let id = place.job;
        while let Some(task) = self.jobs[id].next() {
            if *left == 0 {
                return Wait::Turn;
            }
            *left -= 1;
            let amount = self.amount(id);
            if !self.is_allowed(id, amount) {
                return Wait::Share;
            }
            let kept = self.is_low(id) && self.is_reserved();
            let chosen = if kept { None } else { self.choose(id, amount) };
            let Some(worker) = chosen else {
                if place.may_preempt() {
                    self.preempt(id, amount);
                }
                return Wait::Room;
            };
            self.start(worker, id, task, amount);
        }
        Wait::Over
    }

    /// Offers a worker's free capacity to blocked jobs.
    fn fill(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        if !self.is_eligible(worker) {
            return;
        }
        let places: Vec<Place> = self.queue.blocked.iter().take(TRIES).copied().collect();
        // Tries jobs that are predicted harmless to the paying tasks there before all others.
        for harm in [HARMLESS, f32::INFINITY] {
            for &place in &places {
                self.fill_from(id, place, harm);
            }
        }
    }

    fn fill_from(&mut self, id: WorkerId, place: Place, harm: f32) {
        if self.jobs[place.job].place != Some(place) {
            return;
        }
        loop {
            let job = place.job;
            let amount = self.amount(job);
            let kept = self.is_low(job) && self.is_reserved();
            let harms = self.risk(id, job).is_none_or(|risk| risk > harm && !place.may_preempt());
            let fits = self.has_room(id, job, amount) && self.is_allowed(job, amount);
            if kept || harms || !fits {
                return;
            }
            let Some(task) = self.jobs[job].next() else {
                self.queue.blocked.remove(&place);
                self.jobs[job].place = None;
                return;
            };
            self.start(id, job, task, amount);
        }
    }

    fn start(&mut self, id: WorkerId, job: JobId, task: TaskIndex, amount: Amount) {
        let worker = &self.workers[id];
        assert!(worker.committed.plus(amount).fits(worker.capacity), "no worker is overcommitted");
        let epoch = self.ownership.epoch().expect("only an owner starts tasks");
        let entry = self.jobs[job].entry(task);
        let resumed = entry.checkpoint.is_some();
        entry.attempt = next_attempt(entry.attempt, epoch);
        let key = Key { job, task, attempt: entry.attempt };
        let entry = &mut self.jobs[job];
        entry.highest = entry.highest.max(key.attempt);
        entry.set(task, State::Placed(id));
        let hold = self.starting(key, amount);
        let run = self.run(&hold);
        self.hold(id, hold);
        self.use_claim(id, job);
        self.note_probe(id, key);
        let name = self.workers[id].name.clone();
        let number = if resumed { Number::TaskResumed } else { Number::TaskStarting };
        self.note_run(number, &name, run, "it fits there");
    }
}

/// Returns an attempt above `last` that no other owner has assigned or will assign.
///
/// The epoch is in the upper bits, so any attempt that a former owner assigned without our
/// knowledge is lower, and no write is needed before a start.
fn next_attempt(last: Attempt, epoch: Epoch) -> Attempt {
    last.saturating_add(1).max(first_attempt(epoch))
}

/// Returns the lowest attempt of an epoch; owners of lower epochs assigned lower ones.
pub(crate) fn first_attempt(epoch: Epoch) -> Attempt {
    let low = u64::from(u32::MAX >> ATTEMPT_BITS);
    (epoch.min(low) as Attempt) << ATTEMPT_BITS
}
