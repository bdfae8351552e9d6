//! Tasks that fill beside tasks that serve.
//!
//! Pattern answered: tasks that fill use what tasks that serve leave, and slow some of them by
//! amounts that differ by image and change within seconds. [`crate::interfere`] learns which pairs
//! press. Here that decides two things: a task that fills goes only where every serving task beside
//! it is expected to stay below its target, also at the top of its load's swing; and where a tail
//! comes near its target all the same, those that press on it are slowed down, and moved away if
//! that lasts.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;

use crate::host::FULL_PACE;
use crate::host::Hosted;
use crate::host::Stage;
use crate::host::Why;
use crate::interfere;
use crate::interfere::Image;
use crate::interfere::Model;
use crate::interfere::Reading;
use crate::interfere::Shares;
use crate::planner::Planner;
use crate::worker::Spare;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Headroom that a serving task is to keep when another task is placed beside it: the figures are
/// rough, and its load may rise while that one runs.
const PLACE_HEADROOM: f64 = 1.5;
/// Headroom that it is to keep by slowing down what presses on it.
const PACE_HEADROOM: f64 = 1.15;
/// Weight of the newest reading in a task's own headroom: two or three readings, a second or two.
const READING_PART: f64 = 0.5;
/// A pair's weight counts this many standard deviations high when a task is placed, so that what
/// is not known yet is tried a little at a time.
const CAUTION: f64 = 0.5;
/// A pressure below this is noise and isn't slowed down.
const LEAST_PRESSURE: f64 = 0.06;
/// Paces are whole multiples of this, so that small changes need no order.
const PACE_STEP: f64 = 20.0;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still that may be the cause.
const ALARM_PART: f64 = 0.45;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still, whatever the model says: it may be wrong on a worker that differs from the others.
const LAST_PART: f64 = 0.65;
/// A task that was slowed below this, in percent, for [`MOVE_AFTER`] is moved.
const MOVE_PACE: u8 = 60;
/// How long a task may be held back before it is moved: less than moving it costs gains nothing.
const MOVE_AFTER: Duration = Duration::from_millis(800);

const NO_IMAGE: &str = "";

/// Returns what a run runs.
pub(crate) fn image(hosted: &Hosted) -> Image {
    hosted.image.clone().unwrap_or_else(|| NO_IMAGE.into())
}

fn share(cpu_milli: u32, worker: &Worker) -> f64 {
    f64::from(cpu_milli) / f64::from(worker.capacity.cpu_milli.max(1))
}

/// Adds up what filling images use, at the pace given by `pace`.
fn shares(worker: &Worker, pace: impl Fn(&Hosted) -> u8) -> Shares {
    let mut shares = Shares::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.fills) {
        let part =
            share(hosted.demand.cpu_milli, worker) * f64::from(pace(hosted)) / f64::from(FULL_PACE);
        interfere::add(&mut shares, &image(hosted), part);
    }
    shares
}

/// Headroom that a serving task is expected to have without tasks that fill.
fn expected(model: &Model, hosted: &Hosted) -> f64 {
    hosted.headroom.unwrap_or_else(|| model.headroom(&image(hosted)))
}

/// Works out the headroom that each serving image of a worker has left beside what fills there.
fn spare(model: &Model, worker: &Worker) -> Spare {
    let present = shares(worker, |_| FULL_PACE);
    let mut spare = Spare::new();
    for hosted in worker.runs.values().filter(|hosted| hosted.serves()) {
        let image = image(hosted);
        let left = expected(model, hosted) - model.pressure(&image, &present);
        match spare.iter_mut().find(|(known, _)| *known == image) {
            Some((_, least)) => *least = least.min(left),
            None => spare.push((image, left)),
        }
    }
    spare
}

/// Returns by how much a filling step would press on the most pressed serving task of a worker,
/// or nothing if that is too much.
pub(crate) fn added_pressure(model: &Model, worker: &Worker, step: &Step) -> Option<f64> {
    if !worker.serves() {
        return Some(0.0);
    }
    let worked_out;
    let spare = match &worker.spare {
        Some(spare) => spare,
        None => {
            worked_out = spare(model, worker);
            &worked_out
        }
    };
    let filling = step.image.clone().unwrap_or_else(|| NO_IMAGE.into());
    let part = share(step.demand.cpu_milli, worker);
    let mut most: f64 = 0.0;
    for (image, left) in spare {
        let (weight, deviation) = model.weight(image, &filling);
        let added = (weight + CAUTION * deviation) * part;
        if added > LEAST_PRESSURE && left - added < PLACE_HEADROOM {
            return None;
        }
        most = most.max(added);
    }
    Some(most)
}

