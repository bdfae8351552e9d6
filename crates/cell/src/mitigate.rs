//! Mitigation of interference with paying tasks: throttles their neighbours and evicts as a last
//! resort.
//!
//! Measurements lag, so after each round the next one waits for a measurement taken since then.
//! Throttles are lifted step by step and only while the model predicts no excessive slowdown.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::interference::Measured;
use crate::job::JobId;
use crate::measurement::NO_SLOWDOWN_PERMILLE;
use crate::measurement::Throttle;
use crate::stage::FULL_PERMILLE;
use crate::stage::Stage;
use crate::worker::Allocation;
use crate::worker::WorkerId;

/// Minimum share of its processors that a throttled run keeps, in thousandths.
const SHARE_MIN_PERMILLE: u16 = 250;
/// Time until a command affects measurements.
const COMMAND_LAG: Duration = Duration::from_millis(500);
/// Number of consecutive measurements above the limit that start a mitigation.
const OVER_LIMIT_MIN: u32 = 2;
/// Multiple of the allowed increase of run time above which one measurement starts a mitigation.
const SEVERE_FACTOR: u32 = 3;
/// Time without a mitigation before throttles are lifted by one step.
const UNTHROTTLE_DELAY: Duration = Duration::from_secs(20);
/// Maximum age of a measurement that is used for placement.
const MEASUREMENT_AGE_MAX: Duration = Duration::from_secs(60);
/// Targeted reduction as a multiple of the excess slowdown: load shifts while measurements lag.
const REDUCTION_FACTOR: f32 = 1.5;
/// Minimum estimated effect, in thousandths of slowdown, for which a run is throttled or evicted.
const EFFECT_MIN_PERMILLE: f32 = 1.0;
/// Excess slowdown, in thousandths, from which an eviction is worth its cost at equal weights.
const EVICT_EXCESS_PERMILLE: f64 = 5.0;

/// Minimum fraction of the allowed slowdown up to which trial and batch tasks are placed, whatever
/// the policy's weights of latency and throughput.
const LIMIT_PART_MIN: f32 = 0.7;

/// Number of runs that a job may always have before its effect on a paying task is measured.
const PROBES_MIN: u32 = 4;
/// Divisor of a job's number of tasks; the quotient replaces [`PROBES_MIN`] if it is larger.
const PROBES_DIVISOR: u32 = 20;

/// A paying job with a run that is slowed too much.
#[derive(Clone, Copy, Debug)]
struct Victim {
    job: JobId,
    /// The excess over the allowed slowdown, in thousandths.
    excess: u32,
    /// The time of the measurement; runs that started later did not contribute to it.
    at: Time,
}

impl Cell {
    /// Mitigates the worst excess slowdown on a worker, or lifts throttles if there is none.
    pub(crate) fn mitigate(&mut self, id: WorkerId) {
        if !self.policy.guard || self.workers[id].allocations.is_empty() {
            return;
        }
        match self.worst_victim(id) {
            Some(victim) => self.reduce_slowdown(id, victim),
            None => self.relax_throttles(id),
        }
    }

    fn worst_victim(&self, id: WorkerId) -> Option<Victim> {
        let worker = &self.workers[id];
        let allowed = self.policy.slowdown_permille;
        let severe =
            NO_SLOWDOWN_PERMILLE + SEVERE_FACTOR * allowed.saturating_sub(NO_SLOWDOWN_PERMILLE);
        let mut worst: Option<Victim> = None;
        for allocation in &worker.allocations {
            let measurement = allocation.measurement;
            let is_confirmed =
                measurement.over_limit >= OVER_LIMIT_MIN || measurement.slowdown > severe;
            let is_new =
                measurement.at > worker.mitigated + COMMAND_LAG || worker.mitigated == Time::ZERO;
            let excess = measurement.slowdown.saturating_sub(allowed);
            if excess > 0
                && is_confirmed
                && is_new
                && worst.is_none_or(|worst| excess > worst.excess)
            {
                worst = Some(Victim { job: allocation.job, excess, at: measurement.at });
            }
        }
        worst
    }

