//! Waves of upkeep: machines are emptied, a few at a time, and then given to their upkeep.
//!
//! Pattern answered: an operator wants many machines to go down in a bounded time, in a cell that is
//! nearly full, and an upkeep ends whatever runs there. Emptying a machine first would take room that
//! nobody has; so a machine goes down with its tasks that last as soon as each of their steps can spare
//! them, and they come back elsewhere or there. Only for a moment before does it take nothing new, while tasks with
//! checkpoints are stopped and short ones end. As many machines are taken at once as the time that is left
//! demands, which keeps the rest of the cell whole, and never more than the operator allows. Of a step
//! that lasts no more tasks are away at once than its client allows, however late the wave is.
//!
//! Asking again for an upkeep that was begun is harmless, so nothing but the machines whose upkeep has
//! begun is kept for a later owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::machine::Failure;
use cowslipchute_ports::machine::Machine;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::Wave;
use cowslipchute_ports::machine::WaveNumber;

use crate::action::Action;
use crate::command::Timer;
use crate::host::Reason;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// How long a machine is away for the wave: a second until it goes down, two or three of upkeep.
const MACHINE_CYCLE: Duration = Duration::from_secs(4);
/// How long tasks that don't last are waited for before they are stopped. Longer, and tasks that last would wait too long
/// beside room that is kept free.
const DRAIN_GRACE: Duration = Duration::from_millis(600);
/// How long a machine is kept free at most, if its tasks can't be spared after all.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long it takes tasks as ever before it is tried again: what waits beside free room for three
/// seconds counts as lost.
const DRAIN_RETRY_PAUSE: Duration = Duration::from_millis(2500);
/// How often machines that are being emptied are looked at.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new owner gives no order: one of its predecessor's may still arrive.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Pause before an order that wasn't carried out is given again.
const REQUEST_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Part of the time that is aimed at: many machines can't be spared at once.
const TARGET_FRACTION: f64 = 0.35;

/// How far a machine of a wave is, before and after its upkeep begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is being emptied, since then.
    Draining(Time),
    /// The upkeep is asked for, at this time.
    Requested(Time),
    /// It wasn't begun, or `may_have_begun` was; it is asked for again at this time.
    Retry { at: Time, may_have_begun: bool },
    /// It has begun, now or under an earlier owner: the answer came at this time, and no list since.
    Begun(Time),
    /// The machine is down.
    Down,
}

/// A wave whose machines aren't all back.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    wave: Wave,
    started_at: Time,
    /// Whether it has been told to be completed: each upkeep has begun. Until a list shows that they are over, it is known
    /// which workers take nothing for them.
    completed: bool,
    begun: BTreeSet<Name>,
    phases: BTreeMap<Name, Phase>,
    /// Machines that could not be spared, and when they are tried again.
    retry_after: BTreeMap<Name, Time>,
}

/// The waves in progress, and the machines as they were last listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rollouts {
    by_number: BTreeMap<WaveNumber, Rollout>,
    machines: HashMap<Name, Machine>,
    /// Machines whose upkeep has begun, and when, as long as no list shows it.
    unconfirmed: BTreeMap<Name, Time>,
    /// When that list was asked for; none before the first.
    listed_at: Option<Time>,
    /// When they are looked at next.
    next_check: Option<Time>,
}

impl Rollouts {
    /// Tells whether an upkeep of a machine may have begun that isn't over, whichever wave it is of.
    fn is_going_down(&self, name: &Name) -> bool {
        if self.unconfirmed.contains_key(name) {
            return true;
        }
        self.by_number.values().any(|upkeep| match upkeep.phases.get(name) {
            Some(Phase::Draining(_) | Phase::Retry { may_have_begun: false, .. }) | None => false,
            Some(
                Phase::Requested(_)
                | Phase::Retry { may_have_begun: true, .. }
                | Phase::Begun(_)
                | Phase::Down,
            ) => true,
        })
    }
}

