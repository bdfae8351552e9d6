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

use crate::colocate::MIN_HEADROOM_LOSS;
use crate::colocate::cpu_fraction;
use crate::colocate::image;
use crate::fit::Request;
use crate::host::FULL_SPEED;
use crate::host::Hosted;
use crate::host::Reason;
use crate::host::Stage;
use crate::measurement::Headroom;
use crate::planner::Planner;
use crate::risk::best_effort_value;
use crate::risk::cost;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// Paces are whole multiples of this, so that small changes need no order.
const SPEED_STEP: u8 = 20;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still that may be the cause.
const SUSPECT_STOP_FRACTION: f64 = 0.35;
/// A tail that stays over its target for this part of the time allowed has all tasks beside it stand
/// still, whatever the model says: it may be wrong on a worker that differs from the others.
const STOP_ALL_FRACTION: f64 = 0.5;
/// A task that was slowed below this, in percent, for a while is moved.
const MIN_USEFUL_SPEED: u8 = 60;
/// How long a task may be held back before it is moved, where checkpoints are frequent: about as long
/// as moving it takes.
const MIN_MOVE_DELAY: Duration = Duration::from_millis(400);
/// The same as a part of the time between two checkpoints, since work since the last one is lost: half
/// of it on average.
const MOVE_DELAY_FRACTION: f64 = 0.4;

/// A filling run while its pace is worked out.
struct BestEffort {
    run: Run,
    /// Part of the worker's processors that it uses at full pace.
    cpu_fraction: f64,
    /// The pace that it may have, in percent.
    speed_limit: u8,
    /// By how much each serving task is pressed on for all of the worker's processors.
    weights: SmallVec<[f64; 8]>,
}

impl BestEffort {
    /// Returns how hard it presses on a serving task at a pace.
    fn headroom_loss(&self, served: usize, pace: u8) -> f64 {
        self.weights[served] * self.cpu_fraction * speed_fraction(pace)
    }

    fn max_weight(&self) -> f64 {
        self.weights.iter().copied().fold(0.0, f64::max)
    }
}

impl Planner {
    /// Works out the paces on a worker and orders those that have changed.
    pub(crate) fn set_speed_limits(&mut self, worker: WorkerId) {
        for (run, pace) in self.compute_speed_limits(worker) {
            self.set_speed_limit(worker, run, pace);
        }
    }

    fn compute_speed_limits(&self, worker: WorkerId) -> Vec<(Run, u8)> {
        let state = &self.workers[worker];
        let served: SmallVec<[&Hosted; 8]> =
            state.runs.values().filter(|hosted| hosted.is_latency_critical()).collect();
        let mut fillings = self.best_effort_runs(state, &served);
        let outlooks: Vec<Headroom> =
            served.iter().map(|hosted| Headroom::of(hosted, &self.interference)).collect();
        choose_speed_limits(&mut fillings, &outlooks, best_effort_value(self.best_effort_backlog));
        self.stop_beside_violations(&mut fillings, &served);
        fillings.iter().map(|filling| (filling.run, filling.speed_limit)).collect()
    }

    fn best_effort_runs(&self, worker: &Worker, served: &[&Hosted]) -> Vec<BestEffort> {
        let running = worker.runs.iter().filter(|(_, hosted)| {
            hosted.best_effort && matches!(hosted.stage, Stage::Running { .. })
        });
        running
            .map(|(run, hosted)| {
                let own = image(hosted);
                let weight = |served: &&Hosted| self.interference.weight(&image(served), &own).0;
                BestEffort {
                    run: *run,
                    cpu_fraction: cpu_fraction(hosted.demand.cpu_milli, worker),
                    speed_limit: FULL_SPEED,
                    weights: served.iter().map(weight).collect(),
                }
            })
            .collect()
    }

    /// Lets fills stand still beside tasks that have been over their targets for long.
    fn stop_beside_violations(&self, fillings: &mut [BestEffort], served: &[&Hosted]) {
        let alarm = self.settings.max_interference_time.mul_f64(SUSPECT_STOP_FRACTION);
        let last = self.settings.max_interference_time.mul_f64(STOP_ALL_FRACTION);
        for (index, hosted) in served.iter().enumerate() {
            let over =
                |limit| hosted.over_target_since.is_some_and(|since| self.now >= since + limit);
            for filling in fillings.iter_mut() {
                if over(last)
                    || (over(alarm)
                        && filling.headroom_loss(index, FULL_SPEED) >= MIN_HEADROOM_LOSS)
                {
                    filling.speed_limit = 0;
                }
            }
        }
    }

    fn set_speed_limit(&mut self, worker: WorkerId, run: Run, pace: u8) {
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        hosted.speed_limit = pace;
        if pace >= MIN_USEFUL_SPEED {
            hosted.throttled_since = None;
        } else {
            hosted.throttled_since.get_or_insert(now);
        }
        if hosted.needs_throttle() {
            self.schedule_command(worker, run, Duration::ZERO);
        }
    }