    /// Throttles the runs with the largest effect until the predicted reduction is sufficient;
    /// evicts one run if none can be throttled.
    fn reduce_slowdown(&mut self, id: WorkerId, victim: Victim) {
        let mut remaining = victim.excess as f32 * REDUCTION_FACTOR;
        let mut has_acted = false;
        while remaining > 0.0 {
            let Some((index, effect)) = self.strongest_neighbour(id, victim) else { break };
            let before = self.workers[id].allocations[index].stage.permille();
            let after = (before / 2).max(SHARE_MIN_PERMILLE);
            remaining -= effect * f32::from(before - after) / f32::from(before);
            self.throttle(id, index, after, "it slows a paying task");
            has_acted = true;
        }
        if !has_acted {
            has_acted = self.evict_for(id, victim);
        }
        if has_acted {
            self.workers[id].mitigated = self.now;
        }
    }

    /// Returns the current effect of a run on a paying job's slowdown, in thousandths.
    fn effect_of(&self, victim: JobId, allocation: &Allocation) -> f32 {
        let class = self.jobs[allocation.job].class();
        let share = f32::from(allocation.stage.permille()) / f32::from(FULL_PERMILLE);
        self.interference.effect(victim, allocation.job, class) * share
    }

    fn strongest_neighbour(&self, id: WorkerId, victim: Victim) -> Option<(usize, f32)> {
        let mut strongest: Option<(usize, f32)> = None;
        for (index, allocation) in self.workers[id].allocations.iter().enumerate() {
            let was_present = allocation.since <= victim.at;
            if !was_present
                || !self.is_evictable(allocation)
                || allocation.stage.permille() <= SHARE_MIN_PERMILLE
            {
                continue;
            }
            let effect = self.effect_of(victim.job, allocation);
            if effect >= EFFECT_MIN_PERMILLE
                && strongest.is_none_or(|(_, largest)| effect > largest)
            {
                strongest = Some((index, effect));
            }
        }
        strongest
    }

