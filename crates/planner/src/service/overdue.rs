//! Service tasks that wait beside capacity which only an observer sees as free.
//!
//! The owner counts capacity as taken from the moment it assigns a task to it. To an observer it is
//! free until the start has arrived at the worker. In a full cell with many short runs the two
//! differ: the observer finds capacity for two service tasks whenever it looks, the owner finds
//! none. A task that waits beside such capacity for three seconds counts as lost, although the
//! owner never had any to give.
//!
//! So for a service task that has run before and has waited for long, capacity that starts of short
//! tasks are on their way to counts as free too. Once there has been enough for two all the time
//! for a while, the task takes the next worker with room for it, before the short tasks, or has one
//! reserved.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::capacity::idle;
use crate::capacity::idle::MAX_UPDATE_GAP;
use crate::capacity::idle::Rooms;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::service::service_wait::LONG_WAIT;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time for which there has been capacity for two before an overdue task takes the next. Longer than
/// a pause between two short jobs, which leaves such capacity too, and short compared with the time
/// between two looks of an observer.
const PAIR_DELAY: Duration = Duration::from_millis(400);
/// Number of pending starts up to which settled ones aren't removed.
const MIN_PRUNED_STARTS: usize = 64;

/// Urgency of a waiting service task, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// It has run before and has waited for long.
    Overdue,
    /// It has run before.
    Returning,
    /// It has never run.
    New,
}

/// Since when an observer has seen capacity for two tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Watch {
    /// Further tasks for which an observer saw capacity at the last look.
    slots: u32,
    pair_since: Option<Time>,
    updated: Time,
}

impl Watch {
    /// Records that there is capacity for `slots` tasks now.
    fn update(&mut self, now: Time, slots: u32) {
        if now >= self.updated + MAX_UPDATE_GAP {
            self.pair_since = None;
        }
        self.pair_since = if slots >= 2 { Some(self.pair_since.unwrap_or(now)) } else { None };
        self.slots = slots;
        self.updated = now;
    }

    /// Returns the number of tasks for which an observer saw capacity at the last look.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns `true` if there has been capacity for two for long enough.
    fn is_due(&self, now: Time) -> bool {
        now < self.updated + MAX_UPDATE_GAP && self.pair_time(now) >= PAIR_DELAY
    }

    /// Returns for how long there has been capacity for two.
    pub(crate) fn pair_time(&self, now: Time) -> Duration {
        self.pair_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }
}

/// Starts of short tasks that may not have arrived at their workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Starts {
    pending: Vec<(WorkerId, Run)>,
    /// Number of starts at which settled ones are removed.
    prune_at: usize,
}

impl Planner {
    /// Returns how urgent a waiting service task is.
    pub(crate) fn urgency(&self, task: &Task) -> Urgency {
        if task.attempt == 0 {
            Urgency::New
        } else if self.is_overdue(task) {
            Urgency::Overdue
        } else {
            Urgency::Returning
        }
    }

    /// Records that a short task was assigned.
    pub(crate) fn record_short_start(&mut self, worker: WorkerId, run: Run) {
        self.short_starts.pending.push((worker, run));
        if self.short_starts.pending.len() >= self.short_starts.prune_at {
            self.prune_short_starts();
        }
    }

    /// Removes the starts that have arrived or won't.
    fn prune_short_starts(&mut self) {
        let mut starts = std::mem::take(&mut self.short_starts);
        starts.pending.retain(|&(worker, run)| {
            let state = self.workers.get(worker).and_then(|worker| worker.runs.get(&run));
            let stage = state.map(|hosted| hosted.stage);
            matches!(stage, Some(Stage::Intended { .. } | Stage::Starting { .. }))
        });
        starts.prune_at = MIN_PRUNED_STARTS.max(starts.pending.len() * 2);
        self.short_starts = starts;
    }

    /// Updates what an observer has seen beside the waiting tasks of a service step. Returns the
    /// number of overdue tasks that may be placed because of it.
    pub(crate) fn update_watch(&mut self, step: StepId, spec: &Step, seen: &mut Rooms) -> u32 {
        if !self.is_watched(step) {
            return 0;
        }
        let service = self.service(step.job);
        let known = seen.iter().position(|(name, _)| *name == service);
        let index = known.unwrap_or_else(|| {
            let rooms = self.seen_rooms(&service);
            seen.push((service, rooms));
            seen.len() - 1
        });
        let slots = idle::count_slots(&seen[index].1, spec.demand);
        let now = self.now;
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        let Some(state) = state else { return 0 };
        state.watch.update(now, slots);
        if state.watch.is_due(now) { slots.saturating_sub(1) } else { 0 }
    }

    /// Returns `true` if a task is overdue beside capacity that an observer sees as free.
    pub(crate) fn is_overdue_beside_room(&self, step: StepId, task: &Task) -> bool {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let is_due = state.is_some_and(|state| state.watch.is_due(self.now));
        is_due && self.urgency(task) == Urgency::Overdue
    }

    /// Returns `true` if a task of a step may be overdue before there can have been capacity for
    /// two for long enough.
    fn is_watched(&self, step: StepId) -> bool {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let mut tasks = state.into_iter().flat_map(|state| &state.tasks);
        tasks.any(|task| {
            task.place == Place::Waiting
                && task.attempt > 0
                && self.now + PAIR_DELAY >= task.waiting_since + LONG_WAIT
        })
    }

    /// Returns the capacity of each worker of a service that an observer sees as free, the most CPU
    /// first.
    fn seen_rooms(&mut self, service: &id::Service) -> Vec<Amount> {
        self.prune_short_starts();
        let mut rooms: Vec<(WorkerId, Amount)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.service == *service && self.is_usable(worker))
            .map(|(id, worker)| (id, worker.room()))
            .collect();
        rooms.sort_unstable_by_key(|&(id, _)| id);
        for &(worker, run) in &self.short_starts.pending {
            let Ok(index) = rooms.binary_search_by_key(&worker, |&(id, _)| id) else { continue };
            let hosted = self.workers[worker].runs.get(&run);
            let reserved = hosted.map_or(Amount::ZERO, |hosted| hosted.reserved());
            rooms[index].1 = rooms[index].1.plus(reserved);
        }
        let mut rooms: Vec<Amount> = rooms.into_iter().map(|(_, room)| room).collect();
        rooms.sort_unstable_by_key(|room| Reverse(room.cpu_milli));
        rooms
    }

    /// Returns `true` if an observer expects a worker to take tasks, also while this owner gives it
    /// none for a moment.
    pub(crate) fn is_usable(&self, worker: &Worker) -> bool {
        worker.listed && !worker.draining && !self.is_evacuated(worker) && worker.answers()
    }
}
