//! The order in which overdue service tasks take free capacity.
//!
//! Capacity may be free and still be kept from a service task: for short tasks, for another step,
//! or since its worker is slow or fails. Each such restriction is right for a moment. But they
//! follow one another, and a task that waits beside free capacity for three seconds counts as lost
//! whatever the reasons were. So overdue tasks of all steps compete for free capacity in one
//! place, those that have waited longest first, and each [`Restriction`] gives way to them once an
//! observer has seen capacity for two for a stated time. A task that is owed
//! ([`Planner::is_owed`]) takes capacity that was seen for a moment, since an observer may look at
//! just these moments.
//!
//! What keeps a task from running twice never gives way: pins ([`crate::placement::pin`]), runs on
//! workers that can't be reached, and the time until stopped runs are gone.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;

use crate::owner::rate_limit::START_RETRY;
use crate::placement::fit::Precedence;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::queue::task::Task;
use crate::service::overdue::Watch;
use crate::service::way::Way;
use crate::workers::command::Timer;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// Time for which a task on probation waits before it shares a worker with other tasks of its step
/// that are on probation.
const SHARED_PROBATION_DELAY: Duration = Duration::from_secs(2);

/// What keeps service tasks off free capacity, in the order in which it gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Restriction {
    /// The reserve for short tasks, for a task that has run before.
    ReserveForReturning,
    /// The runs on the worker are slow.
    SlowWorker,
    /// The worker is reserved for another step.
    Reservation,
    /// The reserve for short tasks, for a task that has never run.
    ReserveForNew,
    /// The worker is in quarantine.
    Quarantine,
}

impl Restriction {
    pub(crate) const ALL: [Restriction; 5] = [
        Restriction::ReserveForReturning,
        Restriction::SlowWorker,
        Restriction::Reservation,
        Restriction::ReserveForNew,
        Restriction::Quarantine,
    ];

    /// Returns for how long an observer has to see capacity for two before the restriction gives
    /// way. Each time leaves enough of the three seconds for the next pass and the start.
    pub(crate) fn pair_time(self) -> Duration {
        match self {
            // Longer than a pause between two short jobs, which leaves such capacity too, and short
            // compared with the time between two looks of an observer. It doesn't hold for owed tasks.
            Restriction::ReserveForReturning => Duration::from_millis(400),
            Restriction::SlowWorker => Duration::from_millis(1000),
            Restriction::Reservation => Duration::from_millis(1500),
            // The time for which capacity for a new task has to stay free otherwise
            // ([`crate::capacity::idle`]).
            Restriction::ReserveForNew => Duration::from_millis(2000),
            Restriction::Quarantine => Duration::from_millis(2400),
        }
    }

    /// Returns the restriction by the reserve for a task.
    pub(crate) fn reserve_for(task: &Task) -> Restriction {
        match task.attempt {
            0 => Restriction::ReserveForNew,
            _ => Restriction::ReserveForReturning,
        }
    }
}

/// An overdue task.
#[derive(Clone, Copy, Debug)]
struct Overdue {
    since: Time,
    task: TaskId,
    /// Time for which an observer has seen capacity for two.
    pair_time: Duration,
    /// How many times its demand overdue tasks may take in this pass before it.
    limit: u32,
}

/// What the overdue tasks of a service have taken, and were refused, in a pass.
#[derive(Clone, Debug)]
struct Taken {
    service: id::Service,
    milli: u64,
    /// Demands for which there was no worker.
    refused: Vec<Amount>,
}

impl Planner {
    /// Returns `true` if a task on probation may share a worker with others of its step. A crash is
    /// then still attributed to its job.
    pub(crate) fn shares_probation(&self, spec: &Step, task: &Task) -> bool {
        spec.long_running
            && !spec.gang
            && task.is_on_probation()
            && self.age(task) >= SHARED_PROBATION_DELAY
    }

    /// Places overdue service tasks beside capacity that an observer sees as free, those that have
    /// waited longest first. Capacity for one is left to short tasks.
    pub(crate) fn place_overdue(&mut self) {
        let mut taken: Vec<Taken> = Vec::new();
        for overdue in self.overdue_tasks() {
            if !self.start_limiter.allows(self.now) {
                self.timers.insert((self.now + START_RETRY, Timer::Place));
                return;
            }
            if !self.start_window.admits(overdue.task.job) {
                continue;
            }
            let service = self.service(overdue.task.job);
            let known = taken.iter().position(|known| known.service == service);
            let index = known.unwrap_or_else(|| {
                taken.push(Taken { service, milli: 0, refused: Vec::new() });
                taken.len() - 1
            });
            self.place_overdue_task(overdue, &mut taken[index]);
        }
    }

