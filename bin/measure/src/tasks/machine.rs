//! Fake worker: implements the worker port and runs tasks at hidden speeds.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;

use crate::tasks::interference::Interference;
use crate::tasks::model::Job;
use crate::tasks::model::Model;
use crate::tasks::run::Checkpoints;
use crate::tasks::run::FULL_SPEED;
use crate::tasks::run::Run;
use crate::tasks::run::Work;
use crate::tasks::run::cpu_usage;
use crate::tasks::run::inventory_entry;
use crate::tasks::run::is_batch_or_trial;
use crate::tasks::run::run_for;
use crate::tasks::run::update_phase;

/// Minimum age of a measurement before a report carries it.
pub const USAGE_LAG: Duration = Duration::from_secs(10);
/// Interval between measurements of a worker's runs.
pub const USAGE_INTERVAL: Duration = Duration::from_secs(10);

/// State shared by the runs of all workers.
pub struct Context<'a> {
    /// All jobs with their actual properties.
    pub jobs: &'a [Job],
    /// Interference between kinds of jobs.
    pub model: &'a Model,
    /// Work saved in checkpoints, in seconds at full speed.
    pub checkpoints: &'a mut Checkpoints,
}

/// Effects of an exchange, for the figures.
#[derive(Debug, Default)]
pub struct Effects {
    /// Progress since the previous call.
    pub progress: Progress,
    /// Runs started.
    pub started: Vec<worker::Run>,
    /// Starts beyond the worker's capacity.
    pub beyond: u64,
    /// Evictions begun.
    pub evictions: u64,
    /// Throttles set.
    pub throttles: u64,
    /// Work discarded.
    pub lost: Work,
}

/// Work done and processor time used in an interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Batch and trial work done.
    pub work: Work,
    /// Batch and trial work lost to failures.
    pub lost: Work,
    /// Processor time granted to batch and trial runs, working or not, in thousandths of a
    /// processor times seconds.
    pub occupied: f64,
    /// Processor time not granted to paying tasks, in thousandths of a processor times seconds.
    pub available: f64,
}

impl Progress {
    /// Adds the progress of another worker or interval.
    pub fn add(&mut self, other: &Progress) {
        self.work.add(other.work);
        self.lost.add(other.lost);
        self.occupied += other.occupied;
        self.available += other.available;
    }
}

/// One fake worker.
#[derive(Debug)]
pub struct Machine {
    /// Instance name.
    pub instance: id::Instance,
    /// Current incarnation.
    pub incarnation: id::Incarnation,
    /// Total capacity.
    pub capacity: Amount,
    /// Whether the worker answers exchanges.
    pub alive: bool,
    /// Whether every run on this worker fails.
    pub failing: bool,
    /// Runs in the inventory, by name.
    pub runs: BTreeMap<worker::Run, Run>,
    pub(super) epoch: id::Epoch,
    pub(super) lease: Time,
    pub(super) version: u64,
    pub(super) forgotten: VecDeque<Forgotten>,
    pub(super) samples: VecDeque<worker::Usage>,
    pub(super) advanced_at: Time,
}

/// A removed run, kept until the owner has seen a report of its removal.
#[derive(Debug)]
pub(super) struct Forgotten {
    version: u64,
    held: worker::Held,
}

impl Machine {
    /// Creates a worker without runs.
    pub fn open(instance: id::Instance, capacity: Amount) -> Machine {
        Machine {
            instance,
            incarnation: 1,
            capacity,
            alive: true,
            failing: false,
            runs: BTreeMap::new(),
            epoch: 0,
            lease: Time::ZERO,
            version: 1,
            forgotten: VecDeque::new(),
            samples: VecDeque::new(),
            advanced_at: Time::ZERO,
        }
    }

    /// Returns the resources that running and stopping tasks hold.
    pub fn committed(&self) -> Amount {
        let held = self.runs.values().filter(|run| run.is_held());
        held.fold(Amount::ZERO, |sum, run| sum.plus(run.amount))
    }

    /// Crashes the worker with all its runs; returns the work lost.
    pub fn crash(&mut self, jobs: &[Job]) -> Work {
        self.alive = false;
        let mut lost = Work::default();
        for run in self.runs.values_mut() {
            lost.add(run.discard_work(&jobs[run.job]));
        }
        self.runs.clear();
        self.forgotten.clear();
        self.samples.clear();
        lost
    }

    /// Restarts the worker without runs, as the next incarnation.
    pub fn restart(&mut self, now: Time) {
        self.alive = true;
        self.incarnation += 1;
        self.epoch = 0;
        self.version = 1;
        self.advanced_at = now;
    }

