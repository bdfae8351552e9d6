//! A fleet of two workers in virtual time, with one owner.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::worker::Command;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Grant;
use cowslipchute_ports::worker::Phase;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Run;
use cowslipchute_standin::worker::behavior::Behavior;
use cowslipchute_standin::worker::fleet::Fleet;
use cowslipchute_standin::worker::ledger::Count;
use cowslipchute_standin::worker::ledger::Violation;
use cowslipchute_standin::worker::timing::Health;
use cowslipchute_standin::worker::timing::Timing;

/// Processors of each worker, in thousandths.
pub const CPU_MILLI: u32 = 4000;

/// A fleet and its owner.
pub struct Bench {
    fleet: Fleet,
    /// The index of the worker that receives the exchanges.
    pub worker: usize,
    /// The owner's epoch.
    pub epoch: u64,
    /// The incarnation of the worker that the owner addresses.
    pub incarnation: u64,
    /// The inventory version that the owner holds.
    pub known: u64,
    /// The grant sent with each start.
    pub grant: Option<Grant>,
}

pub fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn run(job: &str, attempt: u32) -> Run {
    Run { job: job.into(), task: 0, attempt }
}

pub fn amount(cpu_milli: u32) -> Amount {
    Amount { cpu_milli, ..Amount::ZERO }
}

pub fn start(job: &str, attempt: u32, task: u32, duration: u64) -> Command {
    Command::Start {
        run: Run { task, ..run(job, attempt) },
        amount: amount(1000),
        checkpoint: None,
        duration: millis(duration),
    }
}

impl Bench {
    pub fn open() -> Bench {
        Bench::open_with(Behavior::default())
    }

    pub fn open_with(behavior: Behavior) -> Bench {
        let mut fleet = Fleet::open(behavior);
        for worker in 0..2 {
            let (capacity, timing) = (amount(CPU_MILLI), Timing::default());
            fleet.add(Duration::ZERO, name(worker), capacity, timing);
        }
        Bench { fleet, worker: 0, epoch: 1, incarnation: 1, known: 0, grant: None }
    }

    pub fn exchange(&self) -> Exchange {
        Exchange {
            cell: "a/0".into(),
            epoch: self.epoch,
            incarnation: self.incarnation,
            grant: None,
            commands: vec![],
            acks: vec![],
            known: self.known,
        }
    }

    /// Sends one exchange at `at`, in milliseconds.
    pub fn send(&mut self, at: u64, edit: impl FnOnce(&mut Exchange)) -> Report {
        let mut exchange = self.exchange();
        edit(&mut exchange);
        let report = self.send_as(at, &exchange);
        if report.obeyed {
            self.known = report.version;
        }
        report
    }

    pub fn send_as(&mut self, at: u64, exchange: &Exchange) -> Report {
        let worker = name(self.worker);
        let report = self.fleet.exchange(&worker, millis(at), exchange);
        report.expect("there is such a worker")
    }

    /// Grants a lease of `valid` milliseconds from `at` on.
    pub fn lease(&mut self, at: u64, valid: u64) -> Report {
        let grant = Grant { stamp: at, valid: millis(valid) };
        self.grant = Some(grant);
        self.send(at, |exchange| exchange.grant = Some(grant))
    }

    /// Starts the first task of a job.
    pub fn start(&mut self, at: u64, job: &str, attempt: u32, duration: u64) -> Report {
        let grant = self.grant;
        self.send(at, |exchange| {
            exchange.grant = grant;
            exchange.commands.push(start(job, attempt, 0, duration));
        })
    }

    pub fn set_health(&mut self, health: Health) {
        self.fleet.set_health(&name(self.worker), Duration::ZERO, health);
    }

    pub fn reboot(&mut self, at: u64) {
        self.fleet.reboot(&name(self.worker), millis(at));
    }

    /// Returns the phase of a job's first task in a report, if the report holds it.
    pub fn phase(&self, report: &Report, job: &str, attempt: u32) -> Option<Phase> {
        let held = report.held.iter().find(|held| held.run == run(job, attempt))?;
        Some(held.phase.clone())
    }

    pub fn active(&self) -> u64 {
        self.fleet.ledger().active().count() as u64
    }

    pub fn count(&self) -> Count {
        self.fleet.ledger().count()
    }

    pub fn violations(&self) -> Vec<Violation> {
        self.fleet.ledger().violations().to_vec()
    }
}

fn name(worker: usize) -> Instance {
    format!("worker-{worker}").into()
}
