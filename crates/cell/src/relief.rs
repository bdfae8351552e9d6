//! Mitigation of interference with paying tasks: throttles their neighbours and evicts as a last
//! resort.
//!
//! Measurements lag, so after each round the next one waits for a measurement taken since then.
//! Throttles are lifted step by step and only while the model predicts no excessive slowdown.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id::Time;
use smallvec::SmallVec;

use crate::cell::Cell;
use crate::interfere::Met;
use crate::job::JobId;
use crate::life::FULL_PERMILLE;
use crate::life::Life;
use crate::usage::ALONE;
use crate::usage::Former;
use crate::worker::Hold;
use crate::worker::WorkerId;

/// Minimum share of its processors that a throttled run keeps, in thousandths.
const SHARE_MIN: u16 = 250;
/// Time until a command affects measurements.
const SETTLE: Duration = Duration::from_millis(500);
/// Number of consecutive measurements above the limit that start a mitigation.
const OVER_MIN: u32 = 2;
/// Multiple of the allowed increase of run time above which one measurement starts a mitigation.
const SEVERE: u32 = 3;
/// Time without a mitigation before throttles are lifted by one step.
const CALM: Duration = Duration::from_secs(20);
/// Maximum age of a measurement that is used for placement.
const FRESH: Duration = Duration::from_secs(60);
/// Targeted reduction as a multiple of the excess slowdown: load shifts while measurements lag.
const MARGIN: f32 = 1.5;
/// Minimum estimated effect, in thousandths of slowdown, for which a run is throttled or evicted.
const BLAME_MIN: f32 = 1.0;
/// Excess slowdown, in thousandths, from which an eviction is worth its cost at equal weights.
const EVICT_OVER: f64 = 5.0;

/// Minimum part of the allowed slowdown up to which trial and batch tasks are placed, however far
/// the policy weighs latency above throughput.
const FILL_MIN: f32 = 0.7;

/// Minimum number of a job's runs that may start beside paying tasks that it was not measured with.
const PROBES_MIN: u32 = 4;
/// Divisor of a job's number of tasks that gives the same limit for large jobs.
const PROBES_PART: u32 = 20;

/// A paying job with a run that is slowed too much.
#[derive(Clone, Copy, Debug)]
struct Victim {
    job: JobId,
    /// The excess over the allowed slowdown, in thousandths.
    over: u32,
    /// The time of the measurement; runs that started later did not contribute to it.
    at: Time,
}

impl Cell {
    /// Mitigates the worst excess slowdown on a worker, or lifts throttles if there is none.
    pub(crate) fn relieve(&mut self, id: WorkerId) {
        if !self.policy.guard || self.workers[id].holds.is_empty() {
            return;
        }
        match self.victim(id) {
            Some(victim) => self.press(id, victim),
            None => self.ease(id),
        }
    }

    fn victim(&self, id: WorkerId) -> Option<Victim> {
        let worker = &self.workers[id];
        let allowed = self.policy.slowdown_permille;
        let severe = ALONE + SEVERE * allowed.saturating_sub(ALONE);
        let mut worst: Option<Victim> = None;
        for hold in &worker.holds {
            let speed = hold.speed;
            let counts = speed.over >= OVER_MIN || speed.slowdown > severe;
            let is_new = speed.at > worker.relieved + SETTLE || worker.relieved == Time::ZERO;
            let over = speed.slowdown.saturating_sub(allowed);
            if over > 0 && counts && is_new && worst.is_none_or(|worst| over > worst.over) {
                worst = Some(Victim { job: hold.job, over, at: speed.at });
            }
        }
        worst
    }

    /// Throttles the runs with the largest effect until the predicted reduction is sufficient;
    /// evicts one run if none can be throttled.
    fn press(&mut self, id: WorkerId, victim: Victim) {
        let mut missing = victim.over as f32 * MARGIN;
        let mut acted = false;
        while missing > 0.0 {
            let Some((index, blame)) = self.most_to_blame(id, victim) else { break };
            let before = self.workers[id].holds[index].life.permille();
            let after = (before / 2).max(SHARE_MIN);
            missing -= blame * f32::from(before - after) / f32::from(before);
            self.throttle(id, index, after, "it slows a paying task");
            acted = true;
        }
        if !acted {
            acted = self.evict_for(id, victim);
        }
        if acted {
            self.workers[id].relieved = self.now;
        }
    }

    /// Returns the current effect of a run on a paying job's slowdown, in thousandths.
    fn blame_of(&self, victim: JobId, hold: &Hold) -> f32 {
        let class = self.jobs[hold.job].class();
        let share = f32::from(hold.life.permille()) / f32::from(FULL_PERMILLE);
        self.model.effect(victim, hold.job, class) * share
    }

    fn most_to_blame(&self, id: WorkerId, victim: Victim) -> Option<(usize, f32)> {
        let mut most: Option<(usize, f32)> = None;
        for (index, hold) in self.workers[id].holds.iter().enumerate() {
            let was_there = hold.since <= victim.at;
            if !was_there || !self.is_evictable(hold) || hold.life.permille() <= SHARE_MIN {
                continue;
            }
            let blame = self.blame_of(victim.job, hold);
            if blame >= BLAME_MIN && most.is_none_or(|(_, most)| blame > most) {
                most = Some((index, blame));
            }
        }
        most
    }