    fn place_overdue_task(&mut self, overdue: Overdue, taken: &mut Taken) {
        let Overdue { task, pair_time, limit, .. } = overdue;
        let accepted = self.jobs[&task.job].accepted.clone();
        let spec = &accepted.spec.steps[usize::from(task.step)];
        let milli = u64::from(spec.demand.cpu_milli);
        let is_refused = taken.refused.iter().any(|demand| demand.fits_within(spec.demand));
        if taken.milli.div_ceil(milli.max(1)) >= u64::from(limit) || is_refused {
            return;
        }
        let open = self.workers_open_to(&taken.service, pair_time);
        let open = self.narrowed(task.step_id(), spec, open);
        let Some(worker) = self.choose_overdue(task, spec, pair_time, &open) else {
            if spec.required_label.is_none() && spec.max_per_worker == 0 && !open.is_empty() {
                taken.refused.push(spec.demand);
            }
            return;
        };
        let has_run = self.jobs[&task.job].task(task).is_some_and(|state| state.attempt > 0);
        let is_within_quota = has_run && self.quota.allows(spec);
        taken.milli += milli;
        self.overdue_placed_at = self.now;
        self.assign(task, worker);
        self.log_service_placement(task, worker, Way::Overdue);
        if !is_within_quota {
            self.record_reserve_override(task.step_id());
        }
    }

    /// Returns `true` if a service task is overdue.
    pub(crate) fn has_overdue_task(&self) -> bool {
        self.watched_steps().into_iter().any(|step| {
            let state = self.jobs[&step.job].step(step);
            state.is_some_and(|state| state.tasks.iter().any(|task| self.is_overdue(task)))
        })
    }

    /// Returns the overdue tasks that may be placed, those that have waited longest first.
    fn overdue_tasks(&self) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        for step in self.watched_steps() {
            let Some(state) = self.jobs[&step.job].step(step) else { continue };
            let tasks = (0..).map(|index| step.task(index)).zip(&state.tasks);
            let due = tasks.filter(|(id, task)| {
                task.is_ready(self.now)
                    && !self.is_pinned(*id)
                    && (self.is_owed(task) || self.is_overdue_beside_room(step, task))
            });
            overdue.extend(due.map(|(id, task)| Overdue {
                since: task.waiting_since,
                task: id,
                pair_time: self.overdue_pair_time(task, &state.watch),
                limit: self.overdue_limit(task, &state.watch),
            }));
        }
        overdue.sort_unstable_by_key(|overdue| (overdue.since, overdue.task));
        overdue
    }

    /// Returns for how long capacity for two counts as seen beside a task. For an owed task a moment
    /// is as good as the time after which reservations give way: in a full cell they are made and
    /// used all the time.
    fn overdue_pair_time(&self, task: &Task, watch: &Watch) -> Duration {
        let seen = watch.pair_time(self.now);
        match self.is_owed(task) {
            true => seen.max(Restriction::Reservation.pair_time()),
            false => seen,
        }
    }

    /// Returns the workers of a service on which an overdue task may be placed that an observer has
    /// seen beside capacity for two for `pair_time`.
    fn workers_open_to(&self, service: &id::Service, pair_time: Duration) -> Vec<WorkerId> {
        let workers = self.workers.iter();
        let open = workers.filter(|(_, worker)| {
            worker.service == *service && self.is_open_to_overdue(worker, pair_time)
        });
        open.map(|(id, _)| id).collect()
    }

    fn is_open_to_overdue(&self, worker: &Worker, pair_time: Duration) -> bool {
        let is_open = |until: Time, restriction: Restriction| {
            until <= self.now || pair_time >= restriction.pair_time()
        };
        self.is_usable(worker)
            && !worker.draining_for_maintenance
            && worker.closed_until <= self.now
            && is_open(worker.slow_until, Restriction::SlowWorker)
            && is_open(worker.quarantined_until, Restriction::Quarantine)
    }

    /// Narrows workers down to those that advice and the rack preference of a step leave.
    fn narrowed(&mut self, step: StepId, spec: &Step, open: Vec<WorkerId>) -> Vec<WorkerId> {
        let open = match self.queue(step.job).and_then(|queue| queue.advice) {
            Some(advice) => self.permitted_workers(step, spec, advice, open),
            None => open,
        };
        self.prefer_rack(step, spec, open)
    }

    /// Chooses a worker for an overdue task: one without restrictions if there is one.
    fn choose_overdue(
        &self,
        task: TaskId,
        spec: &Step,
        pair_time: Duration,
        open: &[WorkerId],
    ) -> Option<WorkerId> {
        let state = self.jobs[&task.job].task(task)?;
        let precedence = Precedence {
            over_reservations: pair_time >= Restriction::Reservation.pair_time(),
            shares_probation: self.shares_probation(spec, state),
        };
        let request = Request::new(&self.interference, task, spec).with(precedence);
        if state.is_on_probation() {
            return self.choose_for_probation(&request, state.waiting_since, open);
        }
        let scored = open.iter().filter_map(|&id| {
            let worker = &self.workers[id];
            let score = self.score(worker, &request)?;
            let is_free = worker.reserved_for.is_none() && self.is_open(worker);
            let is_preferred = state.avoided_worker != Some(id);
            let has_suspect = !state.crashed.is_empty() && worker.suspects > 0;
            Some(((is_free, is_preferred, !has_suspect), score, id))
        });
        let best = scored.max_by(|(a, a_score, _), (b, b_score, _)| {
            a.cmp(b).then_with(|| a_score.total_cmp(b_score))
        });
        best.map(|(_, _, id)| id)
    }
}
