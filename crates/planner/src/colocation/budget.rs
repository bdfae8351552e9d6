//! Budget of a worker for best-effort work over the next seconds, and the speed limits that keep
//! to it.
//!
//! This answers loads that swing with a period of some seconds: much best-effort work was placed on
//! workers where it had to be throttled seconds later, and speed limits followed noise. Each
//! latency-critical task has a budget at each horizon of its forecast: the headroom above its
//! target, less a safety margin of some deviations of forecasts as large as they were lately. A
//! best-effort image uses up its learnt weight times the CPU that it uses. A task is placed if its
//! work is worth more than what it exceeds the budgets by over its whole run, and a speed limit is
//! changed if that is worth a command.

use cowslipchute_ports::executor::Run;
use smallvec::SmallVec;

use crate::colocation::forecast_error::Curve;
use crate::colocation::forecast_error::HORIZON_COUNT;
use crate::colocation::risk;
use crate::workers::host::FULL_SPEED;

/// Speed limits are multiples of this, in percent, so that small changes need no command.
pub(crate) const SPEED_STEP: u8 = 20;
/// Deviations of the forecast that a task's budget stays below its headroom.
const SAFETY_DEVIATIONS: f64 = 1.0;
/// Cost of each unit of headroom beyond the budget, in the CPU of the whole worker.
const OVERRUN_COST: f64 = 0.5;
/// Cost of a changed speed limit, in seconds of the CPU of the whole worker. It keeps out changes
/// that only follow noise.
const COMMAND_COST: f64 = 0.03;
/// Weights of the horizons for a lower speed limit: it takes effect before the next measurement, so
/// that what comes later can wait for a better forecast.
const LOWER_WEIGHTS: Weights = [0.6, 0.4, 0.0, 0.0];
/// Weights of the horizons for a higher speed limit, which isn't worth a command if it has to be
/// lowered again soon.
const RAISE_WEIGHTS: Weights = [0.3, 0.3, 0.2, 0.2];

type Weights = [f64; HORIZON_COUNT];

/// Returns the cost of a latency-critical task whose headroom is expected to be `margin` above its
/// target, with the standard deviation `deviation`, when its budget is kept.
pub(crate) fn cost(margin: f64, deviation: f64) -> f64 {
    let overrun = SAFETY_DEVIATIONS * deviation - margin;
    risk::cost(margin, deviation) + OVERRUN_COST * overrun.max(0.0)
}

/// A best-effort run while its speed limit is computed.
#[derive(Clone, Debug)]
pub(crate) struct BestEffort {
    pub(crate) run: Run,
    /// Fraction of the worker's CPU that it uses at full speed.
    pub(crate) cpu_fraction: f64,
    /// Its speed limit, in percent.
    pub(crate) speed_limit: u8,
    /// Weight on each latency-critical task: the headroom loss if it used all of the worker's CPU.
    pub(crate) weights: SmallVec<[f64; 8]>,
}

impl BestEffort {
    /// Returns the headroom loss that it causes for a latency-critical task at a speed limit.
    pub(crate) fn headroom_loss(&self, index: usize, limit: u8) -> f64 {
        self.weights[index] * self.cpu_fraction * speed_fraction(limit)
    }

    pub(crate) fn max_weight(&self) -> f64 {
        self.weights.iter().copied().fold(0.0, f64::max)
    }
}

/// Returns a speed limit as a fraction of full speed.
pub(crate) fn speed_fraction(limit: u8) -> f64 {
    f64::from(limit) / f64::from(FULL_SPEED)
}

/// Forecasts of a worker's latency-critical tasks while speed limits are chosen.
struct Outlook<'a> {
    curves: &'a [Curve],
    /// Value of best-effort work.
    value: f64,
    /// Headroom loss of each task at the current choice.
    losses: SmallVec<[f64; 8]>,
}

