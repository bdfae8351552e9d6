//! Lifecycles of runs and of cell ownership, as types: only the transitions defined here compile.
//!
//! See the state diagrams in `docs/design/tasks.md`.

use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::Time;

use crate::event::Former;

/// The run was placed, but the worker has not confirmed it, so it may be running.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Starting;

/// The worker has confirmed that the run is active.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running;

/// The run is limited to a share of its processors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throttled {
    /// The share in thousandths.
    pub(crate) permille: u16,
}

/// The run is to be checkpointed and ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evicting;

/// The run is to be ended without a checkpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping;

impl Starting {
    fn confirm(self) -> Running {
        Running
    }

    fn stop(self) -> Stopping {
        Stopping
    }
}

impl Running {
    fn throttle(self, permille: u16) -> Throttled {
        Throttled { permille }
    }

    fn evict(self) -> Evicting {
        Evicting
    }

    fn stop(self) -> Stopping {
        Stopping
    }
}

impl Throttled {
    fn restore(self) -> Running {
        Running
    }

    fn evict(self) -> Evicting {
        Evicting
    }

    fn stop(self) -> Stopping {
        Stopping
    }
}

impl Evicting {
    fn stop(self) -> Stopping {
        Stopping
    }
}

/// The stage of a run's lifecycle as intended by the owner.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    Starting(Starting),
    Running(Running),
    Throttled(Throttled),
    Evicting(Evicting),
    Stopping(Stopping),
}

impl Stage {
    /// Records that the worker has confirmed the run.
    pub(crate) fn confirm(self) -> Stage {
        match self {
            Stage::Starting(starting) => Stage::Running(starting.confirm()),
            other => other,
        }
    }

    /// Ends the run without a checkpoint, which overrides a checkpoint in progress.
    pub(crate) fn stop(self) -> Stage {
        Stage::Stopping(match self {
            Stage::Starting(starting) => starting.stop(),
            Stage::Running(running) => running.stop(),
            Stage::Throttled(throttled) => throttled.stop(),
            Stage::Evicting(evicting) => evicting.stop(),
            Stage::Stopping(stopping) => stopping,
        })
    }

    /// Checkpoints and ends the run; returns `None` if it can't be evicted in this stage.
    pub(crate) fn evict(self) -> Option<Stage> {
        match self {
            Stage::Running(running) => Some(Stage::Evicting(running.evict())),
            Stage::Throttled(throttled) => Some(Stage::Evicting(throttled.evict())),
            Stage::Starting(_) | Stage::Evicting(_) | Stage::Stopping(_) => None,
        }
    }

    /// Sets the run's share of its processors; returns `None` if it can't be throttled in this
    /// stage.
    pub(crate) fn throttle(self, permille: u16) -> Option<Stage> {
        let running = match self {
            Stage::Running(running) => running,
            Stage::Throttled(throttled) => throttled.restore(),
            Stage::Starting(_) | Stage::Evicting(_) | Stage::Stopping(_) => return None,
        };
        if permille >= FULL_PERMILLE {
            return Some(Stage::Running(running));
        }
        Some(Stage::Throttled(running.throttle(permille)))
    }

    /// Returns `true` if the run is to end.
    pub(crate) fn is_ending(self) -> bool {
        matches!(self, Stage::Evicting(_) | Stage::Stopping(_))
    }

    /// Returns the intended share of the run's processors, in thousandths.
    pub(crate) fn permille(self) -> u16 {
        match self {
            Stage::Throttled(throttled) => throttled.permille,
            _ => FULL_PERMILLE,
        }
    }
}

/// The share, in thousandths, of a run that is not throttled.
pub(crate) const FULL_PERMILLE: u16 = 1000;

/// We don't own the cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unowned;

/// We own the cell, but a worker may still have runs of a previous owner that we don't know of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fencing {
    pub(crate) epoch: Epoch,
    pub(crate) since: Time,
    pub(crate) former: Former,
}

/// We own the cell, and every run in it is known or certain to have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ready {
    pub(crate) epoch: Epoch,
}

impl Unowned {
    pub(crate) fn acquire(self, epoch: Epoch, since: Time, former: Former) -> Fencing {
        Fencing { epoch, since, former }
    }
}

impl Fencing {
    pub(crate) fn finish(self) -> Ready {
        Ready { epoch: self.epoch }
    }
}

/// The ownership state of the cell.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Ownership {
    Unowned(Unowned),
    Fencing(Fencing),
    Ready(Ready),
}

impl Ownership {
    /// Returns the epoch of our ownership, if we own the cell.
    pub(crate) fn epoch(self) -> Option<Epoch> {
        match self {
            Ownership::Unowned(_) => None,
            Ownership::Fencing(fencing) => Some(fencing.epoch),
            Ownership::Ready(ready) => Some(ready.epoch),
        }
    }

    pub(crate) fn is_ready(self) -> bool {
        matches!(self, Ownership::Ready(_))
    }
}
