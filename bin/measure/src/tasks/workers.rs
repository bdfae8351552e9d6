//! Worker side of the simulation.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Sequence;
use cowslipchute_ports::list;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;

use crate::sample::normal;
use crate::tasks::fleet::WARM_UP;
use crate::tasks::machine::Context;
use crate::tasks::machine::Effects;
use crate::tasks::machine::Progress;
use crate::tasks::machine::USAGE_INTERVAL;
use crate::tasks::sim_event::SimEvent;
use crate::tasks::simulation::Simulation;

/// One-way delay between a cell's owner and a worker.
pub(super) const WORKER_DELAY: Duration = Duration::from_micros(300);
/// Time until an exchange with a crashed worker fails.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which workers advance without an exchange.
pub(super) const ADVANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a crash until the platform's list omits the worker.
const LIST_DELAY: Duration = Duration::from_secs(15);
/// Time from a crash until the worker restarts.
const RESTART_DELAY: Duration = Duration::from_secs(60);
/// Standard deviation of a measured slowdown.
const SLOWDOWN_NOISE: f64 = 0.003;

/// Returns the instance name of a worker.
pub(super) fn worker_name(worker: usize) -> id::Instance {
    format!("worker-{worker:04}").into()
}

fn worker_address(worker: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 1, (worker / 256) as u8, (worker % 256) as u8), 9000).into()
}

impl Simulation<'_> {
    pub(super) fn deliver(&mut self, worker: usize, sequence: Sequence, exchange: &Exchange) {
        if !self.machines[worker].alive {
            self.queue.after(EXCHANGE_TIMEOUT, SimEvent::Failed { worker, sequence });
            return;
        }
        let now = self.queue.now();
        let mut effects = Effects::default();
        let mut context =
            Context { jobs: &self.jobs, model: &self.model, checkpoints: &mut self.checkpoints };
        let names = &self.names;
        let find = |job: &id::Job| names[job];
        let machine = &mut self.machines[worker];
        let report = machine.exchange(now, exchange, &mut context, &find, &mut effects);
        self.record_effects(worker, &effects);
        self.record_completions(&report);
        self.queue.after(WORKER_DELAY, SimEvent::Reported { sequence, report });
    }

    pub(super) fn record_effects(&mut self, worker: usize, effects: &Effects) {
        self.record_progress(&effects.progress);
        self.record_progress(&Progress { lost: effects.lost, ..Progress::default() });
        let counts = &mut self.figures.counts;
        counts.starts += effects.started.len() as u64;
        counts.evictions += effects.evictions;
        counts.throttles += effects.throttles;
        counts.beyond += effects.beyond;
        for run in &effects.started {
            self.record_start(worker, run);
        }
    }

    pub(super) fn record_start(&mut self, worker: usize, run: &worker::Run) {
        let job = self.names[&run.job];
        let key = (job, run.task);
        let previous = self.places.insert(key, worker);
        if previous.is_some_and(|previous| self.runs_other_attempt(previous, run)) {
            self.figures.counts.two_places += 1;
        }
        if let Some(arrived) = self.urgent_waiting.remove(&job) {
            let latency = self.queue.now() - arrived;
            self.figures.urgent.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns `true` if the worker still holds another attempt of the same task.
    pub(super) fn runs_other_attempt(&self, worker: usize, run: &worker::Run) -> bool {
        let from = worker::Run { attempt: 0, ..run.clone() };
        let to = worker::Run { attempt: id::Attempt::MAX, ..run.clone() };
        let mut same = self.machines[worker].runs.range(from..=to);
        same.any(|(name, held)| name.attempt != run.attempt && held.is_held())
    }

    pub(super) fn record_completions(&mut self, report: &Report) {
        for held in report.held.iter().filter(|held| held.phase == Phase::Done) {
            let key = (self.names[&held.run.job], held.run.task);
            match self.done.insert(key, held.run.attempt) {
                None => self.figures.counts.done += 1,
                Some(attempt) if attempt == held.run.attempt => {}
                Some(_) => self.figures.counts.done_twice += 1,
            }
        }
    }

    pub(super) fn record_progress(&mut self, progress: &Progress) {
        if self.queue.now() >= WARM_UP {
            self.figures.progress.add(progress);
        }
    }

    pub(super) fn advance_worker(&mut self, worker: usize) {
        self.queue.after(ADVANCE_INTERVAL, SimEvent::Advance(worker));
        if !self.machines[worker].alive {
            return;
        }
        let now = self.queue.now();
        let mut context =
            Context { jobs: &self.jobs, model: &self.model, checkpoints: &mut self.checkpoints };
        let machine = &mut self.machines[worker];
        let mut progress = machine.advance(now, &mut context);
        let expired = machine.expire_lease(now, &self.jobs, &mut progress.lost);
        if now.as_millis() % USAGE_INTERVAL.as_millis() < ADVANCE_INTERVAL.as_millis() {
            let noise = &mut self.noise;
            machine.measure(now, &self.jobs, &mut || SLOWDOWN_NOISE * normal(noise));
        }
        self.figures.counts.lapsed += expired;
        self.record_progress(&progress);
        self.sample_slowdowns(worker);
    }

    pub(super) fn sample_slowdowns(&mut self, worker: usize) {
        if self.queue.now() < WARM_UP {
            return;
        }
        for run in self.machines[worker].runs.values() {
            if run.phase == Phase::Running && self.jobs[run.job].is_service() {
                self.figures.slowdown.saturating_record((run.slowdown * 1000.0) as u64);
                self.figures.batch_slowdown.saturating_record((run.batch_slowdown * 1000.0) as u64);
            }
        }
    }

    pub(super) fn crash_worker(&mut self, worker: usize) {
        let lost = self.machines[worker].crash(&self.jobs);
        self.record_progress(&Progress { lost, ..Progress::default() });
        self.listed[worker] = false;
        self.queue.after(LIST_DELAY, SimEvent::ListChange);
        self.queue.after(RESTART_DELAY, SimEvent::Restart(worker));
    }

    pub(super) fn publish_list(&mut self) {
        self.version += 1;
        let listed = (0..self.machines.len()).filter(|&worker| self.listed[worker]);
        let members = listed.map(|worker| self.member(worker)).collect();
        let view = list::View { version: self.version, members };
        self.step(Event::Listed { view });
    }

    pub(super) fn member(&self, worker: usize) -> list::Member {
        let machine = &self.machines[worker];
        list::Member {
            instance: machine.instance.clone(),
            incarnation: machine.incarnation,
            role: list::Role::Worker,
            state: list::State::Live,
            domain: "domain-0".into(),
            rack: format!("rack-{}", worker / self.fleet.rack).into(),
            address: worker_address(worker),
            service: "".into(),
            slots: 0,
            connections: 0,
            capacity: machine.capacity,
        }
    }
}
