//! Room that stays idle beside tasks that last.
//!
//! Pattern answered: tasks that last would fill the cell, and what they take is gone for the day. Beside room that
//! stays free they must not wait for long. But room that short tasks use by turns doesn't stay free: taking
//! each gap between two of them leaves, in the end, no gap in which a large short task fits, and such jobs
//! starve while a twentieth of the cell is free in pieces. So what is kept for short tasks is given up only as far
//! as it has been free all the while, which nobody misses.

use std::cmp::Reverse;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::command::Timer;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// How often a task that lasts and waits beside room which is kept for short ones is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A gap that is over sooner than two of these counts as free: between two short tasks lie the store and
/// the worker's answer, some tens of milliseconds.
const WINDOW: Duration = Duration::from_millis(150);
/// Spans that have to be free: two seconds. After three a task that waits beside room counts as lost.
const WINDOWS: usize = 13;

/// Part of the time with room for two from which a task that has run before doesn't wait any longer: it counts as lost
/// beside room for two after three seconds, and whoever looks only now and then sees room that is there half of the
/// time as if it always were.
const MIN_PAIR_FRACTION: f64 = 0.5;
/// Over how long that part is taken.
const PAIR_AVERAGE_TIME: Duration = Duration::from_millis(1500);

/// A step that waits is looked at twice a second at least; one that isn't for so long has not waited meanwhile.
const MAX_UPDATE_GAP: Duration = Duration::from_millis(1500);

/// What tasks of a step that lasts may take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spare {
    /// Thousandths of a processor beside what is kept for short tasks.
    milli: f64,
    /// Tasks for which there has been room all the while, so that nobody misses what they take.
    slots: u64,
    /// Whether there has been room for two often, so that one that has run before may come back.
    has_frequent_pair: bool,
}

impl Spare {
    pub(crate) fn allows(&self, spec: &Step) -> bool {
        self.milli >= f64::from(spec.demand.cpu_milli) || self.slots > 0
    }

    /// Tells whether a task may be placed that has run before.
    pub(crate) fn allows_returning(&self, spec: &Step) -> bool {
        self.has_frequent_pair || self.allows(spec)
    }

    /// Takes room for one task; tells whether it was kept for short ones.
    pub(crate) fn take(&mut self, spec: &Step) -> bool {
        self.milli -= f64::from(spec.demand.cpu_milli);
        if self.milli >= 0.0 {
            return false;
        }
        self.slots = self.slots.saturating_sub(1);
        self.has_frequent_pair = false;
        true
    }
}

/// What is free on each worker of a service in one placing pass, the most processors first.
pub(crate) type Rooms = Vec<(id::Service, Vec<Amount>)>;

/// For how many more tasks of a step there was room lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Idle {
    /// The most in each span that is over, the last one at the end. What tasks that last have taken is counted
    /// as free.
    windows: SmallVec<[u64; WINDOWS]>,
    /// The most in this span.
    window_max: u64,
    /// What was seen last.
    last_total: u64,
    /// When this span began.
    window_start: Option<Time>,
    /// The part of the time in which there was room for two.
    pair_fraction: f64,
    /// Whether there was at the last look, and when that was.
    has_pair: bool,
    updated: Time,
}

impl Idle {
    /// Takes in for how many tasks there is room now; `taken` were placed before by giving up room. Returns
    /// for how many there has been all the while.
    pub(crate) fn update(&mut self, now: Time, slots: u32, taken: u64) -> u64 {
        let total = u64::from(slots) + taken;
        if self.window_start.is_some_and(|began| now >= began + MAX_UPDATE_GAP) {
            // Its tasks haven't waited all the while.
            *self = Idle::default();
        }
        let mut began = *self.window_start.get_or_insert(now);
        while now >= began + WINDOW {
            if self.windows.len() == WINDOWS {
                self.windows.remove(0);
            }
            self.windows.push(self.window_max);
            self.window_max = self.last_total;
            began += WINDOW;
        }
        self.window_start = Some(began);
        self.update_pair_fraction(now, slots);
        self.window_max = self.window_max.max(total);
        self.last_total = total;
        if self.windows.len() < WINDOWS {
            return 0;
        }
        let least = self.windows.iter().copied().min().unwrap_or(0);
        least.min(total).saturating_sub(taken)
    }

