//! Admission by class: paying requests are always admitted, trials up to the reserve, and batch up
//! to a larger reserve.

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;

/// Thousandths of the slots that batch leaves free beyond the reserve, so that it is refused before
/// trials are.
const BATCH_MARGIN_PERMILLE: u64 = 100;

/// Use of this entry's share of a pool.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The share, in thousandths of a slot.
    pub slots_milli: u64,
    /// Attempts in flight within the share.
    pub in_flight: u64,
    /// Whether a request of a higher class waits.
    pub has_higher_waiting: bool,
}

/// Returns `true` if a request of `class` may take one more slot.
pub fn admits(class: Class, load: Load, reserve_permille: u16) -> bool {
    let reserve = match class {
        Class::Paying => return true,
        Class::Trial => u64::from(reserve_permille),
        Class::Batch => u64::from(reserve_permille) + BATCH_MARGIN_PERMILLE,
    };
    let open_permille = 1000_u64.saturating_sub(reserve);
    let open_milli = load.slots_milli * open_permille / 1000;
    !load.has_higher_waiting && (load.in_flight + 1) * 1000 <= open_milli
}

/// Returns the code for a request that is shed in favour of others.
pub fn shed(class: Class) -> Code {
    match class {
        Class::Paying => Code::QueueFull,
        Class::Trial => Code::TrialShed,
        Class::Batch => Code::BatchShed,
    }
}
