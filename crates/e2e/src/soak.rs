//! A randomized soak: the real processes on a stand-in of the users' platform, faults from outside
//! them in series that overlap, and the promises checked from what clients and workers see.
//!
//! All randomness comes from the seed; how the processes interleave doesn't, so a seed that failed
//! is kept and played again many times.

mod evacuations;
mod fault;
pub mod overload;
mod restarts;
mod services;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::TaskId;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use reqwest::StatusCode;

use crate::site::Deployment;
use crate::site::chain;
use fault::Fault;

/// Mean pause between two faults.
const FAULT_PAUSE: Duration = Duration::from_millis(600);
/// Mean pause between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(150);
/// Longest time until a fault is mended.
const FAULT_TIME: Duration = Duration::from_millis(5000);
/// By then every job that was taken in has come to its end in a mended deployment.
const END: Duration = Duration::from_secs(60);
/// Part of the jobs of which one task crashes the workers that start it.
const CULPRITS: f64 = 0.03;
/// By then such a task has crashed its worker, in milliseconds; each task works for longer.
const CRASH_MILLIS: u64 = 40;
/// How often a worker shrinks beside another fault.
const SHRINKING: f64 = 0.1;
/// Thousandths of a processor that are left of a worker that has shrunk.
const SHRUNK_MILLI: u32 = 2000;
/// Pause between two looks at a job's state.
const LOOK: Duration = Duration::from_millis(50);

/// How large a soak is and how long it lasts.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Draws everything.
    pub seed: u64,
    /// How long faults come.
    pub span: Duration,
    /// Our processes.
    pub members: usize,
    /// Workers.
    pub workers: usize,
    /// Whether service tasks run and are watched, and workers leave beside a load in the end.
    pub has_service_tasks: bool,
}

/// What a soak found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Jobs that were handed in.
    pub jobs: usize,
    /// Of these, those that were surely taken in.
    pub accepted: usize,
    /// Of these, those that were refused each time.
    pub refused: usize,
    /// Faults that were played.
    pub faults: Vec<String>,
    /// Time for which service tasks were watched.
    pub calm: Duration,
    /// Their longest wait beside room for two.
    pub longest_wait: Duration,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Where the logs of all processes are kept, if one was.
    pub logs: Option<PathBuf>,
}

/// What a client knows of its job.
#[derive(Clone, Debug)]
struct Known {
    spec: Spec,
    accepted: bool,
    /// Whether some try had no clear answer.
    unclear: bool,
    cancelled: bool,
    /// Whether one of its tasks crashes the workers that start it.
    crashes: bool,
    shown: String,
}

impl Known {
    fn open(spec: &Spec, crashes: bool) -> Known {
        Known {
            spec: spec.clone(),
            accepted: false,
            unclear: false,
            cancelled: false,
            crashes,
            shown: String::new(),
        }
    }

    /// Records a member's answer to the job.
    fn answer(&mut self, status: Option<StatusCode>) {
        match status {
            Some(status) if status.is_success() => self.accepted = true,
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
            _ => self.unclear = true,
        }
    }
}

struct Soak {
    plan: Plan,
    random: SmallRng,
    /// Draws culprits and shrinking workers, so that all else stays as it was for earlier seeds.
    drawn: SmallRng,
    /// Draws workers that restart, for the same reason.
    restarts: SmallRng,
    /// Draws evacuations, for the same reason.
    evacuations: SmallRng,
    /// Draws service jobs and the workers that leave, for the same reason.
    services: SmallRng,
    service_jobs: Vec<JobId>,
    /// Starts before this don't tell whether an owner knew of an evacuation.
    hidden_until: Instant,
    deployment: Deployment,
    jobs: BTreeMap<JobId, Known>,
    faults: Vec<(Instant, Fault)>,
    report: Report,
}