impl Rollout {
    /// Returns the machines whose upkeep has yet to begin.
    fn remaining<'a>(
        &'a self,
        machines: &'a HashMap<Name, Machine>,
    ) -> impl Iterator<Item = &'a Name> {
        let wanted = self.wave.machines.iter();
        wanted.filter(|name| machines.contains_key(*name) && !self.begun.contains(*name))
    }

    /// Returns how many machines are to be away at once.
    fn concurrency(&self, left: usize, now: Time) -> usize {
        let aim = self.started_at + self.wave.duration.mul_f64(TARGET_FRACTION);
        let time = aim.saturating_sub(now).max(MACHINE_CYCLE);
        let rounds = (time.as_secs_f64() / MACHINE_CYCLE.as_secs_f64()).floor().max(1.0);
        ((left as f64 / rounds).ceil() as usize).clamp(1, self.wave.cap)
    }
}

impl Planner {
    /// Tells whether a wave is in progress.
    pub(crate) fn has_waves(&self) -> bool {
        !self.rollouts.by_number.is_empty()
    }

    /// A wave is in the store, with the machines whose upkeep earlier owners have begun.
    pub(crate) fn add_rollout(&mut self, wave: Wave, begun: Vec<Name>) {
        let number = wave.number;
        if self.epoch.is_none() || self.rollouts.by_number.contains_key(&number) {
            return;
        }
        let detail =
            format!("wave {number}: {} machines, {} at once", wave.machines.len(), wave.cap);
        self.note(LogEvent::WaveBegun, None, None, None, detail);
        let begun: BTreeSet<Name> = begun.into_iter().collect();
        let upkeep = Rollout {
            wave,
            started_at: self.now,
            completed: false,
            begun,
            phases: BTreeMap::new(),
            retry_after: BTreeMap::new(),
        };
        self.rollouts.by_number.insert(number, upkeep);
        self.store_rollout(number, Progress::Active);
    }

    /// The machines were listed; the list was asked for at this time.
    pub(crate) fn list_machines(&mut self, machines: Vec<Machine>, asked: Time) {
        let numbers: Vec<WaveNumber> = self.rollouts.by_number.keys().copied().collect();
        for machine in &machines {
            for &number in &numbers {
                self.update_phase(number, machine, asked);
            }
        }
        self.drop_completed(&machines);
        self.end_absent_workers(&machines, asked);
        self.rollouts.unconfirmed.retain(|_, at| *at >= asked);
        self.rollouts.machines =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        self.rollouts.listed_at = Some(asked);
        self.schedule_rollouts(self.now);
    }

    /// Takes in what has become of a machine since its upkeep has begun.
    fn update_phase(&mut self, number: WaveNumber, machine: &Machine, asked: Time) {
        let before = self.worker_of(&machine.name);
        let Some(upkeep) = self.rollouts.by_number.get_mut(&number) else { return };
        let Some(phase) = upkeep.phases.get_mut(&machine.name) else { return };
        let listed_later = match *phase {
            Phase::Begun(at) => at < asked,
            Phase::Down => true,
            Phase::Draining(_) | Phase::Requested(_) | Phase::Retry { .. } => return,
        };
        if !listed_later {
            return;
        }
        if machine.up {
            upkeep.phases.remove(&machine.name);
        } else {
            *phase = Phase::Down;
        }
        let Some(before) = before else { return };
        let same = machine.worker.as_ref() == Some(&self.workers[before].name);
        if machine.up && same {
            // It was begun before this incarnation, by an earlier owner whose word was lost; or the worker has started
            // again under its name, which its next account tells.
            self.workers[before].draining_for_maintenance = false;
            self.workers[before].listed_up = Some(self.now);
            self.room_changed = true;
        } else {
            self.end_incarnation(before);
        }
    }

    /// Forgets the waves that are completed and whose machines have been listed since, or are gone for good.
    fn drop_completed(&mut self, machines: &[Machine]) {
        let listed: BTreeSet<&Name> = machines.iter().map(|machine| &machine.name).collect();
        self.rollouts.by_number.retain(|_, upkeep| {
            if upkeep.completed {
                let lasts = |phase: &Phase| matches!(phase, Phase::Begun(_) | Phase::Down);
                upkeep.phases.retain(|name, phase| lasts(phase) && listed.contains(name));
            }
            !upkeep.completed || !upkeep.phases.is_empty()
        });
    }

