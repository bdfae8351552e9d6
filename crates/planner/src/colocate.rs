//! Tasks that fill beside tasks that serve.
//!
//! Pattern answered: tasks that fill use what tasks that serve leave, and slow some of them by
//! amounts that differ by image and change within seconds. [`crate::interference`] learns which pairs
//! press. Here that decides two things: a task that fills goes only where every serving task beside
//! it is expected to stay below its target, also at the top of its load's swing; and where a tail
//! comes near its target all the same, those that press on it are slowed down, and moved away if
//! that lasts.

use std::borrow::Cow;
use std::time::Duration;

use smallvec::SmallVec;

use crate::host::FULL_SPEED;
use crate::host::Hosted;
use crate::interference;
use crate::interference::Image;
use crate::interference::Model;
use crate::interference::Profile;
use crate::interference::Shares;
use crate::measurement::Headroom;
use crate::planner::Planner;
use crate::risk::best_effort_value;
use crate::risk::cost;
use crate::worker::Colocation;
use crate::worker::Margin;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// A pressure below this is noise and isn't slowed down.
pub(crate) const MIN_HEADROOM_LOSS: f64 = 0.06;

/// A task that is over its target for longer is over it for another reason than a burst of its own,
/// which lasts for a second or two, and figures come each half second.
const MAX_BURST_TIME: Duration = Duration::from_millis(900);

/// Image of a step that names none.
pub(crate) const NO_IMAGE: &str = "";

/// Returns what a run runs.
pub(crate) fn image(hosted: &Hosted) -> Image {
    hosted.image.clone().unwrap_or_else(|| NO_IMAGE.into())
}

pub(crate) fn cpu_fraction(cpu_milli: u32, worker: &Worker) -> f64 {
    f64::from(cpu_milli) / f64::from(worker.capacity.cpu_milli.max(1))
}

/// Adds up what filling images use at the paces that they are to have.
fn planned_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.best_effort) {
        let part = cpu_fraction(hosted.demand.cpu_milli, worker);
        let pace = f64::from(hosted.speed_limit) / f64::from(FULL_SPEED);
        interference::add_share(&mut shares, &image(hosted), part * pace);
    }
    shares
}

/// Works out how far each serving task of a worker is expected to stay from its target while a task
/// placed now runs there.
fn margins(model: &Model, worker: &Worker) -> SmallVec<[Margin; 8]> {
    let present = planned_shares(worker);
    let served = worker.runs.values().filter(|hosted| hosted.is_latency_critical());
    served
        .map(|hosted| {
            let image = image(hosted);
            let outlook = Headroom::of(hosted, model);
            let margin = outlook.min() - 1.0 - model.headroom_loss(&image, &present);
            let doubt = model.headroom_loss_variance(&image, &present).sqrt();
            let deviation = outlook.deviation.hypot(doubt);
            let cost = cost(margin, deviation);
            Margin { image: model.image_index(&image), margin, deviation, cost }
        })
        .collect()
}

/// Works out what a task that fills would find on a worker.
fn estimate_colocation(model: &Model, worker: &Worker) -> Colocation {
    Colocation {
        margins: margins(model, worker),
        best_effort_room: worker.best_effort_room(model),
        over_target_since: worker.runs.values().filter_map(|hosted| hosted.over_target_since).min(),
    }
}

impl Colocation {
    /// Returns what one more task that fills would cost the serving tasks, in the worker's
    /// processors, of which it uses a part.
    pub(crate) fn added_cost(&self, press: &Profile, part: f64) -> f64 {
        let added = self.margins.iter().map(|served| {
            let (weight, doubt) = press.weight_on(served.image);
            let deviation = served.deviation.hypot(doubt * part);
            (cost(served.margin - weight * part, deviation) - served.cost).max(0.0)
        });
        added.sum()
    }
}

impl Planner {
    /// Works out what a placing pass will ask for again and again.
    pub(crate) fn refresh_colocation(&mut self, worker: WorkerId) {
        if self.workers[worker].colocation.is_none() {
            self.workers[worker].colocation =
                Some(estimate_colocation(&self.interference, &self.workers[worker]));
        }
    }

    /// Returns what a task that fills would find on a worker.
    pub(crate) fn colocation<'a>(&self, worker: &'a Worker) -> Cow<'a, Colocation> {
        match &worker.colocation {
            Some(known) => Cow::Borrowed(known),
            None => Cow::Owned(estimate_colocation(&self.interference, worker)),
        }
    }

    /// Tells whether a filling task's work, on a part of a worker's processors, is worth more than what
    /// it adds to the cost of the serving tasks there. Nothing is added beside one that has been over
    /// its target for a while, whatever the model says.
    pub(crate) fn is_worthwhile(&self, beside: &Colocation, part: f64, added_cost: f64) -> bool {
        if beside.over_target_since.is_some_and(|since| self.now >= since + MAX_BURST_TIME) {
            return false;
        }
        added_cost < part * best_effort_value(self.best_effort_backlog).max(1.0)
    }

    /// Learns from a worker's figures and sets the paces that follow.
    pub(crate) fn enforce_targets(&mut self, worker: WorkerId) {
        self.record_measurements(worker);
        self.workers[worker].colocation = None;
        // A task that pressed too hard before may have its place now.
        self.room_changed |= !self.waiting.is_empty();
        self.set_speed_limits(worker);
        self.move_throttled(worker);
    }
}