    /// Advances all runs at the speeds set by the last call, then sets new speeds.
    pub fn advance(&mut self, now: Time, context: &mut Context<'_>) -> Progress {
        let elapsed = now.saturating_sub(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        let mut progress = Progress {
            available: f64::from(self.capacity.cpu_milli) * elapsed,
            ..Progress::default()
        };
        let mut version = self.version;
        for (name, run) in &mut self.runs {
            if !run.is_held() {
                continue;
            }
            let job = &context.jobs[run.job];
            let work = run_for(run, job, elapsed);
            if is_batch_or_trial(job) {
                progress.work.add(work);
                progress.occupied += f64::from(run.amount.cpu_milli) * elapsed;
            } else {
                progress.available -= f64::from(run.amount.cpu_milli) * elapsed;
            }
            let previous_phase = run.phase.clone();
            progress.lost.add(update_phase(
                run,
                job,
                name.task,
                self.failing,
                now,
                context.checkpoints,
            ));
            if run.phase != previous_phase {
                version += 1;
                run.version = version;
            }
        }
        self.version = version;
        self.set_speeds(now, context);
        progress
    }

    fn set_speeds(&mut self, now: Time, context: &Context<'_>) {
        let mut all_runs = Interference::default();
        let mut paying_runs = Interference::default();
        for run in self.runs.values().filter(|run| run.is_held()) {
            let job = &context.jobs[run.job];
            let share = self.share(run, job);
            all_runs.add(job, share, now);
            if !is_batch_or_trial(job) {
                paying_runs.add(job, share, now);
            }
        }
        let capacity = self.capacity;
        for run in self.runs.values_mut().filter(|run| run.is_held()) {
            let job = &context.jobs[run.job];
            let share = cpu_usage(run, job) / f64::from(capacity.cpu_milli);
            run.slowdown = all_runs.slowdown(job, share, now, context.model);
            if !is_batch_or_trial(job) {
                run.batch_slowdown =
                    run.slowdown / paying_runs.slowdown(job, share, now, context.model);
            }
        }
    }

    /// Returns the share of the worker's processors that a run uses.
    fn share(&self, run: &Run, job: &Job) -> f64 {
        cpu_usage(run, job) / f64::from(self.capacity.cpu_milli)
    }

    /// Stops all runs if the lease has expired; returns the number of runs stopped.
    pub fn expire_lease(&mut self, now: Time, jobs: &[Job], lost: &mut Work) -> u64 {
        if now <= self.lease {
            return 0;
        }
        let mut ended = 0;
        for run in self.runs.values_mut().filter(|run| run.is_held()) {
            lost.add(run.discard_work(&jobs[run.job]));
            self.version += 1;
            run.phase = Phase::Stopped;
            run.version = self.version;
            ended += 1;
        }
        ended
    }

    /// Measures every run, for a later report.
    pub fn measure(&mut self, now: Time, jobs: &[Job], noise: &mut dyn FnMut() -> f64) {
        for (name, run) in &self.runs {
            if run.phase != Phase::Running {
                continue;
            }
            let job = &jobs[run.job];
            let slowdown = (run.slowdown + noise()).max(1.0);
            self.samples.push_back(worker::Usage {
                run: name.clone(),
                amount: Amount {
                    cpu_milli: cpu_usage(run, job) as u32,
                    memory_mib: job.memory.min(f64::from(run.amount.memory_mib)) as u32,
                    accelerators: 0,
                },
                measured: now.as_millis() as u64,
                slowdown_permille: (slowdown * f64::from(FULL_SPEED)) as u32,
            });
        }
    }

    /// Executes an exchange as the worker port requires and returns the report.
    pub fn exchange(
        &mut self,
        now: Time,
        exchange: &Exchange,
        context: &mut Context<'_>,
        find: &dyn Fn(&id::Job) -> usize,
        effects: &mut Effects,
    ) -> Report {
        effects.progress = self.advance(now, context);
        let accepted = exchange.incarnation == self.incarnation && exchange.epoch >= self.epoch;
        if accepted {
            self.epoch = exchange.epoch;
            if let Some(grant) = exchange.grant {
                let until = Duration::from_millis(grant.stamp) + grant.valid;
                self.lease = self.lease.max(until);
            }
            for run in &exchange.acks {
                self.forget(run);
            }
            for command in &exchange.commands {
                self.execute(now, command, context, find, effects);
            }
            self.set_speeds(now, context);
        }
        self.report(now, exchange.known, accepted)
    }

    fn forget(&mut self, name: &worker::Run) {
        if self.runs.get(name).is_none_or(Run::is_held) {
            return;
        }
        let run = self.runs.remove(name).expect("the run was found above");
        self.version += 1;
        let held = inventory_entry(name, &run, Phase::Forgotten);
        self.forgotten.push_back(Forgotten { version: self.version, held });
    }

    pub(super) fn report_unknown(&mut self, name: &worker::Run, version: u64) {
        let held = worker::Held {
            run: name.clone(),
            amount: Amount::ZERO,
            phase: Phase::Forgotten,
            permille: FULL_SPEED,
        };
        self.forgotten.push_back(Forgotten { version, held });
    }

    fn report(&mut self, now: Time, known_version: u64, accepted: bool) -> Report {
        let full = known_version == 0;
        while self.forgotten.front().is_some_and(|forgotten| forgotten.version <= known_version) {
            self.forgotten.pop_front();
        }
        let changed = self.runs.iter().filter(|(_, run)| full || run.version > known_version);
        let mut entries: Vec<_> =
            changed.map(|(name, run)| inventory_entry(name, run, run.phase.clone())).collect();
        if !full {
            entries.extend(self.forgotten.iter().map(|forgotten| forgotten.held.clone()));
        }
        let mut usage = Vec::new();
        let newest = now.saturating_sub(USAGE_LAG).as_millis() as u64;
        while self.samples.front().is_some_and(|sample| sample.measured <= newest) {
            usage.extend(self.samples.pop_front());
        }
        Report {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            stamp: now.as_millis() as u64,
            epoch: self.epoch,
            obeyed: accepted,
            version: self.version,
            whole: full,
            held: entries,
            usage,
            leaving: false,
        }
    }
}