    /// An upkeep was begun, or not.
    pub(crate) fn handle_maintenance_result(
        &mut self,
        number: WaveNumber,
        name: &Name,
        outcome: Result<(), Failure>,
    ) {
        let now = self.now;
        let Some(upkeep) = self.rollouts.by_number.get_mut(&number) else { return };
        match outcome {
            Ok(()) => {
                upkeep.begun.insert(name.clone());
                upkeep.phases.insert(name.clone(), Phase::Begun(now));
                self.rollouts.unconfirmed.insert(name.clone(), now);
                self.note(
                    LogEvent::UpkeepBegun,
                    None,
                    None,
                    None,
                    format!("wave {number}: {name}"),
                );
                self.store_rollout(number, Progress::Active);
            }
            Err(Failure::Missing | Failure::NotOfWave) => {
                upkeep.phases.remove(name);
                self.rollouts.machines.remove(name);
                self.reopen_machine(name);
            }
            Err(failure) => {
                let may_have_begun = failure == Failure::Unknown;
                upkeep.phases.insert(
                    name.clone(),
                    Phase::Retry { at: now + REQUEST_RETRY_PAUSE, may_have_begun },
                );
                let detail = format!("wave {number}: {name}: {failure}");
                self.note(LogEvent::UpkeepDelayed, None, None, None, detail);
            }
        }
        self.schedule_rollouts(now);
    }

    /// Goes on with every wave, and comes back while there are any.
    pub(crate) fn run_waves(&mut self) {
        if self.rollouts.next_check.is_none_or(|due| due > self.now) {
            return;
        }
        self.rollouts.next_check = None;
        let open: Vec<WaveNumber> = self.rollouts.by_number.keys().copied().collect();
        for number in open {
            if self.rollouts.listed_at.is_some() {
                self.run_wave(number);
            }
        }
        if !self.rollouts.by_number.is_empty() {
            self.schedule_rollouts(self.now + DRAIN_CHECK_INTERVAL);
        }
    }

    fn schedule_rollouts(&mut self, at: Time) {
        if self.rollouts.next_check.is_none_or(|due| at < due) {
            self.rollouts.next_check = Some(at);
            self.timers.insert((at, Timer::Rollouts));
        }
    }

    fn run_wave(&mut self, number: WaveNumber) {
        if self.rollouts.by_number.get(&number).is_none_or(|upkeep| upkeep.completed) {
            return;
        }
        self.begin_draining(number);
        let Some(upkeep) = self.rollouts.by_number.get(&number) else { return };
        let phases: Vec<(Name, Phase)> =
            upkeep.phases.iter().map(|(name, phase)| (name.clone(), *phase)).collect();
        for (name, phase) in phases {
            let may = self.may_go_down(number);
            match phase {
                Phase::Draining(since) if may && self.continue_drain(&name, since) => {
                    self.request_maintenance(number, &name);
                }
                Phase::Draining(since) if self.now >= since + DRAIN_TIMEOUT => {
                    self.abort_drain(number, &name)
                }
                Phase::Retry { at, may_have_begun }
                    if (may || may_have_begun) && at <= self.now =>
                {
                    self.request_maintenance(number, &name)
                }
                _ => {}
            }
        }
        let Some(upkeep) = self.rollouts.by_number.get_mut(&number) else { return };
        if upkeep.remaining(&self.rollouts.machines).next().is_none() {
            upkeep.completed = true;
            self.note(LogEvent::WaveCompleted, None, None, None, format!("wave {number}"));
            self.store_rollout(number, Progress::Completed);
        }
    }

    /// Takes as many more machines as may be away at once, those first that have the least to lose.
    fn begin_draining(&mut self, number: WaveNumber) {
        let now = self.now;
        if !self.may_go_down(number) {
            return;
        }
        let Some(upkeep) = self.rollouts.by_number.get(&number) else { return };
        let left = upkeep.remaining(&self.rollouts.machines).count();
        // Machines that an earlier owner sent down, or that went down by themselves, count too.
        let down = upkeep.wave.machines.iter().filter(|name| {
            let machine = self.rollouts.machines.get(*name);
            !upkeep.phases.contains_key(*name) && machine.is_some_and(|machine| !machine.up)
        });
        let away = upkeep.phases.len() + down.count();
        let mut width = upkeep.concurrency(left, now).saturating_sub(away);
        let mut free: Vec<(usize, Name)> = upkeep
            .remaining(&self.rollouts.machines)
            .filter(|name| !upkeep.phases.contains_key(*name) && self.rollouts.machines[*name].up)
            .filter(|name| !self.rollouts.is_going_down(name))
            .filter(|name| upkeep.retry_after.get(*name).is_none_or(|until| *until <= now))
            .map(|name| (self.service_tasks_on(name), name.clone()))
            .collect();
        free.sort();
        for (_, name) in free {
            if width == 0 {
                return;
            }
            let worker = self.worker_of(&name);
            if worker.is_some_and(|worker| !self.is_within_disruption_budget(worker)) {
                self.move_excess_service_task(worker);
                continue;
            }
            if let Some(worker) = worker {
                self.workers[worker].draining_for_maintenance = true;
            }
            if let Some(upkeep) = self.rollouts.by_number.get_mut(&number) {
                upkeep.phases.insert(name, Phase::Draining(now));
            }
            width -= 1;
        }
    }

