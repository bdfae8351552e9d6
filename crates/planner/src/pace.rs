//! Paces of tasks that fill: who is slowed down, by how much, and who is moved.
//!
//! Pattern answered: the load of tasks that serve swings, and what fills beside them presses on them
//! by very different amounts. Where one is expected to come over its target, whatever presses most
//! for each processor that it uses is slowed down first, which costs the least work; what is held
//! back for long goes elsewhere. A tail that stays over its target all the same is taken care of in
//! two steps that trust the model less and less.

use std::time::Duration;

use cowslipchute_ports::executor::Run;
use smallvec::SmallVec;

use crate::colocate::LEAST_PRESSURE;
use crate::colocate::image;
use crate::colocate::share;
use crate::figures::Outlook;
use crate::fit::Request;
use crate::host::FULL_PACE;
use crate::host::Hosted;
use crate::host::Stage;
use crate::host::Why;
use crate::planner::Planner;
use crate::risk::cost;
use crate::risk::fill_value;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Paces are whole multiples of this, so that small changes need no order.
const PACE_STEP: u8 = 20;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still that may be the cause.
const ALARM_PART: f64 = 0.35;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still, whatever the model says: it may be wrong on a worker that differs from the others.
const LAST_PART: f64 = 0.5;
/// A task that was slowed below this, in percent, for a while is moved.
const MOVE_PACE: u8 = 60;
/// How long a task may be held back before it is moved, where checkpoints are frequent: about as long
/// as moving it takes.
const LEAST_MOVE_AFTER: Duration = Duration::from_millis(400);
/// The same as a part of the time between two checkpoints, since work since the last one is lost: half
/// of it on average.
const MOVE_AFTER_PART: f64 = 0.4;

/// A filling run while its pace is worked out.
struct Filling {
    run: Run,
    /// Part of the worker's processors that it uses at full pace.
    part: f64,
    /// The pace that it may have, in percent.
    pace: u8,
    /// By how much each serving task is pressed on for all of the worker's processors.
    weights: SmallVec<[f64; 8]>,
}

impl Filling {
    /// Returns how hard it presses on a serving task at a pace.
    fn pressure(&self, served: usize, pace: u8) -> f64 {
        self.weights[served] * self.part * speed(pace)
    }

    fn heaviest(&self) -> f64 {
        self.weights.iter().copied().fold(0.0, f64::max)
    }
}

impl Planner {
    /// Works out the paces on a worker and orders those that have changed.
    pub(crate) fn set_paces(&mut self, worker: WorkerId) {
        for (run, pace) in self.paces(worker) {
            self.set_pace(worker, run, pace);
        }
    }

    fn paces(&self, worker: WorkerId) -> Vec<(Run, u8)> {
        let state = &self.workers[worker];
        let served: SmallVec<[&Hosted; 8]> =
            state.runs.values().filter(|hosted| hosted.serves()).collect();
        let mut fillings = self.fillings(state, &served);
        let outlooks: Vec<Outlook> =
            served.iter().map(|hosted| Outlook::of(hosted, &self.model)).collect();
        choose_paces(&mut fillings, &outlooks, fill_value(self.fill_backlog));
        self.stop_alarmed(&mut fillings, &served);
        fillings.iter().map(|filling| (filling.run, filling.pace)).collect()
    }

    fn fillings(&self, worker: &Worker, served: &[&Hosted]) -> Vec<Filling> {
        let running = worker
            .runs
            .iter()
            .filter(|(_, hosted)| hosted.fills && matches!(hosted.stage, Stage::Running { .. }));
        running
            .map(|(run, hosted)| {
                let own = image(hosted);
                let weight = |served: &&Hosted| self.model.weight(&image(served), &own).0;
                Filling {
                    run: *run,
                    part: share(hosted.demand.cpu_milli, worker),
                    pace: FULL_PACE,
                    weights: served.iter().map(weight).collect(),
                }
            })
            .collect()
    }

    /// Lets fills stand still beside tasks that have been over their targets for long.
    fn stop_alarmed(&self, fillings: &mut [Filling], served: &[&Hosted]) {
        let alarm = self.settings.harm_time.mul_f64(ALARM_PART);
        let last = self.settings.harm_time.mul_f64(LAST_PART);
        for (index, hosted) in served.iter().enumerate() {
            let over = |limit| hosted.over_since.is_some_and(|since| self.now >= since + limit);
            for filling in fillings.iter_mut() {
                if over(last)
                    || (over(alarm) && filling.pressure(index, FULL_PACE) >= LEAST_PRESSURE)
                {
                    filling.pace = 0;
                }
            }
        }
    }

