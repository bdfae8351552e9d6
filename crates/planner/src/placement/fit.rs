//! Filtering and scoring of the workers for a task.

use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;
use smallvec::SmallVec;

use crate::colocation::colocate::NO_IMAGE;
use crate::colocation::colocate::cpu_fraction;
use crate::colocation::colocate::image;
use crate::colocation::interference::Model;
use crate::colocation::interference::Profile;
use crate::colocation::measurement::Headroom;
use crate::planner::Planner;
use crate::workers::host;
use crate::workers::host::Hosted;
use crate::workers::worker::Worker;

/// Range of the CPU fraction that a latency-critical task is assumed to use.
const LATENCY_CRITICAL_USE: std::ops::RangeInclusive<f64> = 0.2..=0.9;
/// A best-effort task is placed where at least this fraction of its CPU is free, so that some CPU
/// is shared rather than left unused.
const MIN_FREE_FRACTION: f64 = 0.8;

/// Best-effort images with a higher mean weight than this prefer workers without latency-critical
/// tasks, and others avoid them.
const TYPICAL_WEIGHT: f64 = 1.2;
/// Maximum bonus or penalty of a worker without latency-critical tasks, where the free CPU of a
/// whole worker scores 1.
const MAX_VACANT_SCORE: f64 = 0.4;
/// Penalty for each other image of latency-critical tasks on a worker, larger than any difference
/// in free CPU. The fewer such images a worker has, the easier a best-effort image finds a worker
/// where it interferes with none.
const OTHER_IMAGE_PENALTY: f64 = 2.0;
/// Weight of the cost to latency-critical tasks against free CPU: the cost is certain, while free
/// CPU helps only by chance.
const COST_WEIGHT: f64 = 3.0;

/// Estimates the fraction of its CPU that a latency-critical task uses from its headroom: at full
/// use there is no headroom, and half use corresponds to the usual headroom of its image.
fn latency_critical_use(model: &Model, hosted: &Hosted) -> f64 {
    let usual = model.usual_headroom(&image(hosted)).max(0.1);
    let own = Headroom::of(hosted, model).mean();
    let used = 1.0 - own / (2.0 * usual);
    used.clamp(*LATENCY_CRITICAL_USE.start(), *LATENCY_CRITICAL_USE.end())
}

impl Worker {
    /// Returns the millicores that best-effort tasks can still use.
    pub(crate) fn best_effort_room(&self, model: &Model) -> i64 {
        let mut taken = 0.0;
        let mut best_effort = 0.0;
        for hosted in self.runs.values() {
            let cpu = f64::from(hosted.demand.cpu_milli);
            if hosted.best_effort {
                best_effort += cpu;
            } else if hosted.is_latency_critical() {
                taken += cpu * latency_critical_use(model, hosted);
            } else {
                taken += cpu;
            }
        }
        let free = f64::from(self.capacity.cpu_milli) - taken;
        (free - best_effort) as i64
    }

    pub(crate) fn count_tasks(&self, task: TaskId) -> u32 {
        let same = |run: &&Run| {
            run.task.job == task.job
                && run.task.step == task.step
                && run.task.occurrence == task.occurrence
        };
        self.runs.keys().filter(same).count() as u32
    }

    /// Counts the images of the worker's latency-critical tasks other than the step's own.
    fn other_images(&self, step: &Step) -> usize {
        let mut images: SmallVec<[&Option<Arc<str>>; 4]> = SmallVec::new();
        for hosted in self.runs.values().filter(|hosted| hosted.is_latency_critical()) {
            if hosted.image != step.image && !images.contains(&&hosted.image) {
                images.push(&hosted.image);
            }
        }
        images.len()
    }
}

/// Restrictions of workers that give way to a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Precedence {
    /// Workers that are reserved or isolated for other steps take it.
    pub(crate) over_reservations: bool,
    /// Workers on which tasks of its step are on probation take it.
    pub(crate) shares_probation: bool,
}

/// A task of a step to be placed, with the values that are the same for all workers.
pub(crate) struct Request<'a> {
    task: TaskId,
    step: &'a Step,
    reserved: Amount,
    /// Interference with latency-critical images, if it is a best-effort task.
    profile: Option<Profile>,
    precedence: Precedence,
}

impl<'a> Request<'a> {
    pub(crate) fn new(model: &Model, task: TaskId, step: &'a Step) -> Request<'a> {
        let reserved = host::reserved(step.demand, step.best_effort);
        let profile = step.best_effort.then(|| {
            let image = step.image.clone().unwrap_or_else(|| NO_IMAGE.into());
            model.profile(&image)
        });
        Request { task, step, reserved, profile, precedence: Precedence::default() }
    }

    /// Returns the request with a precedence.
    pub(crate) fn with(self, precedence: Precedence) -> Request<'a> {
        Request { precedence, ..self }
    }

    /// Returns the step whose tasks on probation the task may share a worker with, if it may.
    pub(crate) fn shared_probation(&self) -> Option<StepId> {
        self.precedence.shares_probation.then(|| self.task.step_id())
    }

    /// Makes this a request for another task of the same step.
    pub(crate) fn set_task(&mut self, task: TaskId) {
        self.task = task;
    }
}

/// What keeps a task off a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Misfit {
    /// The worker lacks the free capacity.
    Room,
    /// The worker is reserved for another step.
    Reserved,
    /// The worker is isolated for another step.
    Isolated,
    /// A task on probation has just begun there.
    Probation,
    /// The worker lacks the required label.
    Label,
    /// The worker has as many tasks of the step as it may have.
    MaxPerWorker,
    /// Best-effort tasks use all of its CPU.
    BestEffort,
}

