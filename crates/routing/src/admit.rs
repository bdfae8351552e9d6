//! Which class may take a slot: paying requests always, trials up to the reserve, batch up to a
//! larger one.

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;

/// Thousandths of the slots that batch leaves free beyond the reserve, so that it gives way to
/// trials before trials give way to paying requests.
const BATCH_MARGIN_PERMILLE: u64 = 100;

/// How far this entry's share of a pool is taken.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The share, in thousandths of a slot.
    pub slots_milli: u64,
    /// Attempts in flight there.
    pub in_flight: u64,
    /// Whether a request of an earlier class waits.
    pub has_higher_waiting: bool,
}

/// Tells whether a request of a class may take one more slot.
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

/// Returns the code for a request of a class that is refused so that others are served.
pub fn shed(class: Class) -> Code {
    match class {
        Class::Paying => Code::QueueFull,
        Class::Trial => Code::TrialShed,
        Class::Batch => Code::BatchShed,
    }
}