impl Planner {
    /// Works the headroom of a worker out that a placing pass will ask for again and again.
    pub(crate) fn refresh_spare(&mut self, worker: WorkerId) {
        if self.workers[worker].spare.is_none() {
            self.workers[worker].spare = Some(spare(&self.model, &self.workers[worker]));
        }
    }

    /// Learns from a worker's tails and sets the paces that follow.
    pub(crate) fn guard_targets(&mut self, worker: WorkerId) {
        let now = self.now;
        let state = &mut self.workers[worker];
        let shares_now = shares(state, |hosted| hosted.paced.unwrap_or(FULL_PACE));
        let shares_before = std::mem::replace(&mut state.shares, shares_now.clone());
        let beside = mean(&shares_before, &shares_now);
        for hosted in state.runs.values_mut() {
            let (Some(target), Stage::Running { .. }) = (hosted.target, hosted.stage) else {
                continue;
            };
            if hosted.figure == 0 || hosted.percent < 100 {
                continue;
            }
            let headroom = target.as_secs_f64() * 1e3 / f64::from(hosted.figure);
            let reading = Reading { headroom, shares: beside.clone() };
            let image = image(hosted);
            self.model.learn(&image, hosted.reading.as_ref(), &reading);
            let own = headroom + self.model.pressure(&image, &beside);
            let before = hosted.headroom.unwrap_or(own);
            hosted.headroom = Some(before + READING_PART * (own - before));
            hosted.reading = Some(reading);
            if headroom >= 1.0 {
                hosted.over_since = None;
            } else {
                hosted.over_since.get_or_insert(now);
            }
        }
        self.workers[worker].spare = None;
        // A task that pressed too hard before may have its place now.
        self.room_changed |= !self.waiting.is_empty();
        self.set_paces(worker);
        self.move_held_back(worker);
    }

    fn set_paces(&mut self, worker: WorkerId) {
        let now = self.now;
        let alarm = self.settings.harm_time.mul_f64(ALARM_PART);
        let last = self.settings.harm_time.mul_f64(LAST_PART);
        let state = &self.workers[worker];
        let full = shares(state, |_| FULL_PACE);
        let mut paces: Vec<(Run, u8)> = Vec::new();
        for (run, hosted) in &state.runs {
            if !hosted.fills || !matches!(hosted.stage, Stage::Running { .. }) {
                continue;
            }
            let filling = image(hosted);
            let part = share(hosted.demand.cpu_milli, state);
            let mut pace: f64 = 1.0;
            for served in state.runs.values().filter(|served| served.serves()) {
                let pressed = image(served);
                let (weight, deviation) = self.model.weight(&pressed, &filling);
                let over = |limit| served.over_since.is_some_and(|since| now >= since + limit);
                if over(last) {
                    pace = 0.0;
                }
                if over(alarm) && (weight + deviation) * part >= LEAST_PRESSURE {
                    pace = 0.0;
                }
                if weight * part < LEAST_PRESSURE {
                    continue;
                }
                let total = self.model.pressure(&pressed, &full);
                let spare = expected(&self.model, served) - PACE_HEADROOM;
                pace = pace.min(spare / total);
            }
            let steps = (pace.clamp(0.0, 1.0) * f64::from(FULL_PACE) / PACE_STEP).floor();
            paces.push((*run, (steps * PACE_STEP) as u8));
        }
        for (run, pace) in paces {
            self.set_pace(worker, run, pace, now);
        }
    }

    fn set_pace(&mut self, worker: WorkerId, run: Run, pace: u8, now: Time) {
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        hosted.pace = pace;
        if pace >= MOVE_PACE {
            hosted.held_back = None;
        } else {
            hosted.held_back.get_or_insert(now);
        }
        if hosted.wants_pace() {
            self.schedule(worker, run, Duration::ZERO);
        }
    }

    /// Moves tasks that have been held back for long: elsewhere they work on.
    fn move_held_back(&mut self, worker: WorkerId) {
        let now = self.now;
        let held = |hosted: &Hosted| {
            hosted.checkpointing
                && matches!(hosted.stage, Stage::Running { .. })
                && hosted.held_back.is_some_and(|since| now >= since + MOVE_AFTER)
        };
        let runs: Vec<Run> = self.workers[worker]
            .runs
            .iter()
            .filter(|(_, hosted)| held(hosted))
            .map(|(run, _)| *run)
            .collect();
        for run in runs {
            self.stop_run(worker, run, Why::Harmful);
        }
    }
}

fn mean(before: &Shares, now: &Shares) -> Shares {
    let mut shares = Shares::new();
    for (image, part) in before.iter().chain(now) {
        interfere::add(&mut shares, image, part / 2.0);
    }
    shares
}
