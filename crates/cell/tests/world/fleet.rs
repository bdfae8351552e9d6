//! Fake workers that follow the protocol of `ports::worker`, with injectable faults.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Checkpoint;
use cowslipchute_base::id::Epoch;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Grant;
use cowslipchute_ports::worker::Held;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;
use cowslipchute_ports::worker::Usage;

/// Default time of a checkpoint.
const CHECKPOINT_TIME: Duration = Duration::from_millis(300);
/// Time of a stop.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Time after which a failing run fails.
const FAIL_TIME: Duration = Duration::from_millis(100);

/// A scheduled change of a run's phase.
#[derive(Clone, Debug)]
struct Change {
    at: Time,
    to: Phase,
}

#[derive(Clone, Debug)]
struct Entry {
    held: Held,
    /// The inventory version of its last change.
    version: u64,
    change: Option<Change>,
    started: Time,
    /// Work preserved from earlier runs by the checkpoint.
    resumed_work: Duration,
}

/// A start command that took effect.
#[derive(Clone, Debug)]
pub struct Started {
    pub run: Run,
    pub checkpoint: Option<Checkpoint>,
}

#[derive(Debug)]
pub struct Fake {
    pub name: String,
    pub incarnation: u64,
    pub rack: String,
    pub capacity: Amount,
    pub alive: bool,
    /// Whether it is partitioned: no exchange reaches it.
    pub partitioned: bool,
    /// Number of answers still to be lost.
    pub lose_answers: u32,
    /// Number of exchanges still to be lost before they arrive, which the sender can't distinguish
    /// from a lost answer.
    pub lose_exchanges: u32,
    /// Number of exchanges still to be delayed: they are reported as lost and may arrive later.
    pub delay_exchanges: u32,
    /// Time of a checkpoint.
    pub checkpoint_time: Duration,
    /// Whether all its runs fail.
    pub fails_runs: bool,
    pub leaving: bool,
    epoch: Epoch,
    lease: Time,
    /// Its clock's reading at scenario time zero.
    offset: Duration,
    version: u64,
    entries: BTreeMap<Run, Entry>,
    pub usage: Vec<Usage>,
}

impl Fake {
    pub fn new(name: &str, rack: &str, capacity: Amount, index: u64) -> Fake {
        Fake {
            name: name.to_owned(),
            incarnation: 1,
            rack: rack.to_owned(),
            capacity,
            alive: true,
            partitioned: false,
            lose_answers: 0,
            lose_exchanges: 0,
            delay_exchanges: 0,
            checkpoint_time: CHECKPOINT_TIME,
            fails_runs: false,
            leaving: false,
            epoch: 0,
            lease: Time::ZERO,
            offset: Duration::from_secs(1000 * index),
            version: 1,
            entries: BTreeMap::new(),
            usage: Vec::new(),
        }
    }

    /// Starts a new incarnation without the runs of the old one.
    pub fn restart(&mut self) {
        let fresh = Fake::new(&self.name, &self.rack, self.capacity, self.incarnation + 7);
        *self = Fake { incarnation: self.incarnation + 1, fails_runs: self.fails_runs, ..fresh };
    }

    pub fn crash(&mut self) {
        self.alive = false;
        self.entries.clear();
    }

    pub fn stamp(&self, now: Time) -> u64 {
        (now + self.offset).as_millis() as u64
    }

    /// Applies the phase changes that are due by `now` and stops all runs if the lease has expired.
    pub fn advance(&mut self, now: Time) {
        if !self.alive {
            return;
        }
        let runs: Vec<Run> = self.entries.keys().cloned().collect();
        for run in runs {
            let entry = &self.entries[&run];
            if !is_active(&entry.held.phase) {
                continue;
            }
            let change = entry.change.clone().filter(|change| change.at <= now);
            let lapsed = now + self.offset > self.lease;
            match change {
                Some(change) if change.at + self.offset <= self.lease => self.set(&run, change.to),
                _ if lapsed => self.set(&run, Phase::Stopped),
                _ => {}
            }
        }
    }

    fn set(&mut self, run: &Run, phase: Phase) {
        self.version += 1;
        let entry = self.entries.get_mut(run).expect("a run that is held");
        entry.held.phase = phase;
        entry.change = None;
        entry.version = self.version;
    }

    /// Executes or refuses an exchange and returns its report and the starts that took effect.
    pub fn exchange(&mut self, now: Time, exchange: &Exchange) -> (Report, Vec<Started>) {
        self.advance(now);
        let obeyed = exchange.incarnation == self.incarnation && exchange.epoch >= self.epoch;
        let mut started = Vec::new();
        if obeyed {
            self.epoch = exchange.epoch;
            if let Some(grant) = exchange.grant {
                self.lease = self.lease.max(Duration::from_millis(grant.stamp) + grant.valid);
            }
            for command in &exchange.commands {
                self.execute(now, command, exchange.grant, &mut started);
            }
            for run in &exchange.acks {
                if self.entries.get(run).is_some_and(|entry| !is_active(&entry.held.phase)) {
                    self.set(run, Phase::Forgotten);
                }
            }
        }
        self.advance(now);
        (self.report(now, exchange.known, obeyed), started)
    }

