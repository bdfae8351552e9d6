//! What it costs that a task which serves may come over its target, against the work of those that
//! fill.
//!
//! Both are counted in the processors of a whole worker. Slowing fills down for a task whose tail is
//! rough costs work for certain and saves a part of a chance; so how much of its headroom a task is
//! to keep can't be a fixed figure. Where a fill presses hardly on it, keeping some costs more than
//! the seconds over its target that are saved; where one presses hard, a lot is kept for almost
//! nothing.

/// What a second over its target costs, as a part of what the worker's processors do in a second
/// for tasks that fill.
const VIOLATION_COST: f64 = 0.3;
/// What is left of the worth of a fill's work while none waits: it is done a little later and still
/// in time.
const IDLE_VALUE: f64 = 0.4;
/// How much more a fill's work is worth for each second of the whole cell's work that waits: what
/// is done later then makes all that waits later.
const BACKLOG_VALUE: f64 = 1.0;
/// Most that a fill's work is worth.
const MAX_VALUE: f64 = 3.0;

/// Returns what a fill's work is worth while so many seconds of the cell's work wait.
pub(crate) fn best_effort_value(backlog: f64) -> f64 {
    if backlog <= 0.0 {
        return IDLE_VALUE;
    }
    (1.0 + BACKLOG_VALUE * backlog).min(MAX_VALUE)
}

/// What each part of a headroom below the target costs beyond the chance: more than any work is
/// worth, since paying tasks are to be slowed by none that fills.
const EXCESS_COST: f64 = 0.5;
/// Slope of the logistic curve that lies nearest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;
/// Beyond so many deviations nothing is at stake.
const MAX_DEVIATIONS: f64 = 3.5;

/// Returns what it costs that a serving task's headroom is expected to be this far above its target,
/// with this standard deviation.
pub(crate) fn cost(margin: f64, deviation: f64) -> f64 {
    VIOLATION_COST * violation_probability(margin, deviation) + EXCESS_COST * (-margin).max(0.0)
}

/// Returns the chance that it is below the target in truth.
fn violation_probability(margin: f64, deviation: f64) -> f64 {
    if margin > MAX_DEVIATIONS * deviation {
        return 0.0;
    }
    1.0 / (1.0 + (LOGISTIC_SLOPE * margin / deviation).exp())
}
