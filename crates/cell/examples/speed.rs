//! Measures the throughput of a cell on one core: fills it, then replaces tasks as they complete.
//!
//! `cargo run --release -p cowslipchute-cell --example speed [workers] [rounds]`

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_cell::action::Action;
use cowslipchute_cell::cell::Cell;
use cowslipchute_cell::cell::Settings;
use cowslipchute_cell::event::Event;
use cowslipchute_cell::event::Former;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::list::Role;
use cowslipchute_ports::list::State;
use cowslipchute_ports::list::View;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Held;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;
use cowslipchute_ports::worker::Usage;
use cowslipchute_resource::job;

/// Number of tasks of each job.
const TASKS: u32 = 1000;
/// Number of runs that complete on a worker between two reports.
const ENDING: usize = 2;

/// A minimal fake worker that executes commands at once.
#[derive(Default)]
struct Fake {
    held: BTreeMap<Run, Held>,
    version: u64,
}

impl Fake {
    fn report(&mut self, name: &str, now: Duration, exchange: &Exchange, ending: usize) -> Report {
        self.version += 1;
        let mut changed = Vec::new();
        for run in &exchange.acks {
            self.held.remove(run);
        }
        let running = |held: &&mut Held| held.phase == Phase::Running;
        for held in self.held.values_mut().filter(running).take(ending) {
            held.phase = Phase::Done;
            changed.push(held.clone());
        }
        for command in &exchange.commands {
            if let Command::Start { run, amount, .. } = command {
                let held = Held {
                    run: run.clone(),
                    amount: *amount,
                    phase: Phase::Running,
                    permille: 1000,
                };
                changed.push(held.clone());
                self.held.insert(run.clone(), held);
            }
        }
        let stamp = now.as_millis() as u64;
        let measure = |held: &Held| Usage {
            run: held.run.clone(),
            amount: used(held.amount),
            measured: stamp.saturating_sub(500),
            slowdown_permille: 1010,
        };
        Report {
            instance: name.into(),
            incarnation: 1,
            stamp,
            epoch: exchange.epoch,
            obeyed: true,
            version: self.version,
            whole: exchange.known == 0,
            held: changed,
            usage: self.held.values().filter(|h| h.phase == Phase::Running).map(measure).collect(),
            leaving: false,
        }
    }
}

struct Bench {
    cell: Cell,
    fakes: BTreeMap<String, Fake>,
    now: Duration,
    starts: u64,
    exchanges: u64,
    cpu_time: Duration,
    batch: Option<u64>,
    in_flight: Vec<(u64, String, Exchange)>,
}

impl Bench {
    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let before = Instant::now();
        self.cell.step(self.now, event, &mut actions);
        self.cpu_time += before.elapsed();
        for action in actions {
            match action {
                Action::Exchange { sequence, worker, exchange, .. } => {
                    self.exchanges += 1;
                    let start = |command: &&Command| matches!(command, Command::Start { .. });
                    self.starts += exchange.commands.iter().filter(start).count() as u64;
                    self.in_flight.push((sequence, worker.to_string(), exchange));
                }
                Action::Record { batch, .. } => self.batch = Some(batch),
                Action::Note { .. } => {}
            }
        }
    }

    /// Answers every exchange in flight.
    fn answer(&mut self, ending: usize) {
        for (sequence, worker, exchange) in std::mem::take(&mut self.in_flight) {
            let fake = self.fakes.get_mut(&worker).expect("a listed worker");
            let report = fake.report(&worker, self.now, &exchange, ending);
            self.step(Event::Reported { sequence, report });
        }
        if let Some(batch) = self.batch.take() {
            self.step(Event::BatchStored { batch });
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        while self.cell.next_due().is_some_and(|due| due <= self.now) {
            self.step(Event::Tick);
        }
    }

    fn show(&mut self, phase: &str) {
        let seconds = self.cpu_time.as_secs_f64();
        let runs = self.cell.workers().map(|worker| worker.runs).sum::<usize>();
        println!(
            "{phase}: {} starts, {} exchanges in {seconds:.3} s of one core: {:.0} starts/s, {:.1} us an exchange; {runs} runs, {} bytes of state",
            self.starts,
            self.exchanges,
            self.starts as f64 / seconds,
            seconds * 1e6 / self.exchanges as f64,
            self.cell.state_bytes(),
        );
        self.starts = 0;
        self.exchanges = 0;
        self.cpu_time = Duration::ZERO;
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u32>().expect("a number"));
    let workers = arguments.next().unwrap_or(1000);
    let rounds = arguments.next().unwrap_or(20);
    let cell = Cell::open(Settings { cell: "d1/0".into(), seed: 1 });
    let names: Vec<String> = (0..workers).map(|index| format!("w{index:05}")).collect();
    let member = |(index, name): (usize, &String)| Member {
        instance: name.as_str().into(),
        incarnation: 1,
        role: Role::Worker,
        state: State::Live,
        domain: "d1".into(),
        rack: format!("r{}", index / 8).into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        service: "".into(),
        slots: 0,
        connections: 0,
        capacity: Amount { cpu_milli: 32_000, memory_mib: 125_000, accelerators: 0 },
    };
    let view = View { version: 1, members: names.iter().enumerate().map(member).collect() };
    let mut bench = Bench {
        cell,
        fakes: names.iter().map(|name| (name.clone(), Fake::default())).collect(),
        now: Duration::from_secs(1),
        starts: 0,
        exchanges: 0,
        cpu_time: Duration::ZERO,
        batch: None,
        in_flight: Vec::new(),
    };
    bench.step(Event::Listed { view });
    bench.step(Event::OwnershipAcquired {
        epoch: 1,
        former: Former::Released,
        records: Vec::new(),
    });
    bench.answer(0);
    bench.answer(0);
    bench.show("fence");
    let paying = workers * 3 / TASKS + 1;
    for index in 0..paying + workers * 60 / TASKS + 1 {
        let class = if index < paying { Class::Paying } else { Class::Batch };
        let spec = job::Spec {
            class,
            tasks: TASKS,
            amount: Amount { cpu_milli: 1000, memory_mib: 3000, accelerators: 0 },
            duration: Duration::from_secs(600),
            ..job::Spec::default()
        };
        bench.step(Event::Job { name: format!("job-{index}").into(), spec: Arc::new(spec) });
    }
    while bench.cell.next_due().is_some_and(|due| due <= bench.now) {
        bench.step(Event::Tick);
    }
    bench.answer(0);
    bench.show("fill");
    for _ in 0..rounds {
        bench.wait(Duration::from_secs(2));
        bench.answer(ENDING);
        bench.answer(0);
    }
    bench.show("churn");
    for _ in 0..rounds {
        bench.wait(Duration::from_secs(2));
        bench.answer(0);
    }
    bench.show("heartbeats");
}

/// Returns the usage of a run, below its allocation so that right-sizing stays near the
/// declaration.
fn used(granted: Amount) -> Amount {
    Amount {
        cpu_milli: granted.cpu_milli * 85 / 100,
        memory_mib: granted.memory_mib * 75 / 100,
        accelerators: granted.accelerators,
    }
}
