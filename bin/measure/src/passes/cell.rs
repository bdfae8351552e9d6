//! A cell under load: workers that answer at once, tasks that serve on each, and fills that wait for room.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::event::Event;
use cowslipchute_planner::planner::Planner;
use cowslipchute_planner::settings::Settings;
use cowslipchute_ports::deployment::Config;
use cowslipchute_ports::deployment::Limits;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::executor::Timestamp;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;

use crate::processor;

/// Processors of a worker, in thousandths, and its memory.
const CAPACITY: Amount = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
/// When every worker started, in Unix milliseconds.
const BORN: Option<id::Incarnation> = Some(1_780_000_000_000);
/// Images of tasks that serve; two of them run on each worker.
const SERVING_IMAGES: usize = 16;
/// Images of fills that wait.
const FILLING_IMAGES: usize = 12;
/// Time between two writes, before each of which the planner places what it can.
const WRITE_GAP: Duration = Duration::from_millis(35);
/// How often each worker accounts for its runs.
const ACCOUNT_GAP: Duration = Duration::from_millis(500);
/// Figure of a task that serves, in milliseconds, and its target.
const TAIL: u32 = 110;
const TARGET: Duration = Duration::from_millis(150);

/// Processor time spent on a second of the cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Taking accounts in.
    pub accounts: Duration,
    /// Placing, writing and ordering.
    pub settling: Duration,
}

/// The cell.
pub struct Cell {
    planner: Planner,
    now: Time,
    names: Vec<id::Instance>,
    runs: HashMap<id::Instance, Vec<(Run, bool)>>,
    /// Whom the last hold of each worker was meant for.
    targets: HashMap<id::Instance, Target>,
    actions: Vec<Action>,
    next: usize,
}

impl Cell {
    /// Opens a cell of so many workers, full of tasks that serve, in which fills wait.
    pub fn open(workers: usize) -> Cell {
        let mut cell = Cell {
            planner: Planner::open(Settings::default()),
            now: Duration::from_secs(1000),
            names: (0..workers).map(|index| format!("worker-{index}").as_str().into()).collect(),
            runs: HashMap::new(),
            targets: HashMap::new(),
            actions: Vec::new(),
            next: 0,
        };
        cell.own();
        cell.serve();
        cell.fill();
        cell
    }

    /// Lets a second pass, in which each worker accounts for its runs twice; returns what that took.
    pub fn second(&mut self) -> Cost {
        let mut cost = Cost::default();
        let passes = Duration::from_secs(1).div_duration_f64(WRITE_GAP).round() as usize;
        let accounts = 1.0 / ACCOUNT_GAP.as_secs_f64() / passes as f64 * self.names.len() as f64;
        for _ in 0..passes {
            self.now += WRITE_GAP;
            let begun = processor::now();
            for _ in 0..accounts.ceil() as usize {
                self.account();
            }
            let accounted = processor::now();
            self.planner.advance(self.now, &mut self.actions);
            cost.settling += processor::now().saturating_sub(accounted);
            cost.accounts += accounted.saturating_sub(begun);
            self.answer();
        }
        cost
    }

    fn step(&mut self, event: Event) {
        self.planner.step(self.now, event, &mut self.actions);
    }

