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

use cowslipchute_base::event::Event as Number;
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
use crate::host::Why;
use crate::order::Timer;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// How long a machine is away for the wave: a second until it goes down, two or three of upkeep.
const CYCLE: Duration = Duration::from_secs(4);
/// How long tasks that don't last are waited for before they are stopped. Longer, and tasks that last would wait too long
/// beside room that is kept free.
const EMPTY_TIME: Duration = Duration::from_millis(600);
/// How long a machine is kept free at most, if its tasks can't be spared after all.
const GIVE_UP: Duration = Duration::from_millis(2000);
/// How long it takes tasks as ever before it is tried again: what waits beside free room for three
/// seconds counts as lost.
const REST: Duration = Duration::from_millis(2500);
/// How often machines that are being emptied are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// How long a new owner gives no order: one of its predecessor's may still arrive.
const INHERIT_TIME: Duration = Duration::from_secs(2);
/// Pause before an order that wasn't carried out is given again.
const AGAIN: Duration = Duration::from_millis(400);
/// Part of the time that is aimed at: many machines can't be spared at once.
const TIME_PART: f64 = 0.35;

/// How far a machine of a wave is, before and after its upkeep begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is being emptied, since then.
    Emptying(Time),
    /// The upkeep is asked for, at this time.
    Ordered(Time),
    /// It wasn't begun, or `maybe` was; it is asked for again at this time.
    Again { at: Time, maybe: bool },
    /// It has begun, now or under an earlier owner: the answer came at this time, and no list since.
    Begun(Time),
    /// The machine is down.
    Down,
}

/// A wave whose machines aren't all back.
#[derive(Clone, Debug)]
pub(crate) struct Upkeep {
    wave: Wave,
    since: Time,
    /// Whether it has been told to be completed: each upkeep has begun. Until a list shows that they are over, it is known
    /// which workers take nothing for them.
    completed: bool,
    begun: BTreeSet<Name>,
    phases: BTreeMap<Name, Phase>,
    /// Machines that could not be spared, and when they are tried again.
    resting: BTreeMap<Name, Time>,
}

/// The waves in progress, and the machines as they were last listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waves {
    open: BTreeMap<WaveNumber, Upkeep>,
    machines: HashMap<Name, Machine>,
    /// Machines whose upkeep has begun, and when, as long as no list shows it.
    unlisted: BTreeMap<Name, Time>,
    /// When that list was asked for; none before the first.
    listed_at: Option<Time>,
    /// When they are looked at next.
    due: Option<Time>,
}

impl Waves {
    /// Tells whether an upkeep of a machine may have begun that isn't over, whichever wave it is of.
    fn is_going_down(&self, name: &Name) -> bool {
        if self.unlisted.contains_key(name) {
            return true;
        }
        self.open.values().any(|upkeep| match upkeep.phases.get(name) {
            Some(Phase::Emptying(_) | Phase::Again { maybe: false, .. }) | None => false,
            Some(
                Phase::Ordered(_)
                | Phase::Again { maybe: true, .. }
                | Phase::Begun(_)
                | Phase::Down,
            ) => true,
        })
    }
}

impl Upkeep {
    /// Returns the machines whose upkeep has yet to begin.
    fn left<'a>(&'a self, machines: &'a HashMap<Name, Machine>) -> impl Iterator<Item = &'a Name> {
        let wanted = self.wave.machines.iter();
        wanted.filter(|name| machines.contains_key(*name) && !self.begun.contains(*name))
    }

    /// Returns how many machines are to be away at once.
    fn width(&self, left: usize, now: Time) -> usize {
        let aim = self.since + self.wave.duration.mul_f64(TIME_PART);
        let time = aim.saturating_sub(now).max(CYCLE);
        let rounds = (time.as_secs_f64() / CYCLE.as_secs_f64()).floor().max(1.0);
        ((left as f64 / rounds).ceil() as usize).clamp(1, self.wave.cap)
    }
}

impl Planner {
    /// Tells whether a wave is in progress.
    pub(crate) fn has_waves(&self) -> bool {
        !self.waves.open.is_empty()
    }

    /// A wave is in the store, with the machines whose upkeep earlier owners have begun.
    pub(crate) fn demand(&mut self, wave: Wave, begun: Vec<Name>) {
        let number = wave.number;
        if self.epoch.is_none() || self.waves.open.contains_key(&number) {
            return;
        }
        let detail =
            format!("wave {number}: {} machines, {} at once", wave.machines.len(), wave.cap);
        self.note(Number::WaveBegun, None, None, None, detail);
        let begun: BTreeSet<Name> = begun.into_iter().collect();
        let upkeep = Upkeep {
            wave,
            since: self.now,
            completed: false,
            begun,
            phases: BTreeMap::new(),
            resting: BTreeMap::new(),
        };
        self.waves.open.insert(number, upkeep);
        self.keep_wave(number, Progress::Active);
    }

