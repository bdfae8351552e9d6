//! The machines of the planner's world: a worker's key names its machine over all lives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::machine::Failure;
use cowslipchute_ports::machine::Machine;
use cowslipchute_ports::machine::Name;
use cowslipchute_ports::machine::Progress;
use cowslipchute_ports::machine::Wave;
use cowslipchute_ports::machine::WaveNumber;

use super::Arrival;
use super::ONE_WAY_DELAY;
use super::World;

/// How long an upkeep takes.
const UPKEEP: Duration = Duration::from_secs(2);
/// How often the owner lists the machines.
const LIST_PAUSE: Duration = Duration::from_millis(300);

/// Machines and the waves that were asked for.
#[derive(Debug, Default)]
pub struct Machines {
    waves: BTreeMap<WaveNumber, Wave>,
    /// How far each is, as the store holds it.
    pub stored: BTreeMap<WaveNumber, (Progress, Vec<Name>)>,
    /// Machines that are down, and when they are back.
    up_at: BTreeMap<String, Time>,
    begun: BTreeSet<(WaveNumber, Name)>,
    listed_at: Time,
    /// Answers to the next so many orders get lost.
    pub lost_answers: u32,
    /// Whether the list can't be had.
    pub list_unavailable: bool,
    /// Steps whose tasks have all been at work.
    full_steps: BTreeSet<StepId>,
    /// The most tasks of one step that were away at once.
    pub max_unavailable: usize,
}

impl Machines {
    /// Tells whether a machine is down for its upkeep, so that nothing else happens to it.
    pub fn is_down(&self, name: &str) -> bool {
        self.up_at.contains_key(name)
    }
}

impl World {
    /// The operator asks for a wave.
    pub fn add_rollout(
        &mut self,
        number: WaveNumber,
        names: Vec<Name>,
        duration: Duration,
        cap: usize,
    ) {
        let rollout = Wave { number, machines: names, duration, cap };
        self.machines.waves.insert(number, rollout.clone());
        self.tell(Event::Rollout { rollout, started: Vec::new() });
    }

    /// Returns what a new owner is told of the waves that aren't completed.
    pub(super) fn open_waves(&self) -> Vec<Event> {
        let open = self.machines.waves.values().filter_map(|wave| {
            let kept = self.machines.stored.get(&wave.number);
            let started = match kept {
                Some((Progress::Completed, _)) => return None,
                Some((Progress::Active, started)) => started.clone(),
                None => Vec::new(),
            };
            Some(Event::Rollout { rollout: wave.clone(), started })
        });
        open.collect()
    }

    /// Tells whether a wave isn't completed.
    pub fn has_open_waves(&self) -> bool {
        !self.open_waves().is_empty()
    }

    pub(super) fn advance_machines(&mut self) {
        let now = self.now;
        let back: Vec<String> = self
            .machines
            .up_at
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in back {
            self.machines.up_at.remove(&name);
            self.crash(&name, true);
        }
        self.count_unavailable();
        let wanted = self.planner.as_ref().is_some_and(|planner| planner.needs_machine_list());
        if wanted && !self.machines.list_unavailable && now >= self.machines.listed_at + LIST_PAUSE
        {
            self.machines.listed_at = now;
            let machines = self.workers.iter().map(|(name, worker)| Machine {
                name: name.as_str().into(),
                up: worker.up,
                worker: worker.up.then(|| worker.name.clone()),
            });
            let event = Event::Machines { machines: machines.collect(), requested_at: now };
            self.tell(event);
        }
    }

    pub(super) fn upkeep(&mut self, term: u32, rollout: WaveNumber, name: &Name) {
        let outcome = self.begin_upkeep(rollout, name);
        let (at, outcome) = if self.machines.lost_answers > 0 {
            self.machines.lost_answers -= 1;
            (self.now + super::TIMEOUT, Err(Failure::Unknown))
        } else {
            (self.now + ONE_WAY_DELAY, outcome)
        };
        let event = Event::MaintenanceResult { rollout, machine: name.clone(), outcome };
        self.push(at, Arrival::Event(term, event));
    }

    fn begin_upkeep(&mut self, number: WaveNumber, name: &Name) -> Result<(), Failure> {
        if self.machines.begun.contains(&(number, name.clone())) {
            return Ok(());
        }
        match self.workers.get(&**name) {
            None => return Err(Failure::Missing),
            Some(worker) if !worker.up => return Err(Failure::Busy),
            Some(_) => {}
        }
        let wave = &self.machines.waves[&number];
        let down = wave.machines.iter().filter(|name| self.machines.is_down(name));
        assert!(down.count() < wave.cap, "more machines of wave {number} are down than may be");
        self.machines.begun.insert((number, name.clone()));
        self.crash(name, false);
        self.machines.up_at.insert(name.to_string(), self.now + UPKEEP);
        Ok(())
    }

    pub(super) fn store_rollout(&mut self, wave: WaveNumber, progress: Progress, begun: Vec<Name>) {
        if progress == Progress::Completed {
            let wanted = self.machines.waves[&wave].machines.iter();
            let mut left = wanted.filter(|name| self.workers.contains_key(&***name));
            let missed = left.find(|name| !self.machines.begun.contains(&(wave, (*name).clone())));
            assert_eq!(missed, None, "a wave is completed before the upkeep of a machine began");
        }
        self.machines.stored.insert(wave, (progress, begun));
    }

    /// Counts how many tasks of a step that lasts are away, once it has been whole.
    fn count_unavailable(&mut self) {
        for (job, accepted) in &self.jobs {
            for (index, step) in accepted.spec.steps.iter().enumerate() {
                if !step.long_running {
                    continue;
                }
                let id = StepId { job: *job, occurrence: 0, step: index as u16 };
                let up = self.workers.values().filter(|worker| worker.up);
                let runs = up.flat_map(|worker| worker.active.iter());
                let at_work = runs
                    .filter(|(run, active)| run.task.step_id() == id && active.ending.is_none());
                let away = (step.count as usize).saturating_sub(at_work.count());
                if away == 0 {
                    self.machines.full_steps.insert(id);
                } else if self.machines.full_steps.contains(&id) {
                    self.machines.max_unavailable = self.machines.max_unavailable.max(away);
                }
            }
        }
    }

    /// Tells how far the waves are, and how many tasks of a step were away at most.
    pub fn describe_waves(&self) -> String {
        let mut text = String::new();
        for (number, (progress, begun)) in &self.machines.stored {
            text.push_str(&format!("wave {number}: {progress:?}, {} begun\n", begun.len()));
        }
        text.push_str(&format!("away at once: {}", self.machines.max_unavailable));
        text
    }
}