    fn update_pair_fraction(&mut self, now: Time, slots: u32) {
        if self.updated > Time::ZERO {
            let passed = now.saturating_sub(self.updated).as_secs_f64();
            let kept = (-passed / PAIR_AVERAGE_TIME.as_secs_f64()).exp();
            self.pair_fraction =
                self.pair_fraction * kept + if self.has_pair { 1.0 - kept } else { 0.0 };
        }
        self.has_pair = slots >= 2;
        self.updated = now;
    }

    /// Tells whether there is room for two now and has been often; one place is given for that at a time.
    fn has_frequent_pair(&self) -> bool {
        self.has_pair && self.windows.len() == WINDOWS && self.pair_fraction >= MIN_PAIR_FRACTION
    }
}

impl Planner {
    /// Tells whether a task of a step that lasts may be placed now; `back` if it has run before.
    pub(crate) fn may_place_service_task(&self, spec: &Step, spare: &Spare, back: bool) -> bool {
        match back {
            true => self.share.allows(spec) || spare.allows_returning(spec),
            false => spare.allows(spec),
        }
    }

    /// Looks again soon whether tasks that last find room which short ones leave; until then it isn't said that
    /// there is none.
    pub(crate) fn wait_for_spare(&mut self) -> bool {
        self.timers.insert((self.now + RECHECK_INTERVAL, Timer::Place));
        true
    }

    /// Returns what a step that lasts may take.
    pub(crate) fn spare(
        &mut self,
        step: StepId,
        spec: &Step,
        open: &[WorkerId],
        rooms: &mut Rooms,
    ) -> Spare {
        if !spec.long_running {
            return Spare::default();
        }
        let service = self.service(step.job);
        let known = rooms.iter().position(|(name, _)| *name == service);
        let index = known.unwrap_or_else(|| {
            rooms.push((service, self.rooms(open)));
            rooms.len() - 1
        });
        let slots = self.idle_slots(step, spec, &rooms[index].1);
        let state = self.jobs.get(&step.job).and_then(|job| job.step(step));
        let has_frequent_pair = state.is_some_and(|state| state.idle.has_frequent_pair());
        Spare { milli: self.spare_milli(open), slots, has_frequent_pair }
    }

    /// A task was given room that was kept: what there was often begins anew for its step.
    pub(crate) fn record_reserve_override(&mut self, step: StepId) {
        self.reserve_overrides += 1;
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        if let Some(state) = state {
            state.idle.pair_fraction = 0.0;
        }
    }

    /// Returns the thousandths of a processor that tasks which last may still take.
    fn spare_milli(&self, open: &[WorkerId]) -> f64 {
        let mut capacity = 0.0;
        let mut taken = 0.0;
        for &worker in open {
            let worker = &self.workers[worker];
            capacity += f64::from(worker.capacity.cpu_milli);
            taken += f64::from(worker.reserved_by_services.cpu_milli);
        }
        capacity - taken - self.reserve.milli(self.now, capacity)
    }

    /// Returns what is free on each open worker, the most processors first.
    fn rooms(&self, open: &[WorkerId]) -> Vec<Amount> {
        let mut rooms: Vec<Amount> = open.iter().map(|&id| self.workers[id].room()).collect();
        rooms.sort_unstable_by_key(|room| Reverse(room.cpu_milli));
        rooms
    }

    /// Returns for how many tasks of a step that lasts there has been room all the while.
    fn idle_slots(&mut self, step: StepId, spec: &Step, rooms: &[Amount]) -> u64 {
        let demand = spec.demand;
        let wide = rooms.iter().take_while(|room| room.cpu_milli >= demand.cpu_milli);
        let fitting = wide.filter(|&&room| demand.fits(room));
        let slots = fitting.map(|room| room.cpu_milli.checked_div(demand.cpu_milli).unwrap_or(1));
        let slots = slots.sum();
        self.update_idle(step, slots)
    }

    /// Takes in for how many tasks of a step that lasts there is room.
    pub(crate) fn update_idle(&mut self, step: StepId, slots: u32) -> u64 {
        let (now, taken) = (self.now, self.reserve_overrides);
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        state.map_or(0, |state| state.idle.update(now, slots, taken))
    }
}