    /// Evicts the run with the lowest cost for its effect, if the policy's weights justify an
    /// eviction.
    fn evict_for(&mut self, id: WorkerId, victim: Victim) -> bool {
        let weight = |weight: f64| weight.max(f64::EPSILON);
        let weight_ratio = weight(self.policy.eviction_weight) / weight(self.policy.latency_weight);
        if f64::from(victim.excess) < EVICT_EXCESS_PERMILLE * weight_ratio || !self.may_evict() {
            return false;
        }
        let mut best: Option<(f64, usize)> = None;
        for (index, allocation) in self.workers[id].allocations.iter().enumerate() {
            let effect = self.effect_of(victim.job, allocation);
            let was_present = allocation.since <= victim.at;
            if !was_present || !self.is_evictable(allocation) || effect < EFFECT_MIN_PERMILLE {
                continue;
            }
            let cost = self.eviction_cost(allocation) / f64::from(effect);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        let Some((_, index)) = best else { return false };
        self.evict(id, index, "throttling it does not protect a paying task")
    }

    fn throttle(&mut self, id: WorkerId, index: usize, permille: u16, reason: &str) {
        let now = self.now;
        let allocation = &mut self.workers[id].allocations[index];
        let Some(stage) = allocation.stage.throttle(permille) else { return };
        allocation.previous_throttle =
            Some(Throttle { permille: allocation.stage.permille(), until: now });
        allocation.stage = stage;
        allocation.command_pending = true;
        let number = match stage {
            Stage::Throttled(_) => LogEvent::TaskThrottled,
            _ => LogEvent::TaskUnthrottled,
        };
        let run = self.run(&self.workers[id].allocations[index]);
        let name = self.workers[id].name.clone();
        self.note_run(number, &name, run, format!("{reason}; {permille} thousandths"));
        self.touch(id);
    }

    /// Lifts throttles by one step, least predicted slowdown first, once no mitigation was needed
    /// for a while.
    fn relax_throttles(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let is_throttled =
            |allocation: &Allocation| matches!(allocation.stage, Stage::Throttled(_));
        if worker.mitigated + UNTHROTTLE_DELAY > self.now
            || !worker.allocations.iter().any(is_throttled)
        {
            return;
        }
        let throttled = worker
            .allocations
            .iter()
            .enumerate()
            .filter(|(_, allocation)| is_throttled(allocation));
        let mut order: SmallVec<[(f32, usize); 16]> = throttled
            .map(|(index, allocation)| (self.unthrottle_effect(id, allocation), index))
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut headroom = self.headroom(id);
        for (added, index) in order {
            if added > headroom {
                break;
            }
            headroom -= added;
            let permille =
                (self.workers[id].allocations[index].stage.permille() * 2).min(FULL_PERMILLE);
            self.throttle(id, index, permille, "paying tasks are fast");
            self.workers[id].mitigated = self.now;
        }
    }

    /// Returns the remaining slowdown allowed to the slowest paying task of a worker, in
    /// thousandths.
    fn headroom(&self, id: WorkerId) -> f32 {
        let slowdowns = self.workers[id]
            .allocations
            .iter()
            .map(|allocation| allocation.measurement.slowdown.max(NO_SLOWDOWN_PERMILLE));
        let slowest = slowdowns.max().unwrap_or(NO_SLOWDOWN_PERMILLE);
        self.policy.slowdown_permille.saturating_sub(slowest) as f32
    }

    /// Returns the slowdown, in thousandths, that lifting a run's throttle by one step adds to the
    /// paying task that it affects most.
    fn unthrottle_effect(&self, id: WorkerId, allocation: &Allocation) -> f32 {
        let paying = self.workers[id]
            .allocations
            .iter()
            .filter(|other| self.jobs[other.job].class() == Class::Paying);
        paying.map(|other| self.effect_of(other.job, allocation)).fold(0.0, f32::max)
    }

    /// Returns the slowdown, in thousandths, up to which trial and batch tasks are placed: a policy
    /// that weighs latency above throughput keeps a margin, since load shifts while measurements
    /// lag.
    fn slowdown_limit(&self) -> f32 {
        let policy = &self.policy;
        let allowed = policy.slowdown_permille.saturating_sub(NO_SLOWDOWN_PERMILLE) as f32;
        let weight_ratio = policy.throughput_weight / policy.latency_weight.max(f64::EPSILON);
        allowed * (weight_ratio as f32).clamp(LIMIT_PART_MIN, 1.0)
    }

    /// Returns `true` if further runs of a job have to wait until its effect on a paying task is
    /// measured, so that a harmful job is detected before it runs on many workers. None waits where
    /// no measurement is expected.
    fn must_wait_for_measurement(&self, allocation: &Allocation, job: JobId) -> bool {
        let entry = &self.jobs[job];
        let probes = entry.tasks() / PROBES_DIVISOR;
        let is_expected =
            allocation.measurement.at.max(allocation.since) + MEASUREMENT_AGE_MAX > self.now;
        entry.runs >= probes.max(PROBES_MIN)
            && is_expected
            && !self.jobs[allocation.job].is_urgent()
            && !self.interference.is_measured(allocation.job, job)
    }

    /// Requeues jobs that waited for a first measurement.
    pub(crate) fn requeue_measured(&mut self, measured: &Measured) {
        for &job in measured {
            if self.jobs.get(job).is_some_and(|job| job.queue_item.is_some()) {
                self.enqueue(job);
            }
        }
    }

    /// Returns the predicted slowdown, in thousandths, that a new run would cause to the paying
    /// tasks of a worker and, if it is paying itself, suffer there; `None` if a paying task would
    /// become too slow.
    pub(crate) fn risk(&self, id: WorkerId, job: JobId) -> Option<f32> {
        if !self.policy.guard {
            return Some(0.0);
        }
        let class = self.jobs[job].class();
        let limit = self.slowdown_limit();
        let mut sum = 0.0;
        for allocation in &self.workers[id].allocations {
            let other = self.jobs[allocation.job].class();
            if other == Class::Paying {
                let added = self.interference.effect(allocation.job, job, class);
                let is_fresh = allocation.measurement.slowdown > 0
                    && allocation.measurement.at + MEASUREMENT_AGE_MAX > self.now;
                let current = if is_fresh {
                    allocation.measurement.slowdown.saturating_sub(NO_SLOWDOWN_PERMILLE)
                } else {
                    0
                };
                if class != Class::Paying && current as f32 + added > limit {
                    return None;
                }
                if class != Class::Paying && self.must_wait_for_measurement(allocation, job) {
                    return None;
                }
                sum += added;
            }
            if class == Class::Paying {
                sum += self.interference.effect(job, allocation.job, other);
            }
        }
        Some(sum)
    }
}
