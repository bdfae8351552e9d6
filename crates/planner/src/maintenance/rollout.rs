//! Maintenance rollouts: machines are drained, a few at a time, and then handed over for
//! maintenance.
//!
//! An operator wants many machines to shut down in a bounded time, in a cell that is nearly full,
//! and maintenance ends all runs on a machine. Draining a machine completely would need capacity
//! that isn't free. So a machine shuts down together with its service tasks as soon as each of
//! their steps can spare them, and they are restarted elsewhere or there. It takes nothing new only
//! for a moment before that, while checkpointing tasks are stopped and short ones end. As many
//! machines are away at once as the remaining time requires, which keeps the rest of the cell
//! available, and never more than the operator allows. No more tasks of a service step are
//! unavailable at once than its client allows, however late the rollout is.
//!
//! Repeating a maintenance request is harmless, so only the machines whose maintenance has begun
//! are stored for a later owner.

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
use cowslipchute_ports::machine::RolloutNumber;
use cowslipchute_ports::machine::RolloutRequest;

use crate::action::Action;
use crate::planner::Planner;
use crate::workers::command::Timer;
use crate::workers::host::Reason;
use crate::workers::worker::WorkerId;

/// Time for which a machine is away: a second until it shuts down, two or three of maintenance.
const MACHINE_CYCLE: Duration = Duration::from_secs(4);
/// Time to wait for short and best-effort tasks before they are stopped. With a longer one, service
/// tasks would wait too long beside capacity that is kept free.
const DRAIN_GRACE: Duration = Duration::from_millis(600);
/// Maximum time for which a machine is kept free if its tasks can't be spared after all, or if its
/// maintenance is refused while a service task is overdue.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time for which a machine takes tasks as usual before it is drained again: what waits beside free
/// capacity for three seconds counts as lost.
const DRAIN_RETRY_PAUSE: Duration = Duration::from_millis(2500);
/// Check interval of machines that are being drained.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without requests after a takeover: one of the previous owner may still arrive.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);
/// Delay before a request that wasn't carried out is repeated.
const REQUEST_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Fraction of the allowed time that is aimed at: many machines can't be spared at once.
const TARGET_FRACTION: f64 = 0.35;

/// Progress of a machine in a rollout, before and after its maintenance begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Being drained since this time.
    Draining(Time),
    /// Maintenance requested, of a machine that has been kept free since this time.
    Requested(Time),
    /// The request wasn't confirmed and is repeated at the time `at`. Maintenance has not begun,
    /// except perhaps if `may_have_begun`.
    Retry { at: Time, free_since: Time, may_have_begun: bool },
    /// Maintenance begun, under this owner or a previous one: the response arrived at this time,
    /// and no list since.
    Begun(Time),
    /// The machine is down.
    Down,
}

impl Phase {
    /// Returns since when the machine has been kept free, if its maintenance isn't known to have
    /// begun.
    fn free_since(&self) -> Option<Time> {
        match *self {
            Phase::Draining(since) | Phase::Requested(since) => Some(since),
            Phase::Retry { free_since, .. } => Some(free_since),
            Phase::Begun(_) | Phase::Down => None,
        }
    }
}

/// A rollout whose machines aren't all back.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    rollout: RolloutRequest,
    started_at: Time,
    /// Whether it was reported as completed, since maintenance of every machine has begun. The
    /// rollout is kept until a list shows that maintenance has ended everywhere, since it
    /// determines which workers take nothing new.
    completed: bool,
    begun: BTreeSet<Name>,
    phases: BTreeMap<Name, Phase>,
    /// Machines that could not be spared, and when they are tried again.
    retry_after: BTreeMap<Name, Time>,
}

/// The rollouts in progress, and the machines as last listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rollouts {
    by_number: BTreeMap<RolloutNumber, Rollout>,
    machines: HashMap<Name, Machine>,
    /// Machines whose maintenance has begun, with the time, until a list shows it.
    unconfirmed: BTreeMap<Name, Time>,
    /// When the last machine list was requested; `None` before the first one.
    listed_at: Option<Time>,
    /// When the rollouts are checked next.
    next_check: Option<Time>,
}