    /// The machines were listed; the list was asked for at this time.
    pub(crate) fn list_machines(&mut self, machines: Vec<Machine>, asked: Time) {
        let numbers: Vec<WaveNumber> = self.waves.open.keys().copied().collect();
        for machine in &machines {
            for &number in &numbers {
                self.see_machine(number, machine, asked);
            }
        }
        self.drop_completed(&machines);
        self.end_unlisted(&machines, asked);
        self.waves.unlisted.retain(|_, at| *at >= asked);
        self.waves.machines =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        self.waves.listed_at = Some(asked);
        self.look_at_waves(self.now);
    }

    /// Takes in what has become of a machine since its upkeep has begun.
    fn see_machine(&mut self, number: WaveNumber, machine: &Machine, asked: Time) {
        let before = self.worker_of(&machine.name);
        let Some(upkeep) = self.waves.open.get_mut(&number) else { return };
        let Some(phase) = upkeep.phases.get_mut(&machine.name) else { return };
        let listed_later = match *phase {
            Phase::Begun(at) => at < asked,
            Phase::Down => true,
            Phase::Emptying(_) | Phase::Ordered(_) | Phase::Again { .. } => return,
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
            self.workers[before].upkeep = false;
            self.workers[before].listed_up = Some(self.now);
            self.room_changed = true;
        } else {
            self.end_incarnation(before);
        }
    }

    /// Forgets the waves that are completed and whose machines have been listed since, or are gone for good.
    fn drop_completed(&mut self, machines: &[Machine]) {
        let listed: BTreeSet<&Name> = machines.iter().map(|machine| &machine.name).collect();
        self.waves.open.retain(|_, upkeep| {
            if upkeep.completed {
                let lasts = |phase: &Phase| matches!(phase, Phase::Begun(_) | Phase::Down);
                upkeep.phases.retain(|name, phase| lasts(phase) && listed.contains(name));
            }
            !upkeep.completed || !upkeep.phases.is_empty()
        });
    }

    /// An upkeep was begun, or not.
    pub(crate) fn upkept(&mut self, number: WaveNumber, name: &Name, outcome: Result<(), Failure>) {
        let now = self.now;
        let Some(upkeep) = self.waves.open.get_mut(&number) else { return };
        match outcome {
            Ok(()) => {
                upkeep.begun.insert(name.clone());
                upkeep.phases.insert(name.clone(), Phase::Begun(now));
                self.waves.unlisted.insert(name.clone(), now);
                self.note(Number::UpkeepBegun, None, None, None, format!("wave {number}: {name}"));
                self.keep_wave(number, Progress::Active);
            }
            Err(Failure::Missing | Failure::NotOfWave) => {
                upkeep.phases.remove(name);
                self.waves.machines.remove(name);
                self.take_back(name);
            }
            Err(failure) => {
                let maybe = failure == Failure::Unknown;
                upkeep.phases.insert(name.clone(), Phase::Again { at: now + AGAIN, maybe });
                let detail = format!("wave {number}: {name}: {failure}");
                self.note(Number::UpkeepDelayed, None, None, None, detail);
            }
        }
        self.look_at_waves(now);
    }

    /// Goes on with every wave, and comes back while there are any.
    pub(crate) fn run_waves(&mut self) {
        if self.waves.due.is_none_or(|due| due > self.now) {
            return;
        }
        self.waves.due = None;
        let open: Vec<WaveNumber> = self.waves.open.keys().copied().collect();
        for number in open {
            if self.waves.listed_at.is_some() {
                self.run_wave(number);
            }
        }
        if !self.waves.open.is_empty() {
            self.look_at_waves(self.now + LOOK);
        }
    }

    fn look_at_waves(&mut self, at: Time) {
        if self.waves.due.is_none_or(|due| at < due) {
            self.waves.due = Some(at);
            self.timers.insert((at, Timer::Waves));
        }
    }

    fn run_wave(&mut self, number: WaveNumber) {
        if self.waves.open.get(&number).is_none_or(|upkeep| upkeep.completed) {
            return;
        }
        self.begin_emptying(number);
        let Some(upkeep) = self.waves.open.get(&number) else { return };
        let phases: Vec<(Name, Phase)> =
            upkeep.phases.iter().map(|(name, phase)| (name.clone(), *phase)).collect();
        for (name, phase) in phases {
            let may = self.may_go_down(number);
            match phase {
                Phase::Emptying(since) if may && self.is_empty(&name, since) => {
                    self.order(number, &name);
                }
                Phase::Emptying(since) if self.now >= since + GIVE_UP => {
                    self.give_up(number, &name)
                }
                Phase::Again { at, maybe } if (may || maybe) && at <= self.now => {
                    self.order(number, &name)
                }
                _ => {}
            }
        }
        let Some(upkeep) = self.waves.open.get_mut(&number) else { return };
        if upkeep.left(&self.waves.machines).next().is_none() {
            upkeep.completed = true;
            self.note(Number::WaveCompleted, None, None, None, format!("wave {number}"));
            self.keep_wave(number, Progress::Completed);
        }
    }

