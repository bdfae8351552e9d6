//! A worker of the platform. Its runs end by a timer, after the time that their payload states.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::http::Answer;
use super::http::Request;

/// Interval at which the latency of service tasks is above its target and at it again.
const SWING: Duration = Duration::from_secs(5);

/// Reading of the clocks when the platform is opened, in milliseconds.
const CLOCK_START_MS: u64 = 400_000;

/// Commands that workers have received, by kind.
#[derive(Debug, Default)]
pub struct Counts {
    /// Starts.
    pub starts: AtomicU64,
    /// Stops.
    pub stops: AtomicU64,
    /// Speed limits.
    pub limits: AtomicU64,
    /// Heartbeats.
    pub heartbeats: AtomicU64,
}

/// Fields of all commands.
#[derive(Default)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Command {
    task: String,
    run_id: u64,
    spec: String,
    ack_seq: u64,
    wait_ms: u64,
}

#[derive(Debug)]
struct Active {
    /// Time of its end; `None` for a service task.
    ends_at: Option<Instant>,
    started_at: Instant,
    /// What it reports as its measurement.
    measurement: u64,
}

#[derive(Debug, Default)]
struct State {
    active: BTreeMap<(String, u64), Active>,
    /// Number, task, attempt and reason of the unacknowledged ends.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    state: Mutex<State>,
    changed: Notify,
    opened_at: Instant,
    counts: Arc<Counts>,
}

impl State {
    fn end(&mut self, run: (String, u64), reason: &'static str) {
        if self.active.remove(&run).is_some() {
            self.last_end += 1;
            self.ended.push((self.last_end, run.0, run.1, reason));
        }
    }

    fn advance(&mut self, now: Instant) {
        let due = self
            .active
            .iter()
            .filter(|(_, active)| active.ends_at.is_some_and(|ends_at| ends_at <= now));
        let due: Vec<(String, u64)> = due.map(|(run, _)| run.clone()).collect();
        for run in due {
            self.end(run, "done");
        }
    }

    fn next_end(&self) -> Option<Instant> {
        self.active.values().filter_map(|active| active.ends_at).min()
    }
}

impl Worker {
    /// Opens a worker without runs.
    pub(super) fn open(counts: Arc<Counts>) -> Worker {
        let opened_at = Instant::now();
        Worker { state: Mutex::default(), changed: Notify::new(), opened_at, counts }
    }

    /// Reads the worker's clock, in milliseconds.
    pub(super) fn clock(&self) -> u64 {
        CLOCK_START_MS + self.opened_at.elapsed().as_millis() as u64
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no worker has panicked")
    }

    fn clocked(&self) -> Answer {
        (200, format!("{{\"clock-ms\":{}}}", self.clock()))
    }

    /// Answers a command.
    pub(super) async fn handle(&self, request: &Request) -> Answer {
        let Ok(command) = serde_json::from_slice::<Command>(&request.body) else {
            return (400, String::from("{}"));
        };
        let count = |counter: &AtomicU64| {
            counter.fetch_add(1, Ordering::Relaxed);
        };
        match request.target.as_str() {
            "/v1/run-start" => {
                count(&self.counts.starts);
                self.start(command);
                self.clocked()
            }
            "/v1/run-stop" => {
                count(&self.counts.stops);
                self.lock().end((command.task, command.run_id), "stopped");
                self.changed.notify_waiters();
                self.clocked()
            }
            "/v1/pace" => {
                count(&self.counts.limits);
                self.clocked()
            }
            "/v1/hold" => {
                count(&self.counts.heartbeats);
                self.heartbeat(&command).await
            }
            _ => (404, String::from("{}")),
        }
    }

    fn start(&self, command: Command) {
        let mut words = command.spec.split(' ');
        let mut number = || words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let (work_ms, measurement) = (number(), number());
        let started_at = Instant::now();
        let ends_at = (work_ms > 0).then(|| started_at + Duration::from_millis(work_ms));
        let active = Active { ends_at, started_at, measurement };
        self.lock().active.insert((command.task, command.run_id), active);
        self.changed.notify_waiters();
    }

    async fn heartbeat(&self, command: &Command) -> Answer {
        let until = Instant::now() + Duration::from_millis(command.wait_ms);
        loop {
            let changed = self.changed.notified();
            let now = Instant::now();
            let next = {
                let mut state = self.lock();
                state.ended.retain(|(number, ..)| *number > command.ack_seq);
                state.advance(now);
                if !state.ended.is_empty() || now >= until {
                    return (200, self.report(&state, now));
                }
                state.next_end().map_or(until, |end| end.min(until))
            };
            // The time limit is checked above.
            let _ = timeout_at(next, changed).await;
        }
    }

    fn report(&self, state: &State, now: Instant) -> String {
        let mut text = format!("{{\"clock-ms\":{},\"running\":[", self.clock());
        let is_high = (now - self.opened_at).as_secs() / SWING.as_secs() % 2 == 1;
        for (index, ((task, attempt), active)) in state.active.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let (percent, figure) = match active.ends_at {
                None => (100, active.measurement * if is_high { 2 } else { 1 }),
                Some(ends_at) => {
                    let whole = (ends_at - active.started_at).as_millis().max(1);
                    ((now - active.started_at).as_millis() * 100 / whole, active.measurement)
                }
            };
            // Writing to a string can't fail.
            let _ = write!(text, "{comma}[\"{task}\",{attempt},\"\",{percent},{figure}]");
        }
        text.push_str("],\"finished\":[");
        for (index, (number, task, attempt, reason)) in state.ended.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let _ = write!(text, "{comma}[{number},\"{task}\",{attempt},\"{reason}\",\"\"]");
        }
        text.push_str("]}");
        text
    }
}