    fn set_pace(&mut self, worker: WorkerId, run: Run, pace: u8) {
        let now = self.now;
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

    /// Moves tasks that have been held back for long, if they would work on elsewhere.
    pub(crate) fn move_held_back(&mut self, worker: WorkerId) {
        let now = self.now;
        let part = self.settings.checkpoint_interval.mul_f64(MOVE_AFTER_PART);
        let move_after = part.max(LEAST_MOVE_AFTER);
        let held = |hosted: &Hosted| {
            hosted.checkpointing
                && matches!(hosted.stage, Stage::Running { .. })
                && hosted.held_back.is_some_and(|since| now >= since + move_after)
        };
        for run in self.workers[worker].runs_where(held) {
            if self.fits_elsewhere(worker, run) {
                self.stop_run(worker, run, Why::Harmful);
            }
        }
    }

    fn fits_elsewhere(&self, worker: WorkerId, run: Run) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return true };
        let spec = job.spec(run.task.step);
        let service = &self.workers[worker].service;
        let request = Request::new(&self.model, run.task, spec);
        self.workers.iter().any(|(id, other)| {
            id != worker
                && other.service == *service
                && self.is_open(other)
                && self.may_take(other, &request)
        })
    }
}

/// Chooses the paces at which the work of the fills is worth the most beyond what it costs the
/// serving tasks.
///
/// One fill is looked at after the other, once from full pace on, where the ones that press hardest
/// come first, and once from standing still, where the lightest do; slowing down one of many that
/// press together helps nobody, and the second way finds what the first can't.
fn choose_paces(fillings: &mut [Filling], outlooks: &[Outlook], value: f64) {
    if nothing_to_gain(fillings, outlooks, value) {
        return;
    }
    let mut order: Vec<usize> = (0..fillings.len()).collect();
    order.sort_by(|&a, &b| fillings[b].heaviest().total_cmp(&fillings[a].heaviest()));
    let slowed = improve(fillings, &order, FULL_PACE, outlooks, value);
    let paces: SmallVec<[u8; 16]> = fillings.iter().map(|filling| filling.pace).collect();
    order.reverse();
    let quickened = improve(fillings, &order, 0, outlooks, value);
    if slowed >= quickened {
        for (filling, pace) in fillings.iter_mut().zip(paces) {
            filling.pace = pace;
        }
    }
}

/// Tells whether the least that slowing down costs is more than all that it could save, so that full
/// pace is best without a further look. On most workers nothing comes near a target at any time.
fn nothing_to_gain(fillings: &[Filling], outlooks: &[Outlook], value: f64) -> bool {
    let costs = outlooks.iter().enumerate().map(|(served, outlook)| {
        let pressing = fillings.iter().map(|filling| filling.pressure(served, FULL_PACE));
        cost(outlook.soon - 1.0 - pressing.sum::<f64>(), outlook.deviation)
    });
    let least = fillings.iter().map(|filling| filling.part).fold(f64::INFINITY, f64::min);
    costs.sum::<f64>() <= value * least * speed(PACE_STEP)
}

/// Sets one pace after the other to what gains the most, beginning with all of them at `first`;
/// returns what is gained in all.
fn improve(
    fillings: &mut [Filling],
    order: &[usize],
    first: u8,
    outlooks: &[Outlook],
    value: f64,
) -> f64 {
    for filling in fillings.iter_mut() {
        filling.pace = first;
    }
    let mut margins: SmallVec<[f64; 8]> = outlooks
        .iter()
        .enumerate()
        .map(|(served, outlook)| {
            let pressing = fillings.iter().map(|filling| filling.pressure(served, filling.pace));
            outlook.soon - 1.0 - pressing.sum::<f64>()
        })
        .collect();
    let mut work = 0.0;
    for &index in order {
        let filling = &mut fillings[index];
        let gain = |pace: u8| {
            let eased = |served: usize| {
                filling.pressure(served, filling.pace) - filling.pressure(served, pace)
            };
            let costs =
                margins.iter().zip(outlooks).enumerate().map(|(served, (margin, outlook))| {
                    cost(margin + eased(served), outlook.deviation)
                });
            value * filling.part * speed(pace) - costs.sum::<f64>()
        };
        let paces = (0..=FULL_PACE / PACE_STEP).map(|steps| steps * PACE_STEP);
        let best = paces.map(|pace| (gain(pace), pace)).max_by(|a, b| a.0.total_cmp(&b.0));
        let pace = best.map_or(FULL_PACE, |(_, pace)| pace);
        for (served, margin) in margins.iter_mut().enumerate() {
            *margin += filling.pressure(served, filling.pace) - filling.pressure(served, pace);
        }
        filling.pace = pace;
        work += value * filling.part * speed(pace);
    }
    let costs =
        margins.iter().zip(outlooks).map(|(&margin, outlook)| cost(margin, outlook.deviation));
    work - costs.sum::<f64>()
}

/// Returns the part of its speed that a pace leaves a run.
fn speed(pace: u8) -> f64 {
    f64::from(pace) / f64::from(FULL_PACE)
}
