//! Free capacity that service tasks may take.
//!
//! Service tasks run for the rest of the day and could fill the cell, so some capacity is reserved
//! for short tasks ([`crate::capacity::reserve`]). If service tasks took each gap between two short tasks, no
//! gap would be left for a large short task, and such jobs would starve while a twentieth of the
//! cell is free in pieces. So service tasks may use the reserve only as far as it has been free all
//! the time. They must not wait for long beside capacity that stays free.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::service::overdue::Urgency;
use crate::service::way::Way;
use crate::workers::command::Timer;
use crate::workers::worker::WorkerId;

/// Interval at which a service task that waits beside the reserve for short tasks is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Capacity that is free at any moment of a window counts as free in that window, so it may be in
/// use for almost two windows in between. Between two short tasks are the store's and the worker's
/// answers, which take some tens of milliseconds.
const WINDOW: Duration = Duration::from_millis(150);
/// Number of windows that have to be free: two seconds. After three a task that waits beside free
/// capacity counts as lost.
pub(crate) const WINDOWS: usize = 13;

/// Fraction of the time with free capacity for two tasks from which a returning task no longer
/// waits. It counts as lost after three seconds beside free capacity for two, and an observer who
/// samples rarely may see capacity that is free half of the time as always free.
const MIN_PAIR_FRACTION: f64 = 0.5;
/// Time constant of that average.
const PAIR_AVERAGE_TIME: Duration = Duration::from_millis(1500);

/// A step that waits is checked at least twice a second. One that hasn't been checked for longer
/// than this wasn't waiting.
pub(crate) const MAX_UPDATE_GAP: Duration = Duration::from_millis(1500);

/// Capacity that the tasks of a service step may take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Spare {
    /// Millicores beyond the reserve for short tasks.
    milli: f64,
    /// The same for a task that has never run, where the reserve has to be capacity that short tasks
    /// can use.
    new_milli: f64,
    /// Number of tasks for which there has been free capacity all the time.
    slots: u64,
    /// `true` if there has been free capacity for two for much of the time, so that a returning
    /// task may be placed.
    has_frequent_pair: bool,
}

impl Spare {
    /// Returns which of this capacity a task may take, if any.
    fn way(&self, spec: &Step, urgency: Urgency) -> Option<Way> {
        let milli = match urgency {
            Urgency::Returning => self.milli,
            Urgency::New => self.new_milli,
        };
        if milli >= f64::from(spec.demand.cpu_milli) {
            return Some(Way::BeyondReserve);
        }
        if self.slots > 0 {
            return Some(Way::Windows);
        }
        (urgency != Urgency::New && self.has_frequent_pair).then_some(Way::Pair)
    }

    /// Returns the millicores beyond the reserve for short tasks.
    pub(crate) fn milli(&self) -> f64 {
        self.milli
    }

    /// Returns the same for a task that has never run.
    pub(crate) fn new_milli(&self) -> f64 {
        self.new_milli
    }

    /// Returns the number of tasks for which there has been free capacity all the time.
    pub(crate) fn slots(&self) -> u64 {
        self.slots
    }

    /// Takes capacity for one task. Returns `true` if it belonged to the reserve for short tasks.
    pub(crate) fn take(&mut self, spec: &Step) -> bool {
        self.milli -= f64::from(spec.demand.cpu_milli);
        self.new_milli -= f64::from(spec.demand.cpu_milli);
        if self.milli >= 0.0 {
            return false;
        }
        self.slots = self.slots.saturating_sub(1);
        self.has_frequent_pair = false;
        true
    }
}

/// Free capacity of each worker of a service in one placement pass, the most CPU first.
pub(crate) type Rooms = Vec<(id::Service, Vec<Amount>)>;

/// Workers that a service step may be placed on in a pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice<'a> {
    pub(crate) workers: &'a [WorkerId],
    /// Whether these are only some of the open workers of its service.
    pub(crate) is_narrowed: bool,
}

/// Recent history of the number of further tasks of a step for which there was free capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct Idle {
    /// Maximum of each past window, the latest last. Capacity that service tasks have taken from
    /// the reserve counts as free.
    windows: SmallVec<[u64; WINDOWS]>,
    /// Maximum of the current window.
    window_max: u64,
    /// Latest count.
    last_total: u64,
    /// Start of the current window.
    window_start: Option<Time>,
    /// Decaying average of the fraction of the time with free capacity for two.
    pair_fraction: f64,
    /// Whether there was free capacity for two at the last update, and the time of that update.
    has_pair: bool,
    updated: Time,
}

impl Idle {
    /// Records that there is free capacity for `slots` tasks now, after `taken` earlier placements
    /// on the reserve. Returns the number of tasks for which there has been free capacity all the
    /// time.
    pub(crate) fn update(&mut self, now: Time, slots: u32, taken: u64) -> u64 {
        let total = u64::from(slots) + taken;
        if self.window_start.is_some_and(|window_start| now >= window_start + MAX_UPDATE_GAP) {
            // The step's tasks haven't been waiting all the time.
            *self = Idle::default();
        }
        let mut window_start = *self.window_start.get_or_insert(now);
        while now >= window_start + WINDOW {
            if self.windows.len() == WINDOWS {
                self.windows.remove(0);
            }
            self.windows.push(self.window_max);
            self.window_max = self.last_total;
            window_start += WINDOW;
        }
        self.window_start = Some(window_start);
        self.update_pair_fraction(now, slots);
        self.window_max = self.window_max.max(total);
        self.last_total = total;
        if self.windows.len() < WINDOWS {
            return 0;
        }
        let min_slots = self.windows.iter().copied().min().unwrap_or(0);
        min_slots.min(total).saturating_sub(taken)
    }