impl Rollouts {
    /// Returns `true` if maintenance of a machine may have begun and hasn't ended, in any rollout.
    fn may_be_down(&self, name: &Name) -> bool {
        if self.unconfirmed.contains_key(name) {
            return true;
        }
        self.by_number.values().any(|rollout| match rollout.phases.get(name) {
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
    /// Returns the machines whose maintenance has yet to begin.
    fn remaining<'a>(
        &'a self,
        machines: &'a HashMap<Name, Machine>,
    ) -> impl Iterator<Item = &'a Name> {
        let wanted = self.rollout.machines.iter();
        wanted.filter(|name| machines.contains_key(*name) && !self.begun.contains(*name))
    }

    /// Returns how many machines are to be away at once.
    fn concurrency(&self, remaining: usize, now: Time) -> usize {
        let target = self.started_at + self.rollout.duration.mul_f64(TARGET_FRACTION);
        let time = target.saturating_sub(now).max(MACHINE_CYCLE);
        let rounds = (time.as_secs_f64() / MACHINE_CYCLE.as_secs_f64()).floor().max(1.0);
        ((remaining as f64 / rounds).ceil() as usize).clamp(1, self.rollout.max_unavailable)
    }
}

impl Planner {
    /// Returns `true` if a rollout is in progress.
    pub(crate) fn has_rollouts(&self) -> bool {
        !self.rollouts.by_number.is_empty()
    }

    /// Adds a rollout from the store, with the machines whose maintenance previous owners have
    /// begun.
    pub(crate) fn add_rollout(&mut self, wave: RolloutRequest, begun: Vec<Name>) {
        let number = wave.number;
        if self.epoch.is_none() || self.rollouts.by_number.contains_key(&number) {
            return;
        }
        let detail = format!(
            "wave {number}: {} machines, {} at once",
            wave.machines.len(),
            wave.max_unavailable
        );
        self.note(LogEvent::WaveBegun, None, None, None, detail);
        let begun: BTreeSet<Name> = begun.into_iter().collect();
        let rollout = Rollout {
            rollout: wave,
            started_at: self.now,
            completed: false,
            begun,
            phases: BTreeMap::new(),
            retry_after: BTreeMap::new(),
        };
        self.rollouts.by_number.insert(number, rollout);
        self.store_rollout(number, Progress::Active);
    }

    /// Handles a machine list that was requested at `requested_at`.
    pub(crate) fn list_machines(&mut self, machines: Vec<Machine>, requested_at: Time) {
        let numbers: Vec<RolloutNumber> = self.rollouts.by_number.keys().copied().collect();
        for machine in &machines {
            for &number in &numbers {
                self.update_phase(number, machine, requested_at);
            }
        }
        self.drop_completed(&machines);
        self.end_absent_workers(&machines, requested_at);
        self.rollouts.unconfirmed.retain(|_, at| *at >= requested_at);
        self.rollouts.machines =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        self.rollouts.listed_at = Some(requested_at);
        self.schedule_rollouts(self.now);
    }

    /// Updates the phase of a machine whose maintenance has begun.
    fn update_phase(&mut self, number: RolloutNumber, machine: &Machine, requested_at: Time) {
        let before = self.worker_of(&machine.name);
        let Some(rollout) = self.rollouts.by_number.get_mut(&number) else { return };
        let Some(phase) = rollout.phases.get_mut(&machine.name) else { return };
        let is_newer = match *phase {
            Phase::Begun(at) => at < requested_at,
            Phase::Down => true,
            Phase::Draining(_) | Phase::Requested(_) | Phase::Retry { .. } => return,
        };
        if !is_newer {
            return;
        }
        if machine.up {
            rollout.phases.remove(&machine.name);
        } else {
            *phase = Phase::Down;
        }
        let Some(before) = before else { return };
        let same_worker = machine.worker.as_ref() == Some(&self.workers[before].name);
        if machine.up && same_worker {
            // The maintenance began before this incarnation, under a previous owner whose notice
            // was lost; or the worker has restarted under its name, which its next report shows.
            self.workers[before].draining_for_maintenance = false;
            self.workers[before].listed_up = Some(self.now);
            self.room_changed = true;
        } else {
            self.end_incarnation(before);
        }
    }

