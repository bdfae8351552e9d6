//! Colocation of best-effort tasks with latency-critical tasks.
//!
//! Best-effort tasks use the CPU that latency-critical tasks leave unused, and slow some of them by
//! amounts that differ by image and change within seconds ([`crate::colocation::interference`]). So a
//! best-effort task is placed only where every latency-critical task beside it is expected to meet
//! its target, also at the peak of its load. Where a tail latency approaches its target
//! nevertheless, the best-effort tasks that interfere are throttled, and moved if they stay
//! throttled.

use std::borrow::Cow;
use std::time::Duration;

use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::colocation::budget;
use crate::colocation::forecast_error::horizon_weights;
use crate::colocation::interference;
use crate::colocation::interference::Image;
use crate::colocation::interference::Model;
use crate::colocation::interference::Profile;
use crate::colocation::interference::Shares;
use crate::colocation::measurement::Headroom;
use crate::colocation::measurement::curve;
use crate::colocation::risk::best_effort_value;
use crate::colocation::risk::cost;
use crate::planner::Planner;
use crate::workers::host::FULL_SPEED;
use crate::workers::host::Hosted;
use crate::workers::worker::Colocation;
use crate::workers::worker::Margin;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerId;

/// A smaller headroom loss is noise and isn't throttled.
pub(crate) const MIN_HEADROOM_LOSS: f64 = 0.06;

/// A task that violates its target for longer does so for another reason than a burst of its own,
/// which lasts for a second or two. Measurements arrive every half second.
const MAX_BURST_TIME: Duration = Duration::from_millis(900);

/// Image of a step that names none.
pub(crate) const NO_IMAGE: &str = "";

/// Returns the image of a run.
pub(crate) fn image(hosted: &Hosted) -> Image {
    hosted.image.clone().unwrap_or_else(|| NO_IMAGE.into())
}

pub(crate) fn cpu_fraction(cpu_milli: u32, worker: &Worker) -> f64 {
    f64::from(cpu_milli) / f64::from(worker.capacity.cpu_milli.max(1))
}

/// Sums up the CPU fractions that best-effort images use at their intended speed limits.
fn planned_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.best_effort) {
        let fraction = cpu_fraction(hosted.demand.cpu_milli, worker);
        let speed = f64::from(hosted.speed_limit) / f64::from(FULL_SPEED);
        interference::add_share(&mut shares, &image(hosted), fraction * speed);
    }
    shares
}

/// Estimates how far each latency-critical task of a worker will stay from its target while a task
/// placed now runs there.
fn margins(model: &Model, worker: &Worker) -> SmallVec<[Margin; 8]> {
    let shares = planned_shares(worker);
    let latency_critical = worker.runs.values().filter(|hosted| hosted.is_latency_critical());
    latency_critical
        .map(|hosted| {
            let image = image(hosted);
            let headroom = Headroom::of(hosted, model);
            let margin = headroom.min() - 1.0 - model.headroom_loss(&image, &shares);
            let uncertainty = model.headroom_loss_variance(&image, &shares).sqrt();
            let deviation = headroom.deviation.hypot(uncertainty);
            let cost = cost(margin, deviation);
            Margin { image: model.image_index(&image), margin, deviation, cost, horizon: None }
        })
        .collect()
}

/// Sums up the CPU fractions that best-effort images use at full speed: a run that is throttled now
/// still needs its budget. A run that ends soon counts for the whole forecast, since another one
/// takes its place: without it, workers take more than their budgets pass after pass.
fn demanded_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.best_effort) {
        let fraction = cpu_fraction(hosted.demand.cpu_milli, worker);
        interference::add_share(&mut shares, &image(hosted), fraction);
    }
    shares
}

