//! Expiry of the leases by which workers run tasks.
//!
//! A worker runs tasks until `stamp + valid` on its own clock. The owner took `stamp` from a report
//! that it received at `received` on its own clock, and the worker had read its clock before that.
//! So by `received + valid`, plus the maximum clock drift, the lease has expired, however late the
//! grant arrived. The expiry is computed from the time of receipt and never from a time of sending:
//! a pause of the owner can only make `received` later, which lengthens the wait.

use std::time::Duration;

use cowslipchute_base::id::Time;

/// Maximum relative drift of two monotonic clocks, in thousandths.
const DRIFT_PERMILLE: u32 = 20;
/// Margin for the granularity of the clocks and of messages, which carry whole milliseconds.
const GRANULARITY: Duration = Duration::from_millis(100);

/// Returns the time by which a lease has expired whose stamp was received at `received`.
pub(crate) fn expiry(received: Time, valid: Duration) -> Time {
    received + valid + valid * DRIFT_PERMILLE / 1000 + GRANULARITY
}
