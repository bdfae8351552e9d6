//! Processor time and counts of what a planner did, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_planner::action::Action;
use cowslipchute_planner::planner::Planner;

use crate::cpu_time;

/// Processor time of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Number of calls.
    pub count: u64,
    /// Processor time of all of them.
    pub total: Duration,
    /// Processor time of the longest.
    pub longest: Duration,
}

impl Cost {
    /// Returns the mean processor time of a call.
    pub fn mean(&self) -> Duration {
        self.total / u32::try_from(self.count.max(1)).unwrap_or(u32::MAX)
    }
}

/// Costs by kind of call, and counts of actions and notes.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Costs by kind of call.
    pub costs: BTreeMap<&'static str, Cost>,
    /// Actions by kind, without notes.
    pub actions: BTreeMap<&'static str, u64>,
    /// Notes by event.
    pub notes: BTreeMap<String, u64>,
}

impl Tally {
    /// Runs a call and adds its cost.
    pub fn measure<T>(&mut self, kind: &'static str, call: impl FnOnce() -> T) -> T {
        let started = cpu_time::now();
        let value = call();
        self.add(kind, cpu_time::now().saturating_sub(started));
        value
    }

    /// Runs [`Planner::advance`]; one with a placement pass counts apart.
    pub fn advance(&mut self, planner: &mut Planner, now: Duration, actions: &mut Vec<Action>) {
        let passes = planner.passes();
        let started = cpu_time::now();
        planner.advance(now, actions);
        let elapsed = cpu_time::now().saturating_sub(started);
        let is_pass = planner.passes() > passes;
        self.add(if is_pass { "advance with a pass" } else { "advance without a pass" }, elapsed);
    }

    fn add(&mut self, kind: &'static str, elapsed: Duration) {
        let cost = self.costs.entry(kind).or_default();
        cost.count += 1;
        cost.total += elapsed;
        cost.longest = cost.longest.max(elapsed);
    }

    /// Counts an action.
    pub fn count(&mut self, action: &Action) {
        let kind = match action {
            Action::Start { .. } => "start",
            Action::Stop { .. } => "stop",
            Action::Throttle { .. } => "throttle",
            Action::Heartbeat { .. } => "heartbeat",
            Action::Write { .. } => "write",
            Action::Note(note) => {
                *self.notes.entry(format!("{:?}", note.event)).or_default() += 1;
                return;
            }
            _ => "other",
        };
        *self.actions.entry(kind).or_default() += 1;
    }

    /// Returns the processor time of all calls.
    pub fn total(&self) -> Duration {
        self.costs.values().map(|cost| cost.total).sum()
    }
}
