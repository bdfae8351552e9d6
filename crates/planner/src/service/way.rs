//! Ways by which service tasks come to be placed.

/// How a service task came to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Way {
    /// On the fraction of the cell that service tasks held ([`crate::capacity::quota`]).
    Quota,
    /// On capacity beyond the reserve for short tasks.
    BeyondReserve,
    /// On capacity that was free through all windows ([`crate::capacity::idle`]).
    Windows,
    /// On free capacity for two that was there for much of the time.
    Pair,
    /// Beside capacity that an observer sees as free ([`crate::service::overdue`]).
    Overdue,
    /// On capacity that short jobs have yielded ([`crate::service::reclaim`]).
    Reclaimed,
    /// On a worker that was reserved for it.
    Reservation,
    /// On the worker that it was pinned to.
    Pin,
    /// With its gang.
    Gang,
}

impl Way {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Way::Quota => "quota",
            Way::BeyondReserve => "beyond the reserve",
            Way::Windows => "free through all windows",
            Way::Pair => "frequent pair",
            Way::Overdue => "overdue beside free capacity",
            Way::Reclaimed => "reclaimed from short jobs",
            Way::Reservation => "reservation",
            Way::Pin => "pin",
            Way::Gang => "gang",
        }
    }
}
