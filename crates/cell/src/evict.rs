//! Eviction of runs with a checkpoint, within a disruption budget.

use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;

use crate::cell::Cell;
use crate::stage::Stage;
use crate::worker::Allocation;
use crate::worker::WorkerId;

/// The window of the eviction budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(600);
/// Seconds of run time that any eviction costs: checkpoint, wait, start.
const OVERHEAD_S: f64 = 5.0;
/// Maximum seconds of work counted as at risk; checkpoints preserve the rest.
const RISK_MAX_S: f64 = 60.0;
/// Checkpoint time, in seconds, above which urgent tasks don't wait for checkpoints: they have to
/// start within 3.3 s, and exchanges take part of that.
const CHECKPOINT_MAX_S: f64 = 2.0;
/// Smoothing factor of the average checkpoint time.
const CHECKPOINT_RATE: f64 = 0.3;
/// Cost of evicting a trial task relative to a batch task.
const TRIAL_FACTOR: f64 = 3.0;

/// The recent evictions.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    evictions: VecDeque<Time>,
    /// The average time from an eviction command to its result, in seconds.
    checkpoint_s: f64,
}

impl Cell {
    /// Returns `true` if the budget allows one more eviction to mitigate interference.
    pub(crate) fn may_evict(&mut self) -> bool {
        while self
            .eviction_budget
            .evictions
            .front()
            .is_some_and(|&time| time + BUDGET_WINDOW < self.now)
        {
            self.eviction_budget.evictions.pop_front();
        }
        let allowed = u64::from(self.policy.eviction_permille) * u64::from(self.totals.runs);
        let least = u64::from(self.policy.eviction_permille > 0);
        (self.eviction_budget.evictions.len() as u64) < (allowed / 1000).max(least)
    }

    /// Starts the eviction of a run; returns `false` if it can't be evicted in its state.
    pub(crate) fn evict(&mut self, id: WorkerId, index: usize, reason: &str) -> bool {
        let allocation = &mut self.workers[id].allocations[index];
        let Some(stage) = allocation.stage.evict() else { return false };
        allocation.stage = stage;
        allocation.command_pending = true;
        allocation.evicted_at = self.now;
        let run = self.run(&self.workers[id].allocations[index]);
        let name = self.workers[id].name.clone();
        self.eviction_budget.evictions.push_back(self.now);
        self.note_run(LogEvent::TaskEvicting, &name, run, reason);
        self.touch(id);
        true
    }

    /// Updates the average checkpoint time with an eviction that was started at `since`.
    pub(crate) fn record_checkpoint_time(&mut self, since: Time) {
        let took = (self.now - since).as_secs_f64();
        let average = self.eviction_budget.checkpoint_s;
        let rate = if average > 0.0 { CHECKPOINT_RATE } else { 1.0 };
        self.eviction_budget.checkpoint_s += rate * (took - average);
    }

    /// Returns `true` if checkpoints take too long for urgent tasks.
    pub(crate) fn are_checkpoints_slow(&self) -> bool {
        self.eviction_budget.checkpoint_s > CHECKPOINT_MAX_S
    }

    /// Stops a run without a checkpoint for urgent tasks that can't wait for one.
    pub(crate) fn stop_without_checkpoint(&mut self, id: WorkerId, index: usize, reason: &str) {
        let allocation = &mut self.workers[id].allocations[index];
        allocation.stage = allocation.stage.stop();
        allocation.command_pending = true;
        let run = self.run(&self.workers[id].allocations[index]);
        let name = self.workers[id].name.clone();
        self.eviction_budget.evictions.push_back(self.now);
        let reason = format!("{reason}; checkpoints take too long, so it starts again");
        self.note_run(LogEvent::TaskEvicting, &name, run, reason);
        self.touch(id);
    }

    /// Returns `true` if a run may be evicted.
    pub(crate) fn is_evictable(&self, allocation: &Allocation) -> bool {
        let job = &self.jobs[allocation.job];
        job.class() != Class::Paying
            && !job.is_urgent()
            && matches!(allocation.stage, Stage::Running(_) | Stage::Throttled(_))
    }

    /// Returns the cost of an eviction in weighted processor seconds.
    pub(crate) fn eviction_cost(&self, allocation: &Allocation) -> f64 {
        let run = (self.now - allocation.since).as_secs_f64().min(RISK_MAX_S);
        let cpu = f64::from(allocation.amount.cpu_milli.max(1)) / 1000.0;
        let factor = match self.jobs[allocation.job].class() {
            Class::Trial => TRIAL_FACTOR,
            Class::Paying | Class::Batch => 1.0,
        };
        factor * cpu * (OVERHEAD_S + run)
    }
}
