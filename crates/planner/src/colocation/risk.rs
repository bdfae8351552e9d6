//! Cost of the risk that a latency-critical task violates its target, against the value of
//! best-effort work.
//!
//! The unit of both is the CPU of a whole worker. Throttling for a task with a noisy tail latency
//! is certain to cost work and only lowers a risk, so the headroom that a task keeps can't be a
//! fixed value. Where a best-effort task hardly interferes, keeping headroom costs more than the
//! seconds of violation that it saves; where one interferes strongly, much headroom costs almost
//! nothing.

/// Cost of a second of violation, as a fraction of the best-effort work that the worker's CPU does
/// in a second.
const VIOLATION_COST: f64 = 0.3;
/// Value of best-effort work while none waits: it finishes a little later and still in time.
const IDLE_VALUE: f64 = 0.4;
/// Increase of the value of best-effort work for each second of the whole cell's work that waits:
/// work done later delays everything that waits.
const BACKLOG_VALUE: f64 = 1.0;
/// Maximum value of best-effort work.
const MAX_VALUE: f64 = 3.0;

/// Returns the value of best-effort work while a backlog waits, in seconds of the whole cell's
/// work.
pub(crate) fn best_effort_value(backlog: f64) -> f64 {
    if backlog <= 0.0 {
        return IDLE_VALUE;
    }
    (1.0 + BACKLOG_VALUE * backlog).min(MAX_VALUE)
}

/// Cost of each unit of headroom below the target, beyond the cost of the probability. It is more
/// than any work is worth, since best-effort tasks must not slow paying tasks.
const EXCESS_COST: f64 = 0.5;
/// Slope of the logistic curve that is closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;
/// The risk is taken as 0 beyond this many standard deviations.
const MAX_DEVIATIONS: f64 = 3.5;

/// Returns the cost of a latency-critical task whose headroom is expected to be `margin` above its
/// target, with the standard deviation `deviation`.
pub(crate) fn cost(margin: f64, deviation: f64) -> f64 {
    VIOLATION_COST * violation_probability(margin, deviation) + EXCESS_COST * (-margin).max(0.0)
}

/// Returns the probability that the true headroom is below the target.
fn violation_probability(margin: f64, deviation: f64) -> f64 {
    if margin > MAX_DEVIATIONS * deviation {
        return 0.0;
    }
    1.0 / (1.0 + (LOGISTIC_SLOPE * margin / deviation).exp())
}
