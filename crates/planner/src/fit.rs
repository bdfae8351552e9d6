//! Which workers may take a task, and which takes it best.

use std::sync::Arc;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;
use smallvec::SmallVec;

use crate::colocate::NO_IMAGE;
use crate::colocate::cpu_fraction;
use crate::colocate::image;
use crate::host;
use crate::host::Hosted;
use crate::interference::Model;
use crate::interference::Profile;
use crate::measurement::Headroom;
use crate::planner::Planner;
use crate::worker::Worker;

/// Least and most of its processors that a task which serves is taken to use.
const LATENCY_CRITICAL_USE: std::ops::RangeInclusive<f64> = 0.2..=0.9;
/// Tasks that fill are placed where at least this part of their processors is free, so that a
/// little is shared rather than left unused.
const MIN_FREE_FRACTION: f64 = 0.8;

/// Weight from which an image is worth a worker on which nothing serves.
const TYPICAL_WEIGHT: f64 = 1.2;
/// What such a worker is worth at most, against a whole worker's free processors.
const MAX_VACANT_SCORE: f64 = 0.4;
/// What each further image that serves on a worker costs: more than any gap that is left. An image
/// that fills finds a worker on which it presses on none the easier, the fewer serve there.
const OTHER_IMAGE_PENALTY: f64 = 2.0;
/// What the cost to serving tasks counts against free processors: for certain against by chance.
const COST_WEIGHT: f64 = 3.0;

/// Estimates the part of its processors that a serving task uses, from its headroom: none is left
/// at full use, and its image's usual headroom goes with half of it.
fn latency_critical_use(model: &Model, hosted: &Hosted) -> f64 {
    let usual = model.usual_headroom(&image(hosted)).max(0.1);
    let own = Headroom::of(hosted, model).mean();
    let used = 1.0 - own / (2.0 * usual);
    used.clamp(*LATENCY_CRITICAL_USE.start(), *LATENCY_CRITICAL_USE.end())
}

impl Worker {
    /// Returns the thousandths of a processor that tasks which fill can still use.
    pub(crate) fn best_effort_room(&self, model: &Model) -> i64 {
        let mut taken = 0.0;
        let mut filled = 0.0;
        for hosted in self.runs.values() {
            let cpu = f64::from(hosted.demand.cpu_milli);
            if hosted.best_effort {
                filled += cpu;
            } else if hosted.is_latency_critical() {
                taken += cpu * latency_critical_use(model, hosted);
            } else {
                taken += cpu;
            }
        }
        let free = f64::from(self.capacity.cpu_milli) - taken;
        (free - filled) as i64
    }

    pub(crate) fn count_tasks(&self, task: TaskId) -> u32 {
        let same = |run: &&Run| {
            run.task.job == task.job
                && run.task.step == task.step
                && run.task.occurrence == task.occurrence
        };
        self.runs.keys().filter(same).count() as u32
    }

    /// Counts the images that serve there beside a step's own.
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

/// What is asked of workers for a task of a step, looked up once for all of them.
pub(crate) struct Request<'a> {
    task: TaskId,
    step: &'a Step,
    reserved: Amount,
    /// How hard it presses on tasks that serve, if it fills.
    profile: Option<Profile>,
}

impl<'a> Request<'a> {
    pub(crate) fn new(model: &Model, task: TaskId, step: &'a Step) -> Request<'a> {
        let reserved = host::reserved(step.demand, step.fills);
        let profile = step.fills.then(|| {
            let image = step.image.clone().unwrap_or_else(|| NO_IMAGE.into());
            model.profile(&image)
        });
        Request { task, step, reserved, profile }
    }

    /// Asks for another task of the same step.
    pub(crate) fn set_task(&mut self, task: TaskId) {
        self.task = task;
    }
}

impl Planner {
    /// Tells whether a worker takes new tasks at all.
    pub(crate) fn is_open(&self, worker: &Worker) -> bool {
        worker.listed
            && !worker.draining
            && !self.is_evacuated(worker)
            && !worker.draining_for_maintenance
            && worker.answers()
            && worker.closed_until <= self.now
    }