    /// Takes as many more machines as may be away at once, those first that have the least to lose.
    fn begin_emptying(&mut self, number: WaveNumber) {
        let now = self.now;
        if !self.may_go_down(number) {
            return;
        }
        let Some(upkeep) = self.waves.open.get(&number) else { return };
        let left = upkeep.left(&self.waves.machines).count();
        // Machines that an earlier owner sent down, or that went down by themselves, count too.
        let down = upkeep.wave.machines.iter().filter(|name| {
            let machine = self.waves.machines.get(*name);
            !upkeep.phases.contains_key(*name) && machine.is_some_and(|machine| !machine.up)
        });
        let away = upkeep.phases.len() + down.count();
        let mut width = upkeep.width(left, now).saturating_sub(away);
        let mut free: Vec<(usize, Name)> = upkeep
            .left(&self.waves.machines)
            .filter(|name| !upkeep.phases.contains_key(*name) && self.waves.machines[*name].up)
            .filter(|name| !self.waves.is_going_down(name))
            .filter(|name| upkeep.resting.get(*name).is_none_or(|until| *until <= now))
            .map(|name| (self.lasting_on(name), name.clone()))
            .collect();
        free.sort();
        for (_, name) in free {
            if width == 0 {
                return;
            }
            let worker = self.worker_of(&name);
            if worker.is_some_and(|worker| !self.can_be_spared(worker)) {
                self.thin_out(worker);
                continue;
            }
            if let Some(worker) = worker {
                self.workers[worker].upkeep = true;
            }
            if let Some(upkeep) = self.waves.open.get_mut(&number) {
                upkeep.phases.insert(name, Phase::Emptying(now));
            }
            width -= 1;
        }
    }

    /// Tells whether one more machine of a wave may go down: fewer than its operator allows are down,
    /// for whatever reason, or may be after an order that isn't settled.
    fn may_go_down(&self, number: WaveNumber) -> bool {
        let Some(upkeep) = self.waves.open.get(&number) else { return false };
        if self.now < self.owned_at + INHERIT_TIME {
            return false;
        }
        let down = upkeep.wave.machines.iter().filter(|name| {
            let listed_down = self.waves.machines.get(*name).is_some_and(|machine| !machine.up);
            listed_down || self.waves.is_going_down(name)
        });
        down.count() < upkeep.wave.cap
    }

    /// Takes a machine back; it is tried again later.
    fn give_up(&mut self, number: WaveNumber, name: &Name) {
        if let Some(upkeep) = self.waves.open.get_mut(&number) {
            upkeep.phases.remove(name);
            upkeep.resting.insert(name.clone(), self.now + REST);
        }
        self.take_back(name);
    }

    fn order(&mut self, number: WaveNumber, name: &Name) {
        let now = self.now;
        let Some(upkeep) = self.waves.open.get_mut(&number) else { return };
        upkeep.phases.insert(name.clone(), Phase::Ordered(now));
        if let Some(worker) = self.worker_of(name) {
            self.workers[worker].going_down = true;
        }
        self.actions.push(Action::Upkeep { wave: number, machine: name.clone() });
    }

    fn worker_of(&self, name: &Name) -> Option<WorkerId> {
        let worker: &id::Instance = self.waves.machines.get(name)?.worker.as_ref()?;
        self.names.get(worker).copied()
    }

    fn lasting_on(&self, name: &Name) -> usize {
        let worker = self.worker_of(name).and_then(|worker| self.workers.get(worker));
        worker.map_or(0, |worker| worker.runs.values().filter(|hosted| hosted.lasts).count())
    }

    /// Lets a machine take tasks again that has no upkeep after all.
    fn take_back(&mut self, name: &Name) {
        if let Some(worker) = self.worker_of(name) {
            self.workers[worker].upkeep = false;
            self.workers[worker].going_down = false;
            self.room_changed = true;
        }
    }

    /// Goes on emptying a machine; tells whether its upkeep may begin.
    fn is_empty(&mut self, name: &Name, since: Time) -> bool {
        let Some(worker) = self.worker_of(name) else { return true };
        if !self.can_be_spared(worker) {
            // Another of its steps' tasks went away meanwhile.
            return false;
        }
        let passing: Vec<(Run, bool)> = self.workers[worker]
            .runs
            .iter()
            .filter(|(_, hosted)| !hosted.lasts)
            .map(|(run, hosted)| (*run, hosted.checkpointing))
            .collect();
        let late = self.now >= since + EMPTY_TIME;
        for &(run, _) in passing.iter().filter(|(_, checkpointing)| *checkpointing || late) {
            self.stop_run(worker, run, Why::Leaving);
        }
        // An end that went down with its worker would be forgotten, and its task run again.
        passing.is_empty() && self.workers[worker].unacknowledged.is_empty()
    }

    fn keep_wave(&mut self, number: WaveNumber, progress: Progress) {
        let Some(upkeep) = self.waves.open.get(&number) else { return };
        let begun = upkeep.begun.iter().cloned().collect();
        self.actions.push(Action::KeepWave { wave: number, progress, begun });
    }
}