    /// Returns the number of past windows and the least free capacity in them, in tasks beyond
    /// those that have been placed on the reserve since.
    pub(crate) fn windows(&self, taken: u64) -> (usize, u64) {
        let min = self.windows.iter().min().copied().unwrap_or(0);
        (self.windows.len(), min.saturating_sub(taken))
    }

    /// Returns the fraction of the time with free capacity for two.
    pub(crate) fn pair_fraction(&self) -> f64 {
        self.pair_fraction
    }

    fn update_pair_fraction(&mut self, now: Time, slots: u32) {
        if self.updated > Time::ZERO {
            let elapsed = now.saturating_sub(self.updated).as_secs_f64();
            let decay = (-elapsed / PAIR_AVERAGE_TIME.as_secs_f64()).exp();
            self.pair_fraction =
                self.pair_fraction * decay + if self.has_pair { 1.0 - decay } else { 0.0 };
        }
        self.has_pair = slots >= 2;
        self.updated = now;
    }

    /// Returns `true` if there is free capacity for two now and has been for much of the time. Only
    /// one task at a time is placed because of this.
    fn has_frequent_pair(&self) -> bool {
        self.has_pair && self.windows.len() == WINDOWS && self.pair_fraction >= MIN_PAIR_FRACTION
    }
}

/// Returns the number of tasks with a demand for which a worker has the free capacity.
pub(crate) fn slots(room: Amount, demand: Amount) -> u32 {
    if !demand.fits_within(room) {
        return 0;
    }
    room.cpu_milli.checked_div(demand.cpu_milli).unwrap_or(1)
}

/// Returns the number of tasks with a demand for which there is capacity in `rooms`, which are in
/// order, the most CPU first.
pub(crate) fn count_slots(rooms: &[Amount], demand: Amount) -> u32 {
    let wide = rooms.iter().take_while(|room| room.cpu_milli >= demand.cpu_milli);
    wide.map(|&room| slots(room, demand)).sum()
}

impl Planner {
    /// Returns by which way a task of a service step may be placed now, if by any.
    pub(crate) fn service_way(&self, spec: &Step, spare: &Spare, urgency: Urgency) -> Option<Way> {
        if urgency != Urgency::New && self.quota.allows(spec) {
            return Some(Way::Quota);
        }
        let way = spare.way(spec, urgency);
        way.filter(|&way| way == Way::BeyondReserve || !self.is_held_back(urgency))
    }

    /// Schedules another check for service tasks on capacity that short tasks leave.
    pub(crate) fn wait_for_spare(&mut self) {
        self.timers.insert((self.now + RECHECK_INTERVAL, Timer::Place));
    }

    /// Returns what a service step may take.
    pub(crate) fn spare(
        &mut self,
        step: StepId,
        spec: &Step,
        choice: Choice<'_>,
        rooms: &mut Rooms,
    ) -> Spare {
        if !spec.long_running {
            return Spare::default();
        }
        let slots = self.count_free_slots(step, spec, choice, rooms);
        let slots = self.update_idle(step, slots);
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let has_frequent_pair = state.is_some_and(|state| state.idle.has_frequent_pair());
        let (milli, new_milli) = self.spare_milli(choice.workers);
        Spare { milli, new_milli, slots, has_frequent_pair }
    }

    /// Records that a service task was placed on the reserve for short tasks. For its step the
    /// average of free capacity for two starts again.
    pub(crate) fn record_reserve_override(&mut self, step: StepId) {
        self.reserve_overrides += 1;
        self.recent_overrides.push(self.now);
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        if let Some(state) = state {
            state.idle.pair_fraction = 0.0;
        }
    }

    /// Returns the millicores that returning and new service tasks may still take.
    fn spare_milli(&self, open: &[WorkerId]) -> (f64, f64) {
        let mut capacity = 0.0;
        let mut available = 0.0;
        let mut usable = 0.0;
        for &worker in open {
            let worker = &self.workers[worker];
            let milli = f64::from(worker.capacity.minus(worker.reserved_by_services).cpu_milli);
            capacity += f64::from(worker.capacity.cpu_milli);
            available += milli;
            usable += self.reserve.usable_milli(self.now, milli);
        }
        let reserve = self.reserve.milli(self.now, capacity);
        (available - reserve, usable - reserve)
    }

    /// Returns the free capacity of each open worker, the most CPU first.
    fn rooms(&self, open: &[WorkerId]) -> Vec<Amount> {
        let mut rooms: Vec<Amount> = open.iter().map(|&id| self.workers[id].room()).collect();
        rooms.sort_unstable_by_key(|room| Reverse(room.cpu_milli));
        rooms
    }

    /// Returns the number of tasks of a service step for which its workers have free capacity. The
    /// free capacity of all open workers is computed once in a pass; that of a step with fewer
    /// workers to choose from says nothing about other steps.
    fn count_free_slots(
        &self,
        step: StepId,
        spec: &Step,
        choice: Choice<'_>,
        rooms: &mut Rooms,
    ) -> u32 {
        if choice.is_narrowed {
            return count_slots(&self.rooms(choice.workers), spec.demand);
        }
        let service = self.service(step.job);
        let known = rooms.iter().position(|(name, _)| *name == service);
        let index = known.unwrap_or_else(|| {
            rooms.push((service, self.rooms(choice.workers)));
            rooms.len() - 1
        });
        count_slots(&rooms[index].1, spec.demand)
    }

    /// Records the number of tasks of a service step for which there is free capacity now, and
    /// returns the number for which there has been free capacity all the time.
    pub(crate) fn update_idle(&mut self, step: StepId, slots: u32) -> u64 {
        let (now, taken) = (self.now, self.reserve_overrides);
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        state.map_or(0, |state| state.idle.update(now, slots, taken))
    }
}
