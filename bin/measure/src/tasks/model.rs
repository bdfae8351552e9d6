//! Workload properties hidden from the policies: actual sizes, actual run times and interference.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_resource::job;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::sample::Lognormal;
use crate::tasks::fleet::Fleet;
use crate::tasks::fleet::Service;

/// Kinds of behaviour on shared hardware. Each job has one kind, which isn't declared.
pub const KINDS: usize = 10;
/// Share of ordered pairs of kinds in which one slows the other markedly.
const INTERFERING_SHARE: f64 = 0.2;
/// Period of the bursts of noisy jobs.
const BURST_PERIOD: Duration = Duration::from_secs(120);
/// Length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(40);
/// Factor of a noisy job's interference during a burst.
const BURST_FACTOR: f64 = 2.5;
/// Share of batch jobs that are noisy.
const NOISY_SHARE: f64 = 0.3;
/// Share of arriving jobs that are trial rather than batch.
const TRIAL_SHARE: f64 = 0.2;
/// Share of batch jobs whose every run fails.
const BROKEN_SHARE: f64 = 0.02;
/// Share of batch jobs that need more memory than they declare.
const UNDERDECLARED_MEMORY_SHARE: f64 = 0.03;
/// Number of teams that the jobs belong to.
const TEAMS: usize = 12;

/// A job with its actual properties.
#[derive(Clone, Debug)]
pub struct Job {
    /// Job name.
    pub name: id::Job,
    /// Declared spec.
    pub spec: job::Spec,
    /// Kind of behaviour on shared hardware.
    pub kind: usize,
    /// Actual CPU use of a task, in thousandths of a processor.
    pub cpu: f64,
    /// Actual memory use of a task, in mebibytes.
    pub memory: f64,
    /// Whether interference rises during bursts.
    pub noisy: bool,
    /// Whether every run fails.
    pub broken: bool,
    /// Run time of each task in seconds, at full speed and without interference. Infinite for
    /// services.
    pub seconds: Vec<f64>,
    /// Arrival time at the policy.
    pub arrived: Time,
}

impl Job {
    /// Returns the pressure of a task of this job on shared hardware, relative to its CPU share.
    pub fn pressure(&self, now: Time) -> f64 {
        let phase = now.as_millis() % BURST_PERIOD.as_millis();
        if self.noisy && phase < BURST_LENGTH.as_millis() { BURST_FACTOR } else { 1.0 }
    }

    /// Returns `true` for a paying service, which runs until the end.
    pub fn is_service(&self) -> bool {
        self.spec.class == Class::Paying && !self.spec.urgent
    }
}

/// Generator of jobs, with the hidden interference between kinds.
#[derive(Debug)]
pub struct Model {
    rng: StdRng,
    interference: [[f64; KINDS]; KINDS],
    job_count: usize,
}

impl Model {
    /// Creates the model of a seed.
    pub fn open(seed: u64) -> Model {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut interference = [[0.0; KINDS]; KINDS];
        for factor in interference.iter_mut().flatten() {
            let interferes = rng.random_bool(INTERFERING_SHARE);
            *factor =
                if interferes { rng.random_range(0.3..1.2) } else { rng.random_range(0.0..0.02) };
        }
        Model { rng, interference, job_count: 0 }
    }

    /// Returns the slowdown of a task of `kind` under the pressures of all kinds.
    pub fn slowdown(&self, kind: usize, pressures: &[f64; KINDS], load: f64) -> f64 {
        let sum: f64 = self.interference[kind]
            .iter()
            .zip(pressures)
            .map(|(interference, pressure)| interference * pressure)
            .sum();
        1.0 + contention(load) * sum
    }

    /// Draws a paying service.
    pub fn service(&mut self, service: &Service) -> Job {
        let used = self.rng.random_range(0.5..0.95);
        let spec = job::Spec {
            team: self.team(),
            class: Class::Paying,
            tasks: service.tasks,
            amount: service.amount,
            duration: Duration::ZERO,
            ..job::Spec::default()
        };
        let cpu = f64::from(service.amount.cpu_milli) * used;
        let memory = f64::from(service.amount.memory_mib) * 0.8;
        let seconds = vec![f64::INFINITY; service.tasks as usize];
        self.job("service", spec, cpu, memory, seconds)
    }

