//! Service tasks that wait beside capacity which only an observer sees as free.
//!
//! The owner counts capacity as taken from the moment it assigns a task to it. To an observer it is
//! free until the start has arrived at the worker. In a full cell with many short runs the two
//! differ: the observer finds capacity for two service tasks whenever it looks, the owner finds
//! none. A task that waits beside such capacity for three seconds counts as lost, although the
//! owner never had any to give.
//!
//! So for a service task that has waited for long, capacity that starts of short tasks are on their
//! way to counts as free too. Once there has been enough for two all the time for a while, the task
//! takes the next worker with room for it, before the short tasks ([`crate::service::order`]), or
//! has one reserved.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::StepId;

use crate::capacity::idle;
use crate::capacity::idle::MAX_UPDATE_GAP;
use crate::capacity::idle::Rooms;
use crate::planner::Planner;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::service::age::LONG_WAIT;
use crate::service::order::Restriction;
use crate::workers::command::Timer;
use crate::workers::host::Stage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Age from which the capacity beside a waiting task is watched: early enough for the longest of the
/// times after which the reserve gives way to an overdue task.
const WATCH_DELAY: Duration = Duration::from_secs(1);
/// Maximum interval at which capacity for two that waiting tasks are beside is checked again:
/// shorter than [`MAX_UPDATE_GAP`], after which it would count as seen for the first time.
const PAIR_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which capacity counts for an owed task that was free for a moment: most of it is free
/// between two passes, or before the owner hears that a run has ended.
const SAMPLED_TIME: Duration = Duration::from_millis(500);
/// Time for which capacity counts as used by turns after a short task has waited for it, as long as
/// capacity has to stay free otherwise before a new service task takes it.
const CONTENTION_TIME: Duration = Duration::from_secs(2);
/// Number of pending starts up to which settled ones aren't removed.
const MIN_PRUNED_STARTS: usize = 64;

/// Urgency of a waiting service task, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
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
    /// Most such tasks in the last [`SAMPLED_TIME`], and when that was.
    sampled: u32,
    sampled_at: Time,
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
        if slots >= self.sampled || now >= self.sampled_at + SAMPLED_TIME {
            self.sampled = slots;
            self.sampled_at = now;
        }
    }

    /// Forgets what was seen before the last placement.
    fn forget_samples(&mut self, placed_at: Time) {
        if self.sampled_at <= placed_at {
            self.sampled = 0;
        }
    }

    /// Returns the number of tasks for which an observer may have seen capacity at a look a moment
    /// ago, if that was after the time `since`.
    fn sampled_slots(&self, now: Time, since: Time) -> u32 {
        let is_recent = self.sampled_at > since && now < self.sampled_at + SAMPLED_TIME;
        if is_recent { self.sampled } else { self.slots }
    }

    /// Returns the number of tasks for which an observer saw capacity at the last look.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns `true` if there has been capacity for two for the time `span`.
    fn has_pair_for(&self, span: Duration, now: Time) -> bool {
        now < self.updated + MAX_UPDATE_GAP && self.pair_time(now) >= span
    }

    /// Returns when a restriction may give way next to a task that has waited since `since`, if
    /// there is capacity for two.
    fn next_check(&self, since: Time, now: Time) -> Option<Time> {
        let pair_since = self.pair_since?;
        let overdue_at = since + LONG_WAIT;
        let times = Restriction::ALL
            .map(|restriction| overdue_at.max(pair_since + restriction.pair_time()));
        let next = times.into_iter().filter(|&at| at > now).min();
        Some(next.unwrap_or(Time::MAX).min(now + PAIR_CHECK_INTERVAL))
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
        if task.attempt == 0 { Urgency::New } else { Urgency::Returning }
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

    /// Updates what an observer has seen beside the waiting service tasks of each step.
    pub(crate) fn update_watches(&mut self) {
        let mut seen: Rooms = Vec::new();
        for step in self.watched_steps() {
            let demand = self.jobs[&step.job].spec(step.step).demand;
            let service = self.service(step.job);
            let known = seen.iter().position(|(name, _)| *name == service);
            let index = known.unwrap_or_else(|| {
                let rooms = self.seen_rooms(&service);
                seen.push((service, rooms));
                seen.len() - 1
            });
            let slots = idle::count_slots(&seen[index].1, demand);
            let (now, placed_at) = (self.now, self.overdue_placed_at);
            let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
            let Some(state) = state else { continue };
            state.watch.forget_samples(placed_at);
            state.watch.update(now, slots);
            let waiting = state.tasks.iter().filter(|task| task.place == Place::Waiting);
            let oldest = waiting.map(|task| task.waiting_since).min();
            if let Some(at) = oldest.and_then(|since| state.watch.next_check(since, now)) {
                self.timers.insert((at, Timer::Place));
            }
        }
    }

    /// Returns `true` if a task is overdue beside capacity that an observer sees as free, so that
    /// the reserve for short tasks gives way to it.
    pub(crate) fn is_overdue_beside_room(&self, step: StepId, task: &Task) -> bool {
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let span = Restriction::reserve_for(task).pair_time();
        self.is_overdue(task)
            && !self.is_held_back(self.urgency(task))
            && state.is_some_and(|state| state.watch.has_pair_for(span, self.now))
    }

    /// Returns `true` for a task that has never run while short tasks contend for the reserve, as
    /// the free capacity is then about to be used.
    pub(crate) fn is_held_back(&self, urgency: Urgency) -> bool {
        urgency == Urgency::New && self.reserve.is_contended(self.now, CONTENTION_TIME)
    }

    /// Returns how many times the demand of a task overdue tasks may take in this pass before it.
    /// Capacity for one is left to short tasks.
    pub(crate) fn overdue_limit(&self, task: &Task, watch: &Watch) -> u32 {
        let slots = match self.is_owed(task) {
            true => watch.sampled_slots(self.now, self.overdue_placed_at),
            false => watch.slots,
        };
        slots.saturating_sub(1)
    }

    /// Returns the service steps with a task that has waited for long enough to watch the capacity
    /// beside it. Gangs are placed as a whole.
    pub(crate) fn watched_steps(&self) -> Vec<StepId> {
        let mut watched = Vec::new();
        for &id in &self.waiting {
            let Some(job) = self.jobs.get(&id).filter(|job| job.has_service_step()) else {
                continue;
            };
            let is_watched = |step: &StepId| {
                let spec = job.spec(step.step);
                let mut tasks = job.step(*step).into_iter().flat_map(|state| &state.tasks);
                spec.long_running
                    && !spec.gang
                    && tasks
                        .any(|task| task.place == Place::Waiting && self.age(task) >= WATCH_DELAY)
            };
            watched.extend(job.waiting_steps(id).into_iter().filter(is_watched));
        }
        watched
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
