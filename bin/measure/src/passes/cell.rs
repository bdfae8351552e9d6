//! A loaded cell: workers that answer immediately, service tasks on each, and best-effort tasks
//! that wait for capacity.

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

use crate::cpu_time;

/// Capacity of a worker.
const CAPACITY: Amount = Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 };
/// Start time of every worker, in Unix milliseconds.
const STARTED_AT: Option<id::Incarnation> = Some(1_780_000_000_000);
/// Images of service tasks. Each worker runs two of these tasks.
const SERVICE_IMAGES: usize = 16;
/// Images of waiting best-effort tasks.
const BEST_EFFORT_IMAGES: usize = 12;
/// Interval between writes. The planner places tasks before each write.
const WRITE_INTERVAL: Duration = Duration::from_millis(35);
/// Interval between the reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Reported tail latency of a service task, in milliseconds.
const TAIL_LATENCY_MS: u32 = 110;
/// Latency target of a service task.
const LATENCY_TARGET: Duration = Duration::from_millis(150);

/// Processor time per second of virtual time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processing reports.
    pub reports: Duration,
    /// Placing tasks, writing records and sending commands.
    pub planning: Duration,
}

/// A cell under load.
pub struct Cell {
    planner: Planner,
    now: Time,
    names: Vec<id::Instance>,
    runs: HashMap<id::Instance, Vec<(Run, bool)>>,
    /// Target of the last heartbeat to each worker.
    targets: HashMap<id::Instance, Target>,
    actions: Vec<Action>,
    next_worker: usize,
}

impl Cell {
    /// Creates a cell that is full of service tasks, with best-effort tasks waiting.
    pub fn open(workers: usize) -> Cell {
        let mut cell = Cell {
            planner: Planner::open(Settings::default()),
            now: Duration::from_secs(1000),
            names: (0..workers).map(|index| format!("worker-{index}").as_str().into()).collect(),
            runs: HashMap::new(),
            targets: HashMap::new(),
            actions: Vec::new(),
            next_worker: 0,
        };
        cell.acquire();
        cell.submit_services();
        cell.submit_best_effort();
        cell
    }

    /// Advances by a second, in which each worker reports twice; returns the processor time used.
    pub fn run_second(&mut self) -> Cost {
        let mut cost = Cost::default();
        let passes = Duration::from_secs(1).div_duration_f64(WRITE_INTERVAL).round() as usize;
        let reports = 1.0 / REPORT_INTERVAL.as_secs_f64() / passes as f64 * self.names.len() as f64;
        for _ in 0..passes {
            self.now += WRITE_INTERVAL;
            let reports_started = cpu_time::now();
            for _ in 0..reports.ceil() as usize {
                self.report_next();
            }
            let planning_started = cpu_time::now();
            self.planner.advance(self.now, &mut self.actions);
            cost.planning += cpu_time::now().saturating_sub(planning_started);
            cost.reports += planning_started.saturating_sub(reports_started);
            self.apply_actions();
        }
        cost
    }

    fn step(&mut self, event: Event) {
        self.planner.step(self.now, event, &mut self.actions);
    }

    fn acquire(&mut self) {
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
        self.plan();
        for _ in 0..self.names.len() {
            self.report_next();
        }
    }

    /// Submits two service tasks per worker.
    fn submit_services(&mut self) {
        let tasks_per_image = (self.names.len() * 2).div_ceil(SERVICE_IMAGES) as u32;
        for image in 0..SERVICE_IMAGES {
            let step = Step {
                count: tasks_per_image,
                demand: Amount { cpu_milli: 13_000, memory_mib: 13_000, accelerators: 0 },
                estimate: Duration::from_millis(500),
                long_running: true,
                image: Some(format!("serving-{image}").as_str().into()),
                latency_target: Some(LATENCY_TARGET),
                ..Step::default()
            };
            self.submit(image as JobId, "serving", step);
        }
        // Service tasks wait a while before they may use capacity reserved for short tasks.
        for _ in 0..100 {
            self.now += WRITE_INTERVAL;
            self.plan();
        }
    }

    /// Submits more best-effort tasks than fit.
    fn submit_best_effort(&mut self) {
        for image in 0..BEST_EFFORT_IMAGES {
            let step = Step {
                count: self.names.len() as u32,
                demand: Amount { cpu_milli: 3_500, memory_mib: 6_400, accelerators: 0 },
                estimate: Duration::from_millis(2700),
                best_effort: true,
                checkpointing: true,
                image: Some(format!("filling-{image}").as_str().into()),
                ..Step::default()
            };
            self.submit((SERVICE_IMAGES + image) as JobId, "filling", step);
        }
        for _ in 0..20 {
            self.now += WRITE_INTERVAL;
            self.plan();
        }
    }

    fn submit(&mut self, job: JobId, queue: &str, step: Step) {
        let spec = Spec { payload: "payload".into(), steps: vec![step], schedule: None };
        let (queue, service) = (queue.into(), "desk".into());
        let accepted = Arc::new(Accepted { queue, service, spec, cancelled: false });
        self.step(Event::Job { job, accepted });
    }

    fn plan(&mut self) {
        self.planner.advance(self.now, &mut self.actions);
        self.apply_actions();
    }

    /// Performs the planner's actions: writes complete and commands succeed immediately.
    fn apply_actions(&mut self) {
        while !self.actions.is_empty() {
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Write { batch, .. } => {
                        self.step(Event::Written { batch });
                        self.planner.advance(self.now, &mut self.actions);
                    }
                    Action::Start { target, start } => {
                        let best_effort = start.run.task.job >= SERVICE_IMAGES as JobId;
                        let runs = self.runs.entry(target.name.clone()).or_default();
                        runs.push((start.run, best_effort));
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

    /// Delivers the report of the next worker.
    fn report_next(&mut self) {
        let name = self.names[self.next_worker % self.names.len()].clone();
        self.next_worker += 1;
        let runs = self.runs.get(&name).map_or(&[][..], |runs| runs);
        let running = runs.iter().map(|&(run, best_effort)| Running {
            run,
            checkpoint: None,
            percent: if best_effort { 50 } else { 100 },
            measurement: if best_effort { 3_500 } else { TAIL_LATENCY_MS },
        });
        let running = running.collect();
        let report =
            Report { started_at: STARTED_AT, clock: self.clock(), running, ended: Vec::new() };
        let Some(target) = self.targets.get(&name).cloned() else { return };
        self.step(Event::HeartbeatResult { target, outcome: Ok(report) });
    }
}

fn registration(index: usize, name: id::Instance) -> Registration {
    let host = Ipv4Addr::from(0x0a00_0000 + index as u32);
    Registration {
        name,
        started_at: STARTED_AT,
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