impl Planner {
    /// Returns `true` if a worker accepts new tasks at all.
    pub(crate) fn is_open(&self, worker: &Worker) -> bool {
        self.is_usable(worker)
            && !worker.draining_for_maintenance
            && worker.closed_until <= self.now
            && worker.slow_until <= self.now
            && worker.quarantined_until <= self.now
    }

    /// Returns `true` if a worker may take a task.
    pub(crate) fn may_take(&self, worker: &Worker, request: &Request<'_>) -> bool {
        self.score(worker, request).is_some()
    }

    /// Returns `true` if a worker has free capacity for a task, whatever that costs
    /// latency-critical tasks.
    pub(crate) fn has_room(&self, worker: &Worker, request: &Request<'_>) -> bool {
        self.misfit(worker, request).is_none()
    }

    /// Returns the first reason why a worker can't take a task, if there is one.
    pub(crate) fn misfit(&self, worker: &Worker, request: &Request<'_>) -> Option<Misfit> {
        let Request { task, step, reserved, precedence, .. } = request;
        let id = task.step_id();
        if !reserved.fits_within(worker.room()) {
            return Some(Misfit::Room);
        }
        // Without the last condition, a step with an isolated worker and the step that the worker
        // is reserved for could wait for each other.
        let is_reserved = worker.reserved_for.is_some_and(|other| other != id)
            && !step.best_effort
            && !precedence.over_reservations
            && !worker.is_isolated_for(id);
        if is_reserved {
            return Some(Misfit::Reserved);
        }
        // Nothing of the other step has begun yet, so its task on probation only starts later.
        if worker.is_isolated_for_other(id, self.now) && !precedence.over_reservations {
            return Some(Misfit::Isolated);
        }
        let shares = step.gang || precedence.shares_probation;
        if worker.has_recent_probation_start(id, shares, self.now) {
            return Some(Misfit::Probation);
        }
        self.ineligibility(worker, request)
    }

    /// Returns `true` if a worker could take a task if it had the free capacity.
    pub(crate) fn is_eligible(&self, worker: &Worker, request: &Request<'_>) -> bool {
        self.ineligibility(worker, request).is_none()
    }

    fn ineligibility(&self, worker: &Worker, request: &Request<'_>) -> Option<Misfit> {
        let Request { task, step, .. } = request;
        if step.required_label.as_deref().is_some_and(|label| !worker.has_label(label)) {
            return Some(Misfit::Label);
        }
        if step.max_per_worker > 0 && worker.count_tasks(*task) >= step.max_per_worker {
            return Some(Misfit::MaxPerWorker);
        }
        if step.best_effort && !self.has_best_effort_room(worker, step) {
            return Some(Misfit::BestEffort);
        }
        None
    }

    fn has_best_effort_room(&self, worker: &Worker, step: &Step) -> bool {
        self.colocation(worker).best_effort_room as f64
            >= f64::from(step.demand.cpu_milli) * MIN_FREE_FRACTION
    }

    /// Scores a worker for a task, or returns `None` if the worker may not take it. The highest
    /// score is chosen.
    ///
    /// Tasks that reserve CPU go to the worker with the least CPU left over, which keeps large gaps
    /// for large tasks. Latency-critical tasks go to workers with others of their image.
    /// Best-effort tasks go where the most CPU is free and where they interfere least. Workers
    /// without latency-critical tasks are left to images that interfere strongly.
    pub(crate) fn score(&self, worker: &Worker, request: &Request<'_>) -> Option<f64> {
        if !self.has_room(worker, request) {
            return None;
        }
        let step = request.step;
        let is_remote = step.data_rack.is_some() && step.data_rack != worker.rack;
        let locality = if is_remote { 0.0 } else { 10.0 };
        match &request.profile {
            Some(profile) => Some(locality + self.best_effort_score(worker, step, profile)?),
            None => Some(locality + reserving_score(worker, step)),
        }
    }

    /// Returns what a task would cost a worker's latency-critical tasks, in units of the worker's
    /// CPU, or 0 for a task that isn't best-effort.
    pub(crate) fn interference_cost(&self, worker: &Worker, request: &Request<'_>) -> f64 {
        let Some(profile) = &request.profile else { return 0.0 };
        let fraction = cpu_fraction(request.step.demand.cpu_milli, worker);
        self.colocation(worker).added_cost(profile, fraction, self.now, request.step.estimate)
    }

    /// Scores a worker for a best-effort task, or returns `None` where its work isn't worth the
    /// cost.
    fn best_effort_score(&self, worker: &Worker, step: &Step, profile: &Profile) -> Option<f64> {
        let colocation = self.colocation(worker);
        let fraction = cpu_fraction(step.demand.cpu_milli, worker);
        let cost = colocation.added_cost(profile, fraction, self.now, step.estimate);
        if !self.is_worthwhile(&colocation, fraction, cost) {
            return None;
        }
        let free = colocation.best_effort_room as f64 / f64::from(worker.capacity.cpu_milli.max(1));
        let usual = if step.image.is_some() { profile.mean() } else { 0.0 };
        let vacancy = if colocation.margins.is_empty() {
            (usual - TYPICAL_WEIGHT) * MAX_VACANT_SCORE
        } else {
            0.0
        };
        Some(free + vacancy.clamp(-MAX_VACANT_SCORE, MAX_VACANT_SCORE) - cost * COST_WEIGHT)
    }
}

/// Scores a worker for a task that reserves its CPU.
fn reserving_score(worker: &Worker, step: &Step) -> f64 {
    let other_images = if step.latency_target.is_some() { worker.other_images(step) } else { 0 };
    let left = f64::from(worker.room().cpu_milli.saturating_sub(step.demand.cpu_milli));
    let capacity = f64::from(worker.capacity.cpu_milli.max(1));
    -left / capacity - OTHER_IMAGE_PENALTY * other_images as f64
}
