//! Task policies under comparison, all with the shipped cell's interface.

use std::sync::Arc;

use cowslipchute_base::id::Time;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::cell::Cell;
use cowslipchute_cell::cell::Settings;
use cowslipchute_cell::event::Event;
use cowslipchute_resource::policy;

use crate::tasks::baseline::Baseline;
use crate::tasks::baseline::Fit;
use crate::tasks::fleet::Fleet;

/// Scheduling policy of one cell.
pub trait Policy {
    /// Processes an event and appends the resulting actions.
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
    /// Returns the time of the next tick, if one is due.
    fn next_due(&self) -> Option<Time>;
}

impl Policy for Cell {
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Cell::step(self, now, event, actions);
    }

    fn next_due(&self) -> Option<Time> {
        Cell::next_due(self)
    }
}

/// Kind of policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The shipped cell.
    Shipped,
    /// The shipped cell with its interference guard off.
    Unguarded,
    /// First fit; evicts only to make room for paying work.
    FirstFit,
    /// Best fit; evicts only to make room for paying work.
    BestFit,
    /// Best fit that also evicts the newest batch or trial task beside a slowed paying task.
    BestFitEvicting,
}

impl Kind {
    /// All policies, the shipped one first.
    pub const ALL: [Kind; 5] =
        [Kind::Shipped, Kind::Unguarded, Kind::FirstFit, Kind::BestFit, Kind::BestFitEvicting];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Shipped => "chosen",
            Kind::Unguarded => "chosen, no guard",
            Kind::FirstFit => "first fit",
            Kind::BestFit => "best fit",
            Kind::BestFitEvicting => "best fit, evicting",
        }
    }

    /// Creates the policy for one cell.
    pub fn open(self, settings: Settings) -> Box<dyn Policy> {
        match self {
            Kind::Shipped | Kind::Unguarded => Box::new(Cell::open(settings)),
            Kind::FirstFit => Box::new(Baseline::open(Fit::First, false)),
            Kind::BestFit => Box::new(Baseline::open(Fit::Best, false)),
            Kind::BestFitEvicting => Box::new(Baseline::open(Fit::Best, true)),
        }
    }

    /// Returns the policy settings for this kind on a deployment.
    pub fn spec(self, fleet: &Fleet) -> Arc<policy::Spec> {
        let guard = self != Kind::Unguarded;
        Arc::new(policy::Spec { guard, ..(fleet.profile)() })
    }
}