    /// Moves tasks that have been held back for long, if they would work on elsewhere.
    pub(crate) fn move_throttled(&mut self, worker: WorkerId) {
        let now = self.now;
        let part = self.settings.checkpoint_interval.mul_f64(MOVE_DELAY_FRACTION);
        let move_after = part.max(MIN_MOVE_DELAY);
        let held = |hosted: &Hosted| {
            hosted.checkpointing
                && matches!(hosted.stage, Stage::Running { .. })
                && hosted.throttled_since.is_some_and(|since| now >= since + move_after)
        };
        for run in self.workers[worker].runs_where(held) {
            if self.fits_elsewhere(worker, run) {
                self.stop_run(worker, run, Reason::Interference);
            }
        }
    }

    fn fits_elsewhere(&self, worker: WorkerId, run: Run) -> bool {
        let Some(job) = self.jobs.get(&run.task.job) else { return true };
        let spec = job.spec(run.task.step);
        let service = &self.workers[worker].service;
        let request = Request::new(&self.interference, run.task, spec);
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
fn choose_speed_limits(fillings: &mut [BestEffort], outlooks: &[Headroom], value: f64) {
    if is_full_speed_best(fillings, outlooks, value) {
        return;
    }
    let mut order: Vec<usize> = (0..fillings.len()).collect();
    order.sort_by(|&a, &b| fillings[b].max_weight().total_cmp(&fillings[a].max_weight()));
    let slowed = improve_speed_limits(fillings, &order, FULL_SPEED, outlooks, value);
    let paces: SmallVec<[u8; 16]> = fillings.iter().map(|filling| filling.speed_limit).collect();
    order.reverse();
    let quickened = improve_speed_limits(fillings, &order, 0, outlooks, value);
    if slowed >= quickened {
        for (filling, pace) in fillings.iter_mut().zip(paces) {
            filling.speed_limit = pace;
        }
    }
}

/// Tells whether the least that slowing down costs is more than all that it could save, so that full
/// pace is best without a further look. On most workers nothing comes near a target at any time.
fn is_full_speed_best(fillings: &[BestEffort], outlooks: &[Headroom], value: f64) -> bool {
    let costs = outlooks.iter().enumerate().map(|(served, outlook)| {
        let pressing = fillings.iter().map(|filling| filling.headroom_loss(served, FULL_SPEED));
        cost(outlook.next - 1.0 - pressing.sum::<f64>(), outlook.deviation)
    });
    let least = fillings.iter().map(|filling| filling.cpu_fraction).fold(f64::INFINITY, f64::min);
    costs.sum::<f64>() <= value * least * speed_fraction(SPEED_STEP)
}

/// Sets one pace after the other to what gains the most, beginning with all of them at `first`;
/// returns what is gained in all.
fn improve_speed_limits(
    fillings: &mut [BestEffort],
    order: &[usize],
    first: u8,
    outlooks: &[Headroom],
    value: f64,
) -> f64 {
    for filling in fillings.iter_mut() {
        filling.speed_limit = first;
    }
    let mut margins: SmallVec<[f64; 8]> = outlooks
        .iter()
        .enumerate()
        .map(|(served, outlook)| {
            let pressing =
                fillings.iter().map(|filling| filling.headroom_loss(served, filling.speed_limit));
            outlook.next - 1.0 - pressing.sum::<f64>()
        })
        .collect();
    let mut work = 0.0;
    for &index in order {
        let filling = &mut fillings[index];
        let gain = |pace: u8| {
            let eased = |served: usize| {
                filling.headroom_loss(served, filling.speed_limit)
                    - filling.headroom_loss(served, pace)
            };
            let costs =
                margins.iter().zip(outlooks).enumerate().map(|(served, (margin, outlook))| {
                    cost(margin + eased(served), outlook.deviation)
                });
            value * filling.cpu_fraction * speed_fraction(pace) - costs.sum::<f64>()
        };
        let paces = (0..=FULL_SPEED / SPEED_STEP).map(|steps| steps * SPEED_STEP);
        let best = paces.map(|pace| (gain(pace), pace)).max_by(|a, b| a.0.total_cmp(&b.0));
        let pace = best.map_or(FULL_SPEED, |(_, pace)| pace);
        for (served, margin) in margins.iter_mut().enumerate() {
            *margin += filling.headroom_loss(served, filling.speed_limit)
                - filling.headroom_loss(served, pace);
        }
        filling.speed_limit = pace;
        work += value * filling.cpu_fraction * speed_fraction(pace);
    }
    let costs =
        margins.iter().zip(outlooks).map(|(&margin, outlook)| cost(margin, outlook.deviation));
    work - costs.sum::<f64>()
}

/// Returns the part of its speed that a pace leaves a run.
fn speed_fraction(pace: u8) -> f64 {
    f64::from(pace) / f64::from(FULL_SPEED)
}
