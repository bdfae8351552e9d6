//! Tasks that fill beside tasks that serve.
//!
//! Pattern answered: tasks that fill use what tasks that serve leave, and slow some of them by
//! amounts that differ by image and change within seconds. [`crate::interfere`] learns which pairs
//! press. Here that decides two things: a task that fills goes only where every serving task beside
//! it is expected to stay below its target, also at the top of its load's swing; and where a tail
//! comes near its target all the same, those that press on it are slowed down, and moved away if
//! that lasts.

use std::borrow::Cow;
use std::time::Duration;

use smallvec::SmallVec;

use crate::figures::Outlook;
use crate::host::FULL_PACE;
use crate::host::Hosted;
use crate::interfere;
use crate::interfere::Image;
use crate::interfere::Model;
use crate::interfere::Press;
use crate::interfere::Shares;
use crate::planner::Planner;
use crate::risk::cost;
use crate::risk::fill_value;
use crate::worker::Beside;
use crate::worker::Margin;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// A pressure below this is noise and isn't slowed down.
pub(crate) const LEAST_PRESSURE: f64 = 0.06;

/// A task that is over its target for longer is over it for another reason than a burst of its own,
/// which lasts for a second or two, and figures come each half second.
const OVER_PAUSE: Duration = Duration::from_millis(900);

/// Image of a step that names none.
pub(crate) const NO_IMAGE: &str = "";

/// Returns what a run runs.
pub(crate) fn image(hosted: &Hosted) -> Image {
    hosted.image.clone().unwrap_or_else(|| NO_IMAGE.into())
}

pub(crate) fn share(cpu_milli: u32, worker: &Worker) -> f64 {
    f64::from(cpu_milli) / f64::from(worker.capacity.cpu_milli.max(1))
}

/// Adds up what filling images use at the paces that they are to have.
fn paced_shares(worker: &Worker) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.fills) {
        let part = share(hosted.demand.cpu_milli, worker);
        let pace = f64::from(hosted.pace) / f64::from(FULL_PACE);
        interfere::add(&mut shares, &image(hosted), part * pace);
    }
    shares
}

/// Works out how far each serving task of a worker is expected to stay from its target while a task
/// placed now runs there.
fn margins(model: &Model, worker: &Worker) -> SmallVec<[Margin; 8]> {
    let present = paced_shares(worker);
    let served = worker.runs.values().filter(|hosted| hosted.serves());
    served
        .map(|hosted| {
            let image = image(hosted);
            let outlook = Outlook::of(hosted, model);
            let margin = outlook.least() - 1.0 - model.pressure(&image, &present);
            let doubt = model.variance(&image, &present).sqrt();
            let deviation = outlook.deviation.hypot(doubt);
            let cost = cost(margin, deviation);
            Margin { image: model.served(&image), margin, deviation, cost }
        })
        .collect()
}

/// Works out what a task that fills would find on a worker.
fn beside(model: &Model, worker: &Worker) -> Beside {
    Beside {
        margins: margins(model, worker),
        fill_room: worker.fill_room(model),
        over_since: worker.runs.values().filter_map(|hosted| hosted.over_since).min(),
    }
}

impl Beside {
    /// Returns what one more task that fills would cost the serving tasks, in the worker's
    /// processors, of which it uses a part.
    pub(crate) fn added_cost(&self, press: &Press, part: f64) -> f64 {
        let added = self.margins.iter().map(|served| {
            let (weight, doubt) = press.on(served.image);
            let deviation = served.deviation.hypot(doubt * part);
            (cost(served.margin - weight * part, deviation) - served.cost).max(0.0)
        });
        added.sum()
    }
}

impl Planner {
    /// Works out what a placing pass will ask for again and again.
    pub(crate) fn refresh_beside(&mut self, worker: WorkerId) {
        if self.workers[worker].beside.is_none() {
            self.workers[worker].beside = Some(beside(&self.model, &self.workers[worker]));
        }
    }

    /// Returns what a task that fills would find on a worker.
    pub(crate) fn beside<'a>(&self, worker: &'a Worker) -> Cow<'a, Beside> {
        match &worker.beside {
            Some(known) => Cow::Borrowed(known),
            None => Cow::Owned(beside(&self.model, worker)),
        }
    }

    /// Tells whether a filling task's work, on a part of a worker's processors, is worth more than what
    /// it adds to the cost of the serving tasks there. Nothing is added beside one that has been over
    /// its target for a while, whatever the model says.
    pub(crate) fn pays(&self, beside: &Beside, part: f64, added_cost: f64) -> bool {
        if beside.over_since.is_some_and(|since| self.now >= since + OVER_PAUSE) {
            return false;
        }
        added_cost < part * fill_value(self.fill_backlog).max(1.0)
    }

    /// Learns from a worker's figures and sets the paces that follow.
    pub(crate) fn guard_targets(&mut self, worker: WorkerId) {
        self.read_figures(worker);
        self.workers[worker].beside = None;
        // A task that pressed too hard before may have its place now.
        self.room_changed |= !self.waiting.is_empty();
        self.set_paces(worker);
        self.move_held_back(worker);
    }
}