    /// Drops the completed rollouts whose machines have been listed as up since, or are gone for
    /// good.
    fn drop_completed(&mut self, machines: &[Machine]) {
        let listed: BTreeSet<&Name> = machines.iter().map(|machine| &machine.name).collect();
        self.rollouts.by_number.retain(|_, rollout| {
            if rollout.completed {
                let is_in_maintenance =
                    |phase: &Phase| matches!(phase, Phase::Begun(_) | Phase::Down);
                rollout
                    .phases
                    .retain(|name, phase| is_in_maintenance(phase) && listed.contains(name));
            }
            !rollout.completed || !rollout.phases.is_empty()
        });
    }

    /// Handles the result of a maintenance request.
    pub(crate) fn handle_maintenance_result(
        &mut self,
        number: RolloutNumber,
        name: &Name,
        outcome: Result<(), Failure>,
    ) {
        let now = self.now;
        let Some(rollout) = self.rollouts.by_number.get_mut(&number) else { return };
        match outcome {
            Ok(()) => {
                rollout.begun.insert(name.clone());
                rollout.phases.insert(name.clone(), Phase::Begun(now));
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
            Err(Failure::Missing | Failure::NotInRollout) => {
                rollout.phases.remove(name);
                // The list names the machine's worker.
                self.reopen_machine(name);
                self.rollouts.machines.remove(name);
            }
            Err(failure) => {
                let may_have_begun = failure == Failure::Unknown;
                let free_since = rollout.phases.get(name).and_then(Phase::free_since);
                let free_since = free_since.unwrap_or(now);
                let at = now + REQUEST_RETRY_PAUSE;
                let phase = Phase::Retry { at, free_since, may_have_begun };
                rollout.phases.insert(name.clone(), phase);
                let detail = format!("wave {number}: {name}: {failure}");
                self.note(LogEvent::UpkeepDelayed, None, None, None, detail);
                let is_held_for_long = at >= free_since + DRAIN_TIMEOUT;
                if !may_have_begun && is_held_for_long && self.has_overdue_task() {
                    self.abort_drain(number, name);
                }
            }
        }
        self.schedule_rollouts(now);
    }

    /// Advances every rollout, and schedules the next check while there are any.
    pub(crate) fn advance_rollouts(&mut self) {
        if self.rollouts.next_check.is_none_or(|due| due > self.now) {
            return;
        }
        self.rollouts.next_check = None;
        let numbers: Vec<RolloutNumber> = self.rollouts.by_number.keys().copied().collect();
        for number in numbers {
            if self.rollouts.listed_at.is_some() {
                self.advance_rollout(number);
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

    fn advance_rollout(&mut self, number: RolloutNumber) {
        if self.rollouts.by_number.get(&number).is_none_or(|rollout| rollout.completed) {
            return;
        }
        self.begin_draining(number);
        let Some(rollout) = self.rollouts.by_number.get(&number) else { return };
        let phases: Vec<(Name, Phase)> =
            rollout.phases.iter().map(|(name, phase)| (name.clone(), *phase)).collect();
        for (name, phase) in phases {
            let may_shut_down = self.may_shut_down(number);
            match phase {
                Phase::Draining(since) if may_shut_down && self.continue_drain(&name, since) => {
                    self.request_maintenance(number, &name);
                }
                Phase::Draining(since) if self.now >= since + DRAIN_TIMEOUT => {
                    self.abort_drain(number, &name)
                }
                Phase::Retry { at, may_have_begun, .. }
                    if (may_shut_down || may_have_begun) && at <= self.now =>
                {
                    self.request_maintenance(number, &name)
                }
                _ => {}
            }
        }
        let Some(rollout) = self.rollouts.by_number.get_mut(&number) else { return };
        if rollout.remaining(&self.rollouts.machines).next().is_none() {
            rollout.completed = true;
            self.note(LogEvent::WaveCompleted, None, None, None, format!("wave {number}"));
            self.store_rollout(number, Progress::Completed);
        }
    }

    /// Drains as many more machines as may be away at once, those with the fewest service tasks
    /// first.
    fn begin_draining(&mut self, number: RolloutNumber) {
        let now = self.now;
        if !self.may_shut_down(number) {
            return;
        }
        let Some(rollout) = self.rollouts.by_number.get(&number) else { return };
        let remaining = rollout.remaining(&self.rollouts.machines).count();
        // Machines that a previous owner shut down, or that crashed, count too.
        let down = rollout.rollout.machines.iter().filter(|name| {
            let machine = self.rollouts.machines.get(*name);
            !rollout.phases.contains_key(*name) && machine.is_some_and(|machine| !machine.up)
        });
        let away = rollout.phases.len() + down.count();
        let mut to_drain = rollout.concurrency(remaining, now).saturating_sub(away);
        let mut drainable: Vec<(usize, Name)> = rollout
            .remaining(&self.rollouts.machines)
            .filter(|name| !rollout.phases.contains_key(*name) && self.rollouts.machines[*name].up)
            .filter(|name| !self.rollouts.may_be_down(name))
            .filter(|name| rollout.retry_after.get(*name).is_none_or(|until| *until <= now))
            .map(|name| (self.service_tasks_on(name), name.clone()))
            .collect();
        drainable.sort();
        for (_, name) in drainable {
            if to_drain == 0 {
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
            if let Some(rollout) = self.rollouts.by_number.get_mut(&number) {
                rollout.phases.insert(name, Phase::Draining(now));
            }
            to_drain -= 1;
        }
    }

    /// Returns `true` if one more machine of a rollout may shut down: fewer than its operator
    /// allows are down, for whatever reason, or may be after a request whose outcome is unknown.
    fn may_shut_down(&self, number: RolloutNumber) -> bool {
        let Some(rollout) = self.rollouts.by_number.get(&number) else { return false };
        if self.now < self.owned_at + TAKEOVER_DELAY {
            return false;
        }
        let down = rollout.rollout.machines.iter().filter(|name| {
            let listed_down = self.rollouts.machines.get(*name).is_some_and(|machine| !machine.up);
            listed_down || self.rollouts.may_be_down(name)
        });
        down.count() < rollout.rollout.max_unavailable
    }

    /// Ends the drain of a machine; it is tried again later.
    fn abort_drain(&mut self, number: RolloutNumber, name: &Name) {
        if let Some(rollout) = self.rollouts.by_number.get_mut(&number) {
            rollout.phases.remove(name);
            rollout.retry_after.insert(name.clone(), self.now + DRAIN_RETRY_PAUSE);
        }
        self.reopen_machine(name);
    }

    fn request_maintenance(&mut self, number: RolloutNumber, name: &Name) {
        let now = self.now;
        let Some(rollout) = self.rollouts.by_number.get_mut(&number) else { return };
        let free_since = rollout.phases.get(name).and_then(Phase::free_since).unwrap_or(now);
        rollout.phases.insert(name.clone(), Phase::Requested(free_since));
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

    /// Lets a machine whose maintenance won't happen take tasks again.
    fn reopen_machine(&mut self, name: &Name) {
        if let Some(worker) = self.worker_of(name) {
            self.workers[worker].draining_for_maintenance = false;
            self.workers[worker].maintenance_ordered = false;
            self.room_changed = true;
        }
    }

    /// Continues to drain a machine; returns `true` if its maintenance may begin.
    fn continue_drain(&mut self, name: &Name, since: Time) -> bool {
        let Some(worker) = self.worker_of(name) else { return true };
        if !self.is_within_disruption_budget(worker) {
            // Another task of one of its steps became unavailable meanwhile.
            return false;
        }
        let other_runs: Vec<(Run, bool)> = self.workers[worker]
            .runs
            .iter()
            .filter(|(_, hosted)| !hosted.long_running)
            .map(|(run, hosted)| (*run, hosted.checkpointing))
            .collect();
        let late = self.now >= since + DRAIN_GRACE;
        for &(run, _) in other_runs.iter().filter(|(_, checkpointing)| *checkpointing || late) {
            self.stop_run(worker, run, Reason::WorkerDraining);
        }
        // An end that is lost with its worker would be forgotten, and its task run again.
        other_runs.is_empty() && self.workers[worker].unacknowledged.is_empty()
    }

    fn store_rollout(&mut self, number: RolloutNumber, progress: Progress) {
        let Some(rollout) = self.rollouts.by_number.get(&number) else { return };
        let started = rollout.begun.iter().cloned().collect();
        self.actions.push(Action::SaveRollout { rollout: number, progress, started });
    }
}
