//! Value of a job relative to its work.

/// Fraction of a job's value that doesn't depend on its size (the users' page on payoff).
const FIXED_VALUE: f64 = 0.3;
/// Minimum work of a job in core-seconds; smaller jobs count as this.
pub const MIN_WORK: f64 = 0.5;

/// Returns the value of a job for each remaining core-second, in units of the value of a job of its
/// queue with the mean work. All arguments are core-seconds.
pub fn density(work: f64, mean_work: f64, remaining_work: f64) -> f64 {
    let work = work.max(MIN_WORK);
    let mean_work = mean_work.max(MIN_WORK);
    let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * work / mean_work;
    value / remaining_work.max(MIN_WORK)
}