    /// Tells whether a worker may take a task.
    pub(crate) fn may_take(&self, worker: &Worker, request: &Request<'_>) -> bool {
        self.score(worker, request).is_some()
    }

    /// Tells whether a worker has room for a task, whatever that costs tasks that serve.
    pub(crate) fn has_room(&self, worker: &Worker, request: &Request<'_>) -> bool {
        let Request { task, step, reserved, .. } = request;
        let id = task.step_id();
        // A step that has a worker to itself would wait for one that is kept for another, and that one for it.
        let kept = worker.reserved_for.is_some_and(|kept| kept != id)
            && !step.fills
            && !worker.is_isolated_for(id);
        reserved.fits(worker.room())
            && !kept
            && !worker.is_isolated_for_other(id, self.now)
            && !worker.has_recent_probation_start(id, step.gang, self.now)
            && self.is_eligible(worker, request)
    }

    /// Tells whether a worker could take a task if it had the room.
    pub(crate) fn is_eligible(&self, worker: &Worker, request: &Request<'_>) -> bool {
        let Request { task, step, .. } = request;
        step.required_label.as_deref().is_none_or(|label| worker.has_label(label))
            && (step.max_per_worker == 0 || worker.count_tasks(*task) < step.max_per_worker)
            && (!step.fills || self.has_best_effort_room(worker, step))
    }

    fn has_best_effort_room(&self, worker: &Worker, step: &Step) -> bool {
        self.colocation(worker).best_effort_room as f64
            >= f64::from(step.demand.cpu_milli) * MIN_FREE_FRACTION
    }

    /// Rates a worker for a task, or returns nothing if it may not take it; the highest is chosen.
    ///
    /// Tasks that reserve processors go where the least is left over, which keeps large gaps for
    /// large tasks. Tasks that serve go to others of their image. Tasks that fill go where the most
    /// processors are free and where they press least on those that serve; workers on which nothing
    /// serves are kept for those that press hard.
    pub(crate) fn score(&self, worker: &Worker, request: &Request<'_>) -> Option<f64> {
        if !self.has_room(worker, request) {
            return None;
        }
        let step = request.step;
        let away = step.data_rack.is_some() && step.data_rack != worker.rack;
        let near = if away { 0.0 } else { 10.0 };
        match &request.profile {
            Some(press) => Some(near + self.best_effort_score(worker, step, press)?),
            None => Some(near + reserving_score(worker, step)),
        }
    }

    /// Returns what a task would cost a worker's serving tasks, in the worker's processors; nothing for one
    /// that doesn't fill.
    pub(crate) fn interference_cost(&self, worker: &Worker, request: &Request<'_>) -> f64 {
        let Some(press) = &request.profile else { return 0.0 };
        let part = cpu_fraction(request.step.demand.cpu_milli, worker);
        self.colocation(worker).added_cost(press, part)
    }

    /// Rates a worker for a task that fills; nothing where its work doesn't pay.
    fn best_effort_score(&self, worker: &Worker, step: &Step, press: &Profile) -> Option<f64> {
        let beside = self.colocation(worker);
        let part = cpu_fraction(step.demand.cpu_milli, worker);
        let cost = beside.added_cost(press, part);
        if !self.is_worthwhile(&beside, part, cost) {
            return None;
        }
        let free = beside.best_effort_room as f64 / f64::from(worker.capacity.cpu_milli.max(1));
        let usual = if step.image.is_some() { press.mean() } else { 0.0 };
        let quiet = if beside.margins.is_empty() {
            (usual - TYPICAL_WEIGHT) * MAX_VACANT_SCORE
        } else {
            0.0
        };
        Some(free + quiet.clamp(-MAX_VACANT_SCORE, MAX_VACANT_SCORE) - cost * COST_WEIGHT)
    }
}

/// Rates a worker for a task that reserves its processors.
fn reserving_score(worker: &Worker, step: &Step) -> f64 {
    let mixed = if step.target.is_some() { worker.other_images(step) } else { 0 };
    let left = f64::from(worker.room().cpu_milli.saturating_sub(step.demand.cpu_milli));
    let capacity = f64::from(worker.capacity.cpu_milli.max(1));
    -left / capacity - OTHER_IMAGE_PENALTY * mixed as f64
}
