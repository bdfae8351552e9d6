//! Tasks that fill beside tasks that serve.
//!
//! Pattern answered: tasks that fill use what tasks that serve leave, and slow some of them by
//! amounts that differ by image and change within seconds. [`crate::interfere`] learns which pairs
//! press. Here that decides two things: a task that fills goes only where every serving task beside
//! it is expected to stay below its target, also at the top of its load's swing; and where a tail
//! comes near its target all the same, those that press on it are slowed down, and moved away if
//! that lasts.

use std::time::Duration;

use cowslipchute_ports::job::Step;

use crate::figures::Outlook;
use crate::host::FULL_PACE;
use crate::host::Hosted;
use crate::interfere;
use crate::interfere::Image;
use crate::interfere::Model;
use crate::interfere::Shares;
use crate::planner::Planner;
use crate::risk::cost;
use crate::risk::fill_value;
use crate::worker::Margin;
use crate::worker::Margins;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// A pressure below this is noise and isn't slowed down.
pub(crate) const LEAST_PRESSURE: f64 = 0.06;

/// A task that is over its target for longer is over it for another reason than a burst of its own,
/// which lasts for a second or two, and figures come each half second.
const OVER_PAUSE: Duration = Duration::from_millis(900);

const NO_IMAGE: &str = "";

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
fn margins(model: &Model, worker: &Worker) -> Margins {
    let present = paced_shares(worker);
    let served = worker.runs.values().filter(|hosted| hosted.serves());
    served
        .map(|hosted| {
            let image = image(hosted);
            let outlook = Outlook::of(hosted, model);
            let margin = outlook.least() - 1.0 - model.pressure(&image, &present);
            let doubt = model.variance(&image, &present).sqrt();
            Margin { margin, deviation: outlook.deviation.hypot(doubt), image }
        })
        .collect()
}

/// Returns what a filling step would cost the serving tasks of a worker, in the worker's processors.
pub(crate) fn added_cost(model: &Model, worker: &Worker, step: &Step) -> f64 {
    if !worker.serves() {
        return 0.0;
    }
    let worked_out;
    let margins = match &worker.margins {
        Some(margins) => margins,
        None => {
            worked_out = margins(model, worker);
            &worked_out
        }
    };
    let filling = step.image.clone().unwrap_or_else(|| NO_IMAGE.into());
    let part = share(step.demand.cpu_milli, worker);
    let mut known: Option<(&Image, f64, f64)> = None;
    let mut added = 0.0;
    for served in margins {
        let (weight, doubt) = match known {
            Some((image, weight, doubt)) if *image == served.image => (weight, doubt),
            _ => model.weight(&served.image, &filling),
        };
        known = Some((&served.image, weight, doubt));
        let deviation = served.deviation.hypot(doubt * part);
        let after = cost(served.margin - weight * part, deviation);
        added += (after - cost(served.margin, served.deviation)).max(0.0);
    }
    added
}

impl Planner {
    /// Works out what a placing pass will ask for again and again.
    pub(crate) fn refresh_margins(&mut self, worker: WorkerId) {
        if self.workers[worker].margins.is_none() {
            self.workers[worker].margins = Some(margins(&self.model, &self.workers[worker]));
        }
    }

    /// Tells whether a filling step's work is worth more than what it costs a worker's serving
    /// tasks. Nothing is added beside one that has been over its target for a while, whatever the
    /// model says.
    pub(crate) fn pays(&self, worker: &Worker, step: &Step) -> bool {
        let long_over = |since| self.now >= since + OVER_PAUSE;
        if worker.runs.values().any(|hosted| hosted.over_since.is_some_and(long_over)) {
            return false;
        }
        let work = share(step.demand.cpu_milli, worker) * fill_value(self.fill_backlog).max(1.0);
        added_cost(&self.model, worker, step) < work
    }

    /// Learns from a worker's figures and sets the paces that follow.
    pub(crate) fn guard_targets(&mut self, worker: WorkerId) {
        self.read_figures(worker);
        self.workers[worker].margins = None;
        // A task that pressed too hard before may have its place now.
        self.room_changed |= !self.waiting.is_empty();
        self.set_paces(worker);
        self.move_held_back(worker);
    }
}
