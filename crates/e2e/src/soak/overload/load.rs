//! The clients of a soak of overload, each on its own, and how long their jobs wait.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use reqwest::StatusCode;
use tokio::task::JoinSet;

use super::Overload;
use super::START_LIMIT;
use crate::site::Caller;
use crate::site::chain;
use crate::soak::END;
use crate::soak::Known;
use crate::soak::LOOK;
use crate::soak::Soak;

/// Pause of a client before it hands its job in again, at another member.
const RETRY: Duration = Duration::from_millis(250);
/// Calls for jobs' states at a time.
const CALLS: usize = 32;
/// Members that a client tries by turns.
const TRIED: usize = 3;
/// Steps, tasks of each, and the time that each works in milliseconds.
const STEPS: std::ops::Range<u16> = 1..4;
const TASKS: std::ops::Range<u32> = 2..9;
const WORK_MILLIS: std::ops::Range<u64> = 100..800;

/// Waits of jobs for their first start.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// In order; one that hasn't started has waited until now.
    waits: Vec<Duration>,
    /// Those that haven't started.
    pub unstarted: usize,
}

impl Waits {
    /// Returns `true` without any job.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Returns how many waited for longer than a limit.
    pub fn late(&self, limit: Duration) -> usize {
        self.waits.iter().filter(|wait| **wait > limit).count()
    }

    /// Returns the longest wait.
    pub fn longest(&self) -> Duration {
        self.waits.last().copied().unwrap_or_default()
    }
}

impl fmt::Display for Waits {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let median = self.waits.get(self.waits.len() / 2).copied().unwrap_or_default();
        write!(
            out,
            "{} jobs waited {} ms at the median and {} ms at most, {} not started",
            self.waits.len(),
            median.as_millis(),
            self.longest().as_millis(),
            self.unstarted,
        )
    }
}

/// The clients that are waiting for an answer and the jobs that are waiting for their first start.
#[derive(Debug)]
pub(super) struct Load {
    opened: Instant,
    next: Instant,
    calls: JoinSet<(JobId, Known)>,
    unstarted: BTreeMap<JobId, Instant>,
    /// When each job that has started was handed in, and how long it waited.
    started: Vec<(Instant, Duration)>,
}

impl Load {
    pub(super) fn open() -> Load {
        let opened = Instant::now();
        Load {
            opened,
            next: opened,
            calls: JoinSet::new(),
            unstarted: BTreeMap::new(),
            started: Vec::new(),
        }
    }

    /// Records the answers that clients have received and the jobs that have started.
    pub(super) fn step(&mut self, soak: &mut Soak) {
        while let Some(ended) = self.calls.try_join_next() {
            let (id, known) = ended.expect("no client panics");
            soak.jobs.insert(id, known);
        }
        let now = Instant::now();
        let state = soak.deployment.site.lock();
        let started = self.unstarted.extract_if(.., |id, _| state.started.contains(id));
        self.started.extend(started.map(|(_, at)| (at, now - at)));
    }

    /// Returns the waits of the jobs that were handed in during a time.
    pub(super) fn waits(&self, start: Instant, end: Instant, now: Instant) -> Waits {
        let during = |at: Instant| (start..end).contains(&at);
        let started = self.started.iter().filter(|(at, _)| during(*at)).map(|(_, wait)| *wait);
        let unstarted = self.unstarted.values().filter(|at| during(**at)).map(|at| now - *at);
        let mut waits: Vec<Duration> = started.chain(unstarted.clone()).collect();
        waits.sort();
        Waits { waits, unstarted: unstarted.count() }
    }

    /// Returns `true` if a job that was handed in during a time hasn't started.
    pub(super) fn has_unstarted(&self, start: Instant, end: Instant) -> bool {
        self.unstarted.values().any(|at| (start..end).contains(at))
    }

    /// Returns when the last job was handed in that waited for longer than a limit, or the opening time without any.
    pub(super) fn last_late(&self, limit: Duration) -> Instant {
        let started = self.started.iter().filter(|(_, wait)| *wait > limit).map(|(at, _)| *at);
        let unstarted = self.unstarted.values().copied().filter(|at| at.elapsed() > limit);
        started.chain(unstarted).max().unwrap_or(self.opened)
    }

    /// Waits until each client has its answer and each accepted job has ended.
    pub(super) async fn finish(&mut self, soak: &mut Soak) {
        while let Some(ended) = self.calls.join_next().await {
            let (id, known) = ended.expect("no client panics");
            soak.jobs.insert(id, known);
        }
        let start = Instant::now();
        loop {
            let open = soak.open_jobs();
            if open.is_empty() {
                return;
            }
            if start.elapsed() > END {
                return soak.report_open(&open);
            }
            for some in open.chunks(CALLS) {
                look_at(soak, some).await;
            }
            tokio::time::sleep(LOOK).await;
        }
    }
}

impl Overload {
    /// Hands in the jobs that are due.
    pub(super) fn hand_in_due(&mut self) {
        let now = Instant::now();
        while self.load.next <= now {
            let mean = Duration::from_secs(1).div_f64(self.plan.rate);
            self.load.next += mean.mul_f64(self.random.random_range(0.2..1.8));
            self.hand_in();
        }
    }

    /// Hands in a job.
    pub(super) fn hand_in(&mut self) {
        let id = self.random.random::<JobId>() | 1;
        let time = Duration::from_millis(self.random.random_range(WORK_MILLIS));
        let (steps, count) = (self.random.random_range(STEPS), self.random.random_range(TASKS));
        let spec = chain(steps, count, time);
        let members = self.soak.deployment.members.keys().cloned();
        let members = members.choose_multiple(&mut self.random, TRIED);
        self.load.unstarted.insert(id, Instant::now());
        let caller = self.soak.deployment.caller.clone();
        self.load.calls.spawn(hand_in(caller, members, id, spec));
    }
}

/// Hands in a job under the same number while nothing is clear, or it is refused, and the time isn't over.
async fn hand_in(caller: Caller, members: Vec<String>, id: JobId, spec: Spec) -> (JobId, Known) {
    let start = Instant::now();
    let mut known = Known::open(&spec, false);
    for member in members.iter().cycle() {
        known.answer(caller.submit(member, id, &spec).await);
        if known.accepted || start.elapsed() > START_LIMIT {
            break;
        }
        tokio::time::sleep(RETRY).await;
    }
    (id, known)
}

async fn look_at(soak: &mut Soak, jobs: &[JobId]) {
    let mut calls: JoinSet<Option<(JobId, StatusCode, String)>> = JoinSet::new();
    for &id in jobs {
        let (caller, member) = (soak.deployment.caller.clone(), soak.member());
        calls.spawn(async move {
            let (status, state) = caller.state(&member, id).await?;
            Some((id, status, state))
        });
    }
    while let Some(ended) = calls.join_next().await {
        if let Some((id, status, state)) = ended.expect("no client panics") {
            soak.check_state(id, status, state);
        }
    }
}