    /// Tells whether one more machine of a wave may go down: fewer than its operator allows are down,
    /// for whatever reason, or may be after an order that isn't settled.
    fn may_go_down(&self, number: WaveNumber) -> bool {
        let Some(upkeep) = self.rollouts.by_number.get(&number) else { return false };
        if self.now < self.owned_at + TAKEOVER_DELAY {
            return false;
        }
        let down = upkeep.wave.machines.iter().filter(|name| {
            let listed_down = self.rollouts.machines.get(*name).is_some_and(|machine| !machine.up);
            listed_down || self.rollouts.is_going_down(name)
        });
        down.count() < upkeep.wave.cap
    }

    /// Takes a machine back; it is tried again later.
    fn abort_drain(&mut self, number: WaveNumber, name: &Name) {
        if let Some(upkeep) = self.rollouts.by_number.get_mut(&number) {
            upkeep.phases.remove(name);
            upkeep.retry_after.insert(name.clone(), self.now + DRAIN_RETRY_PAUSE);
        }
        self.reopen_machine(name);
    }

    fn request_maintenance(&mut self, number: WaveNumber, name: &Name) {
        let now = self.now;
        let Some(upkeep) = self.rollouts.by_number.get_mut(&number) else { return };
        upkeep.phases.insert(name.clone(), Phase::Requested(now));
        if let Some(worker) = self.worker_of(name) {
            self.workers[worker].maintenance_ordered = true;
        }
        self.actions.push(Action::StartMaintenance { rollout: number, machine: name.clone() });
    }

    fn worker_of(&self, name: &Name) -> Option<WorkerId> {
        let worker: &id::Instance = self.rollouts.machines.get(name)?.worker.as_ref()?;
        self.workers_by_name.get(worker).copied()
    }

    fn service_tasks_on(&self, name: &Name) -> usize {
        let worker = self.worker_of(name).and_then(|worker| self.workers.get(worker));
        worker.map_or(0, |worker| worker.runs.values().filter(|hosted| hosted.long_running).count())
    }

    /// Lets a machine take tasks again that has no upkeep after all.
    fn reopen_machine(&mut self, name: &Name) {
        if let Some(worker) = self.worker_of(name) {
            self.workers[worker].draining_for_maintenance = false;
            self.workers[worker].maintenance_ordered = false;
            self.room_changed = true;
        }
    }

    /// Goes on emptying a machine; tells whether its upkeep may begin.
    fn continue_drain(&mut self, name: &Name, since: Time) -> bool {
        let Some(worker) = self.worker_of(name) else { return true };
        if !self.is_within_disruption_budget(worker) {
            // Another of its steps' tasks went away meanwhile.
            return false;
        }
        let passing: Vec<(Run, bool)> = self.workers[worker]
            .runs
            .iter()
            .filter(|(_, hosted)| !hosted.long_running)
            .map(|(run, hosted)| (*run, hosted.checkpointing))
            .collect();
        let late = self.now >= since + DRAIN_GRACE;
        for &(run, _) in passing.iter().filter(|(_, checkpointing)| *checkpointing || late) {
            self.stop_run(worker, run, Reason::WorkerDraining);
        }
        // An end that went down with its worker would be forgotten, and its task run again.
        passing.is_empty() && self.workers[worker].unacknowledged.is_empty()
    }

    fn store_rollout(&mut self, number: WaveNumber, progress: Progress) {
        let Some(upkeep) = self.rollouts.by_number.get(&number) else { return };
        let started = upkeep.begun.iter().cloned().collect();
        self.actions.push(Action::SaveRollout { rollout: number, progress, started });
    }
}
