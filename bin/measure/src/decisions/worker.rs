//! A worker that runs what it is commanded and answers heartbeats as long polls.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndNumber;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Heartbeat;
use cowslipchute_ports::executor::Registration;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::executor::Timestamp;

use crate::decisions::load::Kind;

/// Start time of every worker, in Unix milliseconds.
const STARTED_AT: Option<id::Incarnation> = Some(1_780_000_000_000);
/// Lowest reported tail latency of a service task, and how far it varies, in milliseconds.
const TAIL_LATENCY_MS: (u32, u32) = (90, 55);
/// CPU that a best-effort task uses at full speed, in millicores.
const BEST_EFFORT_MILLI: u32 = 3_500;
/// Time until an answer to a heartbeat arrives: the shortest, and how far it varies.
const ANSWER_MS: (u64, u64) = (2, 60);
/// Largest deviation of a run's duration from that of its kind, in percent.
const DURATION_SPREAD: u64 = 30;
/// Workers in a rack.
const RACK_SIZE: usize = 8;

/// A run on the worker.
#[derive(Clone, Copy, Debug)]
struct Hosted {
    run: Run,
    since: Time,
    percent: u8,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its directory entry.
    pub registration: Registration,
    index: u32,
    runs: Vec<Hosted>,
    ended: Vec<Ended>,
    last_end: EndNumber,
    /// The heartbeat that it hasn't answered, and when it does so at the latest.
    pending: Option<(Target, Time)>,
    /// When the owner can have the answer to that heartbeat at the earliest.
    arrived_at: Time,
}

impl Worker {
    /// Returns a worker that runs nothing.
    pub fn new(index: usize) -> Worker {
        let host = Ipv4Addr::from(0x0a00_0000 + index as u32);
        let registration = Registration {
            name: format!("worker-{index}").as_str().into(),
            started_at: STARTED_AT,
            address: SocketAddr::from((host, 80)),
            service: "desk".into(),
            domain: "domain".into(),
            draining: false,
            capacity: Amount { cpu_milli: 32_000, memory_mib: 128_000, accelerators: 0 },
            labels: [Arc::from("a")].into_iter().collect(),
            rack: Some(format!("rack-{}", index / RACK_SIZE).as_str().into()),
            warmup_left: Duration::ZERO,
        };
        let (runs, ended) = (Vec::new(), Vec::new());
        let index = index as u32;
        let arrived_at = Time::ZERO;
        Worker { registration, index, runs, ended, last_end: 0, pending: None, arrived_at }
    }

    /// Forgets the heartbeat of an owner that is gone.
    pub fn drop_heartbeat(&mut self) {
        self.pending = None;
    }

    /// Starts a run.
    pub fn start(&mut self, now: Time, run: Run) {
        if !self.runs.iter().any(|hosted| hosted.run == run) {
            self.runs.push(Hosted { run, since: now, percent: 100 });
        }
    }

    /// Stops a run.
    pub fn stop(&mut self, run: Run) {
        if let Some(index) = self.runs.iter().position(|hosted| hosted.run == run) {
            self.runs.swap_remove(index);
            self.end(run, EndReason::Stopped);
        }
    }

    /// Limits the speed of a run, which changes what it reports and not how long it runs.
    pub fn throttle(&mut self, run: Run, percent: u8) {
        if let Some(hosted) = self.runs.iter_mut().find(|hosted| hosted.run == run) {
            hosted.percent = percent;
        }
    }

    /// Receives a heartbeat.
    pub fn heartbeat(&mut self, now: Time, target: Target, heartbeat: Heartbeat) {
        self.ended.retain(|ended| ended.number > heartbeat.acknowledged);
        let (shortest, range) = ANSWER_MS;
        let mixed = mix(now.as_millis() as u64 ^ (u64::from(self.index) << 32));
        let answer = Duration::from_millis(shortest + mixed % range);
        self.arrived_at = now + answer;
        self.pending = Some((target, self.arrived_at.max(now + heartbeat.wait)));
    }

    /// Ends the runs that are over, and returns the answer to a heartbeat that is due.
    pub fn advance(&mut self, now: Time) -> Option<(Target, Report)> {
        let is_over = |hosted: &Hosted| {
            duration(hosted.run).is_some_and(|duration| now >= hosted.since + duration)
        };
        let over: Vec<Run> =
            self.runs.iter().filter(|hosted| is_over(hosted)).map(|hosted| hosted.run).collect();
        self.runs.retain(|hosted| !is_over(hosted));
        for run in over {
            self.end(run, EndReason::Done);
        }
        let is_due = self.pending.as_ref().is_some_and(|(_, due)| *due <= now);
        if !is_due && (self.ended.is_empty() || now < self.arrived_at) {
            return None;
        }
        let (target, _) = self.pending.take()?;
        Some((target, self.report(now)))
    }

    fn end(&mut self, run: Run, reason: EndReason) {
        self.last_end += 1;
        self.ended.push(Ended { number: self.last_end, run, reason, checkpoint: None });
    }

    fn report(&self, now: Time) -> Report {
        let running = self.runs.iter().map(|hosted| Running {
            run: hosted.run,
            checkpoint: None,
            percent: progress(hosted, now),
            measurement: measurement(hosted, now),
        });
        Report {
            started_at: STARTED_AT,
            clock: now.as_millis() as Timestamp,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

fn progress(hosted: &Hosted, now: Time) -> u8 {
    let elapsed = now.saturating_sub(hosted.since);
    let duration = duration(hosted.run);
    duration.map_or(100, |duration| (elapsed.div_duration_f64(duration) * 100.0).min(99.0) as u8)
}

/// Returns how long a run takes, unless it runs on.
fn duration(run: Run) -> Option<Duration> {
    let Run { task, attempt } = run;
    let mixed = mix(task.job << 24 ^ u64::from(task.index) << 8 ^ u64::from(attempt));
    let percent = 100 - DURATION_SPREAD + mixed % (2 * DURATION_SPREAD + 1);
    Kind::of(task.job).duration().map(|duration| duration * percent as u32 / 100)
}

/// Spreads numbers evenly, the same in each run of the program.
fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 32
}

fn measurement(hosted: &Hosted, now: Time) -> u32 {
    match Kind::of(hosted.run.task.job) {
        Kind::Short => 0,
        Kind::BestEffort => BEST_EFFORT_MILLI * u32::from(hosted.percent) / 100,
        Kind::Service => {
            let (lowest, range) = TAIL_LATENCY_MS;
            let mixed = hosted.run.task.job * 31
                + u64::from(hosted.run.task.index) * 17
                + now.as_millis() as u64 / 700 * 7;
            lowest + (mixed % u64::from(range)) as u32
        }
    }
}
