//! A run in a worker's inventory, live or ended.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Phase;

use crate::worker::progress::Progress;

/// The way in which a live run is about to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It is evicted after a checkpoint.
    Evict,
    /// It is stopped on command, without a checkpoint.
    Stop,
    /// It fails with an error.
    Fail(String),
}

/// The planned end of a live run, unless it completes before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Planned {
    /// The time of the end.
    pub at: Time,
    /// The way in which it ends.
    pub ending: Ending,
}

/// One run.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// The amount reserved for it, which is zero once it has ended.
    pub amount: Amount,
    /// Its phase.
    pub phase: Phase,
    /// Its speed limit, in thousandths of its processors.
    pub permille: u16,
    /// The progress of its work.
    pub progress: Progress,
    /// Its planned end, if other than by completion.
    pub planned: Option<Planned>,
}

impl Slot {
    /// Returns `true` if the run still occupies its amount.
    pub(super) fn is_live(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping)
    }

    /// Returns `true` if the run is being stopped on command.
    pub(super) fn is_stopping(&self) -> bool {
        self.planned.as_ref().is_some_and(|planned| planned.ending == Ending::Stop)
    }

    /// Returns the time at which the run ends, if it ever does at its current speed.
    pub(super) fn ends_at(&self) -> Option<Time> {
        match (&self.planned, &self.phase) {
            (Some(planned), _) => Some(planned.at),
            (None, Phase::Running) => self.progress.completes_at(),
            _ => None,
        }
    }
}