    /// Evicts the run with the lowest cost for its effect, if the policy's weights justify an
    /// eviction.
    fn evict_for(&mut self, id: WorkerId, victim: Victim) -> bool {
        let weight = |weight: f64| weight.max(f64::EPSILON);
        let price = weight(self.policy.eviction_weight) / weight(self.policy.latency_weight);
        if f64::from(victim.over) < EVICT_OVER * price || !self.may_evict() {
            return false;
        }
        let mut best: Option<(f64, usize)> = None;
        for (index, hold) in self.workers[id].holds.iter().enumerate() {
            let blame = self.blame_of(victim.job, hold);
            let was_there = hold.since <= victim.at;
            if !was_there || !self.is_evictable(hold) || blame < BLAME_MIN {
                continue;
            }
            let cost = self.loss(hold) / f64::from(blame);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        let Some((_, index)) = best else { return false };
        self.evict(id, index, "throttling it does not protect a paying task")
    }

    fn throttle(&mut self, id: WorkerId, index: usize, permille: u16, reason: &str) {
        let now = self.now;
        let hold = &mut self.workers[id].holds[index];
        let Some(life) = hold.life.throttle(permille) else { return };
        hold.former = Some(Former { permille: hold.life.permille(), until: now });
        hold.life = life;
        hold.need = true;
        let number = match life {
            Life::Throttled(_) => Number::TaskThrottled,
            _ => Number::TaskUnthrottled,
        };
        let run = self.run(&self.workers[id].holds[index]);
        let name = self.workers[id].name.clone();
        self.note_run(number, &name, run, format!("{reason}; {permille} thousandths"));
        self.touch(id);
    }

    /// Lifts throttles by one step, least predicted slowdown first, once no mitigation was needed
    /// for a while.
    fn ease(&mut self, id: WorkerId) {
        let worker = &self.workers[id];
        let is_throttled = |hold: &Hold| matches!(hold.life, Life::Throttled(_));
        if worker.relieved + CALM > self.now || !worker.holds.iter().any(is_throttled) {
            return;
        }
        let throttled = worker.holds.iter().enumerate().filter(|(_, hold)| is_throttled(hold));
        let mut order: SmallVec<[(f32, usize); 16]> =
            throttled.map(|(index, hold)| (self.harm(id, hold), index)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room = self.slack(id);
        for (harm, index) in order {
            if harm > room {
                break;
            }
            room -= harm;
            let permille = (self.workers[id].holds[index].life.permille() * 2).min(FULL_PERMILLE);
            self.throttle(id, index, permille, "paying tasks are fast");
            self.workers[id].relieved = self.now;
        }
    }

    /// Returns the remaining slowdown allowed to the slowest paying task of a worker, in
    /// thousandths.
    fn slack(&self, id: WorkerId) -> f32 {
        let speeds = self.workers[id].holds.iter().map(|hold| hold.speed.slowdown.max(ALONE));
        let slowest = speeds.max().unwrap_or(ALONE);
        self.policy.slowdown_permille.saturating_sub(slowest) as f32
    }

    /// Returns the slowdown, in thousandths, that lifting a run's throttle by one step adds to the
    /// paying task that it affects most.
    fn harm(&self, id: WorkerId, hold: &Hold) -> f32 {
        let paying = self.workers[id]
            .holds
            .iter()
            .filter(|other| self.jobs[other.job].class() == Class::Paying);
        paying.map(|other| self.blame_of(other.job, hold)).fold(0.0, f32::max)
    }

    /// Returns the slowdown, in thousandths, up to which trial and batch tasks are placed: a policy
    /// that weighs latency above throughput keeps a margin, since load shifts while measurements
    /// lag.
    fn bearable(&self) -> f32 {
        let policy = &self.policy;
        let allowed = policy.slowdown_permille.saturating_sub(ALONE) as f32;
        let price = policy.throughput_weight / policy.latency_weight.max(f64::EPSILON);
        allowed * (price as f32).clamp(FILL_MIN, 1.0)
    }

    /// Returns `true` if further runs of a job have to wait until its effect on a paying task is
    /// measured, so that a harmful job is detected before it runs on many workers. None waits where
    /// no measurement is expected.
    fn is_probed(&self, hold: &Hold, job: JobId) -> bool {
        let entry = &self.jobs[job];
        let probes = entry.tasks() / PROBES_PART;
        let is_expected = hold.speed.at.max(hold.since) + FRESH > self.now;
        entry.holds >= probes.max(PROBES_MIN)
            && is_expected
            && !self.jobs[hold.job].is_urgent()
            && !self.model.is_measured(hold.job, job)
    }

    /// Requeues jobs that waited for a first measurement.
    pub(crate) fn end_probes(&mut self, met: &Met) {
        for &job in met {
            if self.jobs.get(job).is_some_and(|job| job.place.is_some()) {
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
        let bearable = self.bearable();
        let mut sum = 0.0;
        for hold in &self.workers[id].holds {
            let other = self.jobs[hold.job].class();
            if other == Class::Paying {
                let added = self.model.effect(hold.job, job, class);
                let is_fresh = hold.speed.slowdown > 0 && hold.speed.at + FRESH > self.now;
                let now = if is_fresh { hold.speed.slowdown.saturating_sub(ALONE) } else { 0 };
                if class != Class::Paying && now as f32 + added > bearable {
                    return None;
                }
                if class != Class::Paying && self.is_probed(hold, job) {
                    return None;
                }
                sum += added;
            }
            if class == Class::Paying {
                sum += self.model.effect(job, hold.job, other);
            }
        }
        Some(sum)
    }
}