    /// Draws a batch or trial job.
    pub fn batch(&mut self, fleet: &Fleet) -> Job {
        let cpu = Lognormal::with_mean(fleet.batch_cpu, 0.4).draw(&mut self.rng);
        let memory = Lognormal::with_mean(fleet.batch_memory, 0.4).draw(&mut self.rng);
        let run = Lognormal::with_mean(fleet.batch_seconds, 0.5);
        let seconds: Vec<f64> =
            (0..fleet.batch_tasks).map(|_| run.draw(&mut self.rng).max(5.0)).collect();
        // Declared sizes and run times are off by a factor, mostly too high.
        let declared_factor = Lognormal::with_mean(1.3, 0.5);
        let declared_cpu = cpu * declared_factor.draw(&mut self.rng).clamp(0.4, 4.0);
        let underdeclared = self.rng.random_bool(UNDERDECLARED_MEMORY_SHARE);
        let memory_factor = if underdeclared { 0.5 } else { self.rng.random_range(1.05..2.5) };
        let declared_factor = Lognormal::with_mean(1.3, 0.7);
        let declared_seconds = fleet.batch_seconds * declared_factor.draw(&mut self.rng);
        let trial = self.rng.random_bool(TRIAL_SHARE);
        let spec = job::Spec {
            team: self.team(),
            class: if trial { Class::Trial } else { Class::Batch },
            tasks: fleet.batch_tasks,
            amount: Amount {
                cpu_milli: (declared_cpu as u32).clamp(100, fleet.capacity.cpu_milli / 2),
                memory_mib: (memory * memory_factor) as u32 + 1,
                accelerators: 0,
            },
            duration: Duration::from_millis((declared_seconds * 1000.0) as u64),
            ..job::Spec::default()
        };
        let name = if trial { "trial" } else { "batch" };
        let mut job = self.job(name, spec, cpu, memory, seconds);
        job.noisy = self.rng.random_bool(NOISY_SHARE);
        job.broken = self.rng.random_bool(BROKEN_SHARE);
        job
    }

    /// Draws an urgent task.
    pub fn urgent(&mut self, fleet: &Fleet) -> Job {
        let cpu = fleet.batch_cpu * 2.0;
        let spec = job::Spec {
            team: self.team(),
            class: Class::Paying,
            urgent: true,
            tasks: 1,
            amount: Amount {
                cpu_milli: cpu as u32,
                memory_mib: fleet.batch_memory as u32,
                accelerators: 0,
            },
            duration: Duration::from_secs(30),
            ..job::Spec::default()
        };
        let seconds = vec![self.rng.random_range(15.0..40.0)];
        self.job("urgent", spec, cpu * 0.8, fleet.batch_memory * 0.8, seconds)
    }

    fn job(
        &mut self,
        prefix: &str,
        spec: job::Spec,
        cpu: f64,
        memory: f64,
        seconds: Vec<f64>,
    ) -> Job {
        self.job_count += 1;
        Job {
            name: format!("{prefix}-{}", self.job_count).into(),
            spec,
            kind: self.rng.random_range(0..KINDS),
            cpu,
            memory,
            noisy: false,
            broken: false,
            seconds,
            arrived: Time::ZERO,
        }
    }

    fn team(&mut self) -> String {
        team_name(self.rng.random_range(0..TEAMS))
    }
}

fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// Returns the names of all teams.
pub fn teams() -> impl Iterator<Item = id::Team> {
    (0..TEAMS).map(|team| team_name(team).into())
}

/// Returns the factor by which the worker's total load scales interference.
fn contention(load: f64) -> f64 {
    match load {
        load if load < 0.5 => 0.3,
        load if load < 0.8 => 0.7,
        _ => 1.0,
    }
}