/// Runs a soak to its end.
///
/// # Errors
///
/// When a process can't be started.
pub async fn run(plan: Plan) -> Result<Report> {
    let mut soak = Soak::open(plan).await?;
    if plan.has_service_tasks {
        soak.submit_services().await;
    }
    soak.play().await?;
    soak.mend_all()?;
    if plan.has_service_tasks {
        soak.lose_workers_calmly().await;
    }
    soak.evacuate_calmly().await;
    soak.finish().await;
    if plan.has_service_tasks {
        soak.finish_services().await;
    }
    Ok(soak.close())
}

impl Soak {
    async fn open(plan: Plan) -> Result<Soak> {
        let name = format!("soak-{}", plan.seed);
        let deployment = Deployment::open(&name, plan.members, plan.workers).await?;
        Ok(Soak {
            plan,
            random: SmallRng::seed_from_u64(plan.seed),
            drawn: SmallRng::seed_from_u64(!plan.seed),
            restarts: SmallRng::seed_from_u64(plan.seed.rotate_left(32)),
            evacuations: SmallRng::seed_from_u64(plan.seed.rotate_left(16)),
            services: SmallRng::seed_from_u64(!plan.seed.rotate_left(32)),
            service_jobs: Vec::new(),
            hidden_until: Instant::now(),
            deployment,
            jobs: BTreeMap::new(),
            faults: Vec::new(),
            report: Report::default(),
        })
    }