impl Outlook<'_> {
    /// Returns the cost per second with each task's loss changed by a run's new limit.
    fn cost(&self, run: &BestEffort, limit: u8, weights: &Weights) -> f64 {
        let tasks = self.curves.iter().enumerate().map(|(index, curve)| {
            let change =
                run.headroom_loss(index, limit) - run.headroom_loss(index, run.speed_limit);
            curve_cost(curve, self.losses[index] + change, weights)
        });
        tasks.sum()
    }

    /// Returns what a run at a limit is worth more than at its present one.
    fn gain(&self, run: &BestEffort, limit: u8, weights: &Weights) -> f64 {
        let speed = speed_fraction(limit) - speed_fraction(run.speed_limit);
        let relief = self.cost(run, run.speed_limit, weights) - self.cost(run, limit, weights);
        self.value * run.cpu_fraction * speed + relief
    }

    /// Returns the limit at which a run is worth the most, where a limit that differs from `sent`
    /// costs a command.
    fn best_limit(&self, run: &BestEffort, sent: u8) -> u8 {
        let command = |limit| if limit == sent { 0.0 } else { COMMAND_COST };
        let present = run.speed_limit;
        let limits = (0..=FULL_SPEED / SPEED_STEP).map(|steps| steps * SPEED_STEP);
        let gains = limits.filter(|&limit| limit != present).map(|limit| {
            let near = self.gain(run, limit, &LOWER_WEIGHTS);
            let gain = if limit > sent && limit > present {
                near.min(self.gain(run, limit, &RAISE_WEIGHTS))
            } else {
                near
            };
            (gain - command(limit) + command(present), limit)
        });
        let best = gains.max_by(|a, b| a.0.total_cmp(&b.0));
        best.filter(|(gain, _)| *gain > 0.0).map_or(present, |(_, limit)| limit)
    }

    /// Sets one run after the other to its best limit. Returns the net value.
    fn improve(&mut self, runs: &mut [BestEffort], order: &[usize], sent: &[u8]) -> f64 {
        for &at in order {
            let limit = self.best_limit(&runs[at], sent[at]);
            let run = &mut runs[at];
            for (index, loss) in self.losses.iter_mut().enumerate() {
                *loss +=
                    run.headroom_loss(index, limit) - run.headroom_loss(index, run.speed_limit);
            }
            run.speed_limit = limit;
        }
        let work = runs.iter().map(|run| run.cpu_fraction * speed_fraction(run.speed_limit));
        let costs = self.curves.iter().zip(&self.losses);
        let costs = costs.map(|(curve, loss)| curve_cost(curve, *loss, &LOWER_WEIGHTS));
        let commands = runs.iter().zip(sent).filter(|(run, sent)| run.speed_limit != **sent);
        self.value * work.sum::<f64>() - costs.sum::<f64>() - COMMAND_COST * commands.count() as f64
    }
}

fn curve_cost(curve: &Curve, loss: f64, weights: &Weights) -> f64 {
    let points = curve.iter().zip(weights).filter(|(_, weight)| **weight > 0.0);
    points.map(|(point, weight)| weight * cost(point.level - 1.0 - loss, point.deviation)).sum()
}

fn losses(runs: &[BestEffort], tasks: usize) -> SmallVec<[f64; 8]> {
    let loss = |index| runs.iter().map(|run| run.headroom_loss(index, run.speed_limit)).sum();
    (0..tasks).map(loss).collect()
}

/// Chooses the speed limits of a worker's best-effort runs, which hold the limits sent last.
///
/// Runs are adjusted one after the other, once from the present limits, where those that interfere
/// most come first, and once from a standstill, where those that interfere least come first.
/// Throttling one of many runs that interfere together helps no task, and the second way finds
/// solutions that the first can't.
pub(crate) fn choose_speed_limits(runs: &mut [BestEffort], curves: &[Curve], value: f64) {
    let sent: SmallVec<[u8; 16]> = runs.iter().map(|run| run.speed_limit).collect();
    let mut outlook = Outlook { curves, value, losses: losses(runs, curves.len()) };
    if is_present_best(runs, &outlook) {
        return;
    }
    let mut order: SmallVec<[usize; 16]> = (0..runs.len()).collect();
    order.sort_by(|&a, &b| runs[b].max_weight().total_cmp(&runs[a].max_weight()));
    let from_present = outlook.improve(runs, &order, &sent);
    let chosen: SmallVec<[u8; 16]> = runs.iter().map(|run| run.speed_limit).collect();
    runs.iter_mut().for_each(|run| run.speed_limit = 0);
    outlook.losses = losses(runs, curves.len());
    order.reverse();
    if from_present >= outlook.improve(runs, &order, &sent) {
        for (run, limit) in runs.iter_mut().zip(chosen) {
            run.speed_limit = limit;
        }
    }
}

/// Returns `true` if all runs are at full speed and all that a lower limit could save is less than
/// a command costs, so that no search is needed. On most workers no task is ever near its target.
fn is_present_best(runs: &[BestEffort], outlook: &Outlook<'_>) -> bool {
    let costs = outlook.curves.iter().zip(&outlook.losses);
    let costs = costs.map(|(curve, loss)| curve_cost(curve, *loss, &LOWER_WEIGHTS));
    runs.iter().all(|run| run.speed_limit == FULL_SPEED) && costs.sum::<f64>() <= COMMAND_COST
}