/// Estimates how far each latency-critical task of a worker will stay from its target at each
/// horizon.
fn forecast_margins(model: &Model, worker: &Worker) -> SmallVec<[Margin; 8]> {
    let shares = demanded_shares(worker);
    let mut margins = SmallVec::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.is_latency_critical()) {
        let image = image(hosted);
        let index = model.image_index(&image);
        let loss = model.headroom_loss(&image, &shares);
        let uncertainty = model.headroom_loss_variance(&image, &shares).sqrt();
        for (horizon, point) in curve(hosted, model).iter().enumerate() {
            let margin = point.level - 1.0 - loss;
            let deviation = point.deviation.hypot(uncertainty);
            let cost = budget::cost(margin, deviation);
            margins.push(Margin { image: index, margin, deviation, cost, horizon: Some(horizon) });
        }
    }
    margins
}

/// Estimates the conditions that a best-effort task would find on a worker.
fn estimate_colocation(model: &Model, worker: &Worker, foresees: bool) -> Colocation {
    Colocation {
        margins: if foresees { forecast_margins(model, worker) } else { margins(model, worker) },
        measured_at: worker.measured_at,
        best_effort_room: worker.best_effort_room(model),
        over_target_since: worker.runs.values().filter_map(|hosted| hosted.over_target_since).min(),
    }
}

impl Colocation {
    /// Returns what one more best-effort task, which uses a fraction of the worker's CPU, would
    /// cost the latency-critical tasks over its run of this time. The unit is the CPU of the whole
    /// worker.
    pub(crate) fn added_cost(
        &self,
        profile: &Profile,
        fraction: f64,
        now: Time,
        time: Duration,
    ) -> f64 {
        let age = now.saturating_sub(self.measured_at);
        let weights = horizon_weights(age.as_secs_f64(), time.as_secs_f64());
        let added = self.margins.iter().map(|task| {
            let (weight, uncertainty) = profile.weight_on(task.image);
            let deviation = task.deviation.hypot(uncertainty * fraction);
            let margin = task.margin - weight * fraction;
            match task.horizon {
                None => (cost(margin, deviation) - task.cost).max(0.0),
                Some(horizon) if weights[horizon] <= 0.0 => 0.0,
                Some(horizon) => {
                    weights[horizon] * (budget::cost(margin, deviation) - task.cost).max(0.0)
                }
            }
        });
        added.sum()
    }
}

impl Planner {
    /// Caches a worker's conditions for best-effort tasks, which a placement pass needs many times.
    pub(crate) fn refresh_colocation(&mut self, worker: WorkerId) {
        let foresees = self.settings.features.colocation_forecast;
        if self.workers[worker].colocation.is_none() {
            self.workers[worker].colocation =
                Some(estimate_colocation(&self.interference, &self.workers[worker], foresees));
        }
    }

    /// Returns the conditions that a best-effort task would find on a worker.
    pub(crate) fn colocation<'a>(&self, worker: &'a Worker) -> Cow<'a, Colocation> {
        match &worker.colocation {
            Some(known) => Cow::Borrowed(known),
            None => {
                let foresees = self.settings.features.colocation_forecast;
                Cow::Owned(estimate_colocation(&self.interference, worker, foresees))
            }
        }
    }

    /// Returns `true` if the work of a best-effort task, on a fraction of a worker's CPU, is worth
    /// more than what it adds to the cost of the latency-critical tasks there. Nothing is added
    /// beside a task that has violated its target for a while, whatever the model predicts.
    pub(crate) fn is_worthwhile(
        &self,
        colocation: &Colocation,
        fraction: f64,
        added_cost: f64,
    ) -> bool {
        if colocation.over_target_since.is_some_and(|since| self.now >= since + MAX_BURST_TIME) {
            return false;
        }
        added_cost < fraction * best_effort_value(self.best_effort_backlog).max(1.0)
    }

    /// Learns from a worker's measurements and sets the speed limits that follow.
    pub(crate) fn enforce_targets(&mut self, worker: WorkerId) {
        self.record_measurements(worker);
        self.workers[worker].colocation = None;
        // A task that would have interfered too much before may be placed now.
        self.room_changed |= !self.waiting.is_empty();
        self.set_speed_limits(worker);
        self.move_throttled(worker);
    }
}