    fn own(&mut self) {
        let queue = |name: &str, priority| Queue {
            name: name.into(),
            host: "host".into(),
            prefix: "/".into(),
            service: "desk".into(),
            priority,
            max_attempts: 3,
            slack_factor: 1.5,
            allowance: Duration::from_millis(250),
            advice: None,
        };
        let limits = Limits {
            max_header_bytes: 1 << 14,
            max_body_bytes: 1 << 18,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        let queues = vec![queue("serving", 0), queue("filling", 2)];
        let config = Arc::new(Config { version: 1, queues, services: Vec::new(), limits });
        self.step(Event::Config { config });
        let (jobs, records) = (Vec::new(), Vec::new());
        self.step(Event::OwnershipAcquired { epoch: 1, jobs, records, estimates: None });
        self.step(Event::LeaseRenewed { until: self.now + Duration::from_secs(3600) });
        for index in 0..self.names.len() {
            let registration = registration(index, self.names[index].clone());
            self.step(Event::Listed { registration });
        }
        self.settle();
        for _ in 0..self.names.len() {
            self.account();
        }
    }

    /// Hands in two tasks that serve for each worker.
    fn serve(&mut self) {
        let each = (self.names.len() * 2).div_ceil(SERVING_IMAGES) as u32;
        for image in 0..SERVING_IMAGES {
            let step = Step {
                count: each,
                demand: Amount { cpu_milli: 13_000, memory_mib: 13_000, accelerators: 0 },
                estimate: Duration::from_millis(500),
                long_running: true,
                image: Some(format!("serving-{image}").as_str().into()),
                latency_target: Some(TARGET),
                ..Step::default()
            };
            self.submit(image as JobId, "serving", step);
        }
        // Tasks that last wait for a while beside room that is kept for short ones.
        for _ in 0..100 {
            self.now += WRITE_GAP;
            self.settle();
        }
    }

    /// Hands in more fills than there is room for.
    fn fill(&mut self) {
        for image in 0..FILLING_IMAGES {
            let step = Step {
                count: self.names.len() as u32,
                demand: Amount { cpu_milli: 3_500, memory_mib: 6_400, accelerators: 0 },
                estimate: Duration::from_millis(2700),
                best_effort: true,
                checkpointing: true,
                image: Some(format!("filling-{image}").as_str().into()),
                ..Step::default()
            };
            self.submit((SERVING_IMAGES + image) as JobId, "filling", step);
        }
        for _ in 0..20 {
            self.now += WRITE_GAP;
            self.settle();
        }
    }

    fn submit(&mut self, job: JobId, queue: &str, step: Step) {
        let spec = Spec { payload: "payload".into(), steps: vec![step], schedule: None };
        let (queue, service) = (queue.into(), "desk".into());
        let accepted = Arc::new(Accepted { queue, service, spec, cancelled: false });
        self.step(Event::Job { job, accepted });
    }

    fn settle(&mut self) {
        self.planner.advance(self.now, &mut self.actions);
        self.answer();
    }

    /// Does what was decided: writes are made and starts succeed at once.
    fn answer(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Write { batch, .. } => {
                        self.step(Event::Written { batch });
                        self.planner.advance(self.now, &mut self.actions);
                    }
                    Action::Start { target, start } => {
                        let fills = start.run.task.job >= SERVING_IMAGES as JobId;
                        let runs = self.runs.entry(target.name.clone()).or_default();
                        runs.push((start.run, fills));
                        let outcome = Ok(self.clock());
                        self.step(Event::StartResult { target, run: start.run, outcome });
                    }
                    Action::Stop { target, run } => {
                        let outcome = Ok(self.clock());
                        self.step(Event::StopResult { target, run, outcome });
                    }
                    Action::Throttle { target, run, percent } => {
                        let outcome = Ok(self.clock());
                        self.step(Event::ThrottleResult { target, run, percent, outcome });
                    }
                    Action::Heartbeat { target, .. } => {
                        self.targets.insert(target.name.clone(), target);
                    }
                    _ => {}
                }
            }
        }
    }

    fn clock(&self) -> Timestamp {
        self.now.as_millis() as Timestamp
    }

    /// The next worker accounts for its runs.
    fn account(&mut self) {
        let name = self.names[self.next % self.names.len()].clone();
        self.next += 1;
        let runs = self.runs.get(&name).map_or(&[][..], |runs| runs);
        let running = runs.iter().map(|&(run, fills)| Running {
            run,
            checkpoint: None,
            percent: if fills { 50 } else { 100 },
            measurement: if fills { 3_500 } else { TAIL },
        });
        let running = running.collect();
        let report = Report { started_at: BORN, clock: self.clock(), running, ended: Vec::new() };
        let Some(target) = self.targets.get(&name).cloned() else { return };
        self.step(Event::HeartbeatResult { target, outcome: Ok(report) });
    }
}

fn registration(index: usize, name: id::Instance) -> Registration {
    let host = Ipv4Addr::from(0x0a00_0000 + index as u32);
    Registration {
        name,
        started_at: BORN,
        address: SocketAddr::from((host, 80)),
        service: "desk".into(),
        domain: "domain".into(),
        draining: false,
        capacity: CAPACITY,
        labels: [Arc::from("a")].into_iter().collect(),
        rack: Some(format!("rack-{}", index / 8).as_str().into()),
        warmup_left: Duration::ZERO,
    }
}