    fn report(&mut self, now: Time, known: u64, obeyed: bool) -> Report {
        let whole = known == 0;
        let is_reported = |entry: &&Entry| match whole {
            true => entry.held.phase != Phase::Forgotten,
            false => entry.version > known,
        };
        Report {
            instance: self.name.as_str().into(),
            incarnation: self.incarnation,
            stamp: self.stamp(now),
            epoch: self.epoch,
            obeyed,
            version: self.version,
            whole,
            held: self
                .entries
                .values()
                .filter(is_reported)
                .map(|entry| entry.held.clone())
                .collect(),
            usage: if obeyed { std::mem::take(&mut self.usage) } else { Vec::new() },
            leaving: self.leaving,
        }
    }

    fn execute(
        &mut self,
        now: Time,
        command: &Command,
        grant: Option<Grant>,
        started: &mut Vec<Started>,
    ) {
        match command {
            Command::Start { run, amount, checkpoint, duration } => {
                let known = self.entries.get(run).is_some_and(|e| e.held.phase != Phase::Forgotten);
                if !known {
                    self.start(now, run, *amount, checkpoint.as_ref(), *duration);
                    // A run needs a lease, and a start is ignored after the lease granted with it
                    // has expired.
                    let until = grant.map(|g| Duration::from_millis(g.stamp) + g.valid);
                    if until.is_none_or(|until| now + self.offset > until) {
                        return self.set(run, Phase::Stopped);
                    }
                    started.push(Started { run: run.clone(), checkpoint: checkpoint.clone() });
                }
            }
            Command::Stop { run } => self.end(now, run, STOP_TIME, Phase::Stopped),
            Command::Evict { run } => {
                let checkpoint = self.progress(now, run);
                self.end(
                    now,
                    run,
                    self.checkpoint_time,
                    Phase::Evicted { checkpoint: Some(checkpoint) },
                );
            }
            Command::Throttle { run, permille } => {
                if let Some(entry) = self.entries.get_mut(run) {
                    self.version += 1;
                    entry.version = self.version;
                    entry.held.permille = *permille;
                }
            }
        }
    }

    fn start(
        &mut self,
        now: Time,
        run: &Run,
        amount: Amount,
        checkpoint: Option<&Checkpoint>,
        duration: Duration,
    ) {
        let resumed_work = checkpoint.map_or(Duration::ZERO, |text| parse_work(text));
        let change = if self.fails_runs {
            let reason = String::from("the worker is broken");
            Some(Change { at: now + FAIL_TIME, to: Phase::Failed { reason } })
        } else if run.job.starts_with("bad") {
            let reason = String::from("the job is broken");
            Some(Change { at: now + FAIL_TIME, to: Phase::Failed { reason } })
        } else if duration.is_zero() {
            None
        } else {
            Some(Change { at: now + duration.saturating_sub(resumed_work), to: Phase::Done })
        };
        self.version += 1;
        let held = Held { run: run.clone(), amount, phase: Phase::Running, permille: 1000 };
        let entry = Entry { held, version: self.version, change, started: now, resumed_work };
        self.entries.insert(run.clone(), entry);
    }

    fn end(&mut self, now: Time, run: &Run, after: Duration, to: Phase) {
        match self.entries.get(run).map(|entry| entry.held.phase.clone()) {
            Some(Phase::Running | Phase::Stopping) => {
                self.set(run, Phase::Stopping);
                let entry = self.entries.get_mut(run).expect("it was found");
                entry.change = Some(Change { at: now + after, to });
            }
            Some(Phase::Done | Phase::Failed { .. } | Phase::Evicted { .. } | Phase::Stopped) => {
                self.version += 1;
                self.entries.get_mut(run).expect("it was found").version = self.version;
            }
            Some(Phase::Forgotten) | None => {
                self.version += 1;
                let (held, version) = (forgotten(run), self.version);
                let resumed_work = Duration::ZERO;
                let entry = Entry { held, version, change: None, started: now, resumed_work };
                self.entries.insert(run.clone(), entry);
            }
        }
    }

    /// Returns a checkpoint name that contains the run and the work done so far.
    fn progress(&self, now: Time, run: &Run) -> Checkpoint {
        let worked =
            self.entries.get(run).map_or(Duration::ZERO, |e| e.resumed_work + (now - e.started));
        format!("{}/{}#{}@{}", run.job, run.task, run.attempt, worked.as_millis()).into()
    }

    /// Iterates over the runs that use the worker's capacity.
    pub fn active(&self) -> impl Iterator<Item = &Held> {
        self.entries.values().map(|entry| &entry.held).filter(|held| is_active(&held.phase))
    }

    /// Iterates over the runs in its complete inventory.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        let is_reported = |held: &&Held| held.phase != Phase::Forgotten;
        self.entries.values().map(|entry| &entry.held).filter(is_reported)
    }

    pub fn find(&self, job: &str, task: u32) -> Option<Run> {
        let mut found = self.active().filter(|held| &*held.run.job == job && held.run.task == task);
        found.next().map(|held| held.run.clone())
    }
}

fn forgotten(run: &Run) -> Held {
    Held { run: run.clone(), amount: Amount::ZERO, phase: Phase::Forgotten, permille: 1000 }
}

fn is_active(phase: &Phase) -> bool {
    matches!(phase, Phase::Running | Phase::Stopping)
}

fn parse_work(checkpoint: &str) -> Duration {
    let millis = checkpoint.rsplit('@').next().and_then(|text| text.parse().ok());
    Duration::from_millis(millis.expect("a checkpoint of a fake worker"))
}