    async fn play(&mut self) -> Result<()> {
        let start = Instant::now();
        let mut next_fault = start + self.pause(FAULT_PAUSE);
        let mut next_job = start;
        while start.elapsed() < self.plan.span {
            let now = Instant::now();
            // A client's call may have taken long; faults go on meanwhile, as it were.
            while next_fault <= now {
                next_fault += self.pause(FAULT_PAUSE);
                self.strike();
                self.shrink();
                self.restart_workers();
                self.evacuate();
            }
            self.check_evacuations(now);
            self.mend(now)?;
            self.report_disturbance();
            if now >= next_job {
                next_job = now + self.pause(JOB_PAUSE);
                self.submit().await;
            }
            self.look().await;
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    fn pause(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.random.random_range(0.2..1.8))
    }

    fn member(&mut self) -> String {
        let index = self.random.random_range(0..self.deployment.members.len());
        self.deployment.members.keys().nth(index).expect("the index is below their number").clone()
    }

    fn worker(&mut self) -> String {
        let index = self.random.random_range(0..self.deployment.workers.len());
        self.deployment.workers.keys().nth(index).expect("the index is below their number").clone()
    }

    /// The owner half of the time, since most depends on it.
    fn target(&mut self) -> String {
        let owner = self.deployment.owner().filter(|_| self.random.random_bool(0.5));
        match owner {
            Some(owner) => owner,
            None => self.member(),
        }
    }

    fn draw_spec(&mut self) -> Spec {
        let steps = self.random.random_range(1..4);
        let count = self.random.random_range(1..5);
        let time = Duration::from_millis(self.random.random_range(50..900));
        chain(steps, count, time)
    }

    async fn submit(&mut self) {
        let id = self.random.random::<JobId>() | 1;
        let spec = self.draw_spec();
        let crashes = self.drawn.random_bool(CULPRITS);
        self.hand_in(id, spec, crashes).await;
    }

    async fn hand_in(&mut self, id: JobId, spec: Spec, crashes: bool) {
        let count = spec.steps[0].count;
        let mut known = Known::open(&spec, crashes);
        if known.crashes {
            let index = self.drawn.random_range(0..count);
            let task = TaskId { job: id, occurrence: 0, step: 0, index };
            let after = Duration::from_millis(self.drawn.random_range(0..CRASH_MILLIS));
            self.deployment.site.lock().crashes.crashing_tasks.insert(task, after);
        }
        // A client asks again under the same number, at any member, while nothing is clear.
        for _ in 0..3 {
            let member = self.member();
            known.answer(self.deployment.submit(&member, id, &spec).await);
            if known.accepted {
                break;
            }
        }
        self.jobs.insert(id, known);
    }

    /// Lists the jobs that were taken in and haven't been shown to have ended.
    fn open_jobs(&self) -> Vec<JobId> {
        let open = |known: &Known| known.accepted && !is_final(&known.shown);
        self.jobs.iter().filter(|(_, known)| open(known)).map(|(id, _)| *id).collect()
    }

    /// Looks at one job that is open, or cancels it.
    async fn look(&mut self) {
        let open = self.open_jobs();
        if open.is_empty() {
            return;
        }
        let id = open[self.random.random_range(0..open.len())];
        let member = self.member();
        if self.random.random_bool(0.02) {
            // Whether or not it is answered it may have been done.
            self.jobs.entry(id).and_modify(|known| known.cancelled = true);
            self.deployment.cancel(&member, id).await;
        }
        self.look_at(&member, id).await;
    }

    async fn look_at(&mut self, member: &str, id: JobId) {
        if let Some((status, state)) = self.deployment.state(member, id).await {
            self.check_state(id, status, state);
        }
    }

    /// Checks the state in which a job is shown.
    fn check_state(&mut self, id: JobId, status: StatusCode, state: String) {
        let Some(known) = self.jobs.get_mut(&id) else { return };
        if status == StatusCode::GONE {
            self.report.broken.push(format!("{id:016x} was taken in and isn't known"));
        }
        if !status.is_success() {
            return;
        }
        if is_final(&known.shown) && known.shown != state {
            let text = format!("{id:016x} was {} and is {state}", known.shown);
            self.report.broken.push(text);
        }
        let unlucky = self.deployment.site.lock().crash_suspects.contains(&id);
        let wrong_end = (state == "failed" && !known.crashes && !unlucky)
            || (state == "cancelled" && !known.cancelled);
        if wrong_end {
            self.report.broken.push(format!("{id:016x} is {state} without cause"));
        }
        if state == "completed" {
            self.check_done(id);
        }
        if let Some(known) = self.jobs.get_mut(&id) {
            known.shown = state;
        }
    }

    /// Every task of a job that is shown as completed has ended done.
    fn check_done(&mut self, id: JobId) {
        let state = self.deployment.site.lock();
        let Some(known) = self.jobs.get(&id) else { return };
        for (step, spec) in known.spec.steps.iter().enumerate() {
            for index in 0..spec.count {
                let task = TaskId { job: id, occurrence: 0, step: step as u16, index };
                if !state.finished.contains(&task) {
                    let text = format!("{task} isn't done and its job is shown as completed");
                    self.report.broken.push(text);
                }
            }
        }
    }

    /// Waits until every job that was taken in has come to its end.
    async fn finish(&mut self) {
        let start = Instant::now();
        loop {
            let open = self.open_jobs();
            if open.is_empty() {
                return;
            }
            if start.elapsed() > END {
                return self.report_open(&open);
            }
            for id in open {
                let member = self.member();
                self.look_at(&member, id).await;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    fn report_open(&mut self, open: &[JobId]) {
        for id in open {
            let shown = self.jobs[id].shown.clone();
            let text = format!("{id:016x} was taken in and never ended: {shown}");
            self.report.broken.push(text);
        }
    }

    fn close(mut self) -> Report {
        let state = self.deployment.site.lock();
        self.report.broken.extend(state.violations.iter().cloned());
        self.report.broken.extend(self.deployment.panics());
        let refused: BTreeSet<JobId> = self
            .jobs
            .iter()
            .filter(|(_, known)| !known.accepted && !known.unclear)
            .map(|(id, _)| *id)
            .collect();
        for id in refused.intersection(&state.started) {
            self.report.broken.push(format!("{id:016x} was refused each time and ran"));
        }
        self.report.jobs = self.jobs.len();
        self.report.accepted = self.jobs.values().filter(|known| known.accepted).count();
        self.report.refused = refused.len();
        drop(state);
        // They are part of the report.
        self.deployment.expects_panics = true;
        if !self.report.broken.is_empty() {
            self.report.logs = Some(self.deployment.keep_logs());
        }
        self.report
    }
}

fn is_final(state: &str) -> bool {
    matches!(state, "completed" | "failed" | "cancelled")
}
