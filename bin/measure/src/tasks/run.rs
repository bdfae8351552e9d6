//! A run on a fake worker: its progress, slowdown and end.

use cowslipchute_base::amount::Amount;
use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::worker;
use cowslipchute_ports::worker::Phase;

use crate::tasks::model::Job;

/// Time until a failing run fails, in seconds.
const FAILURE_DELAY_SECONDS: f64 = 2.0;
/// Full speed, in thousandths.
pub const FULL_SPEED: u16 = 1000;

/// Work in processor time, in thousandths of a processor times seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Granted CPU, less throttling.
    pub running: f64,
    /// Granted CPU, less throttling and interference.
    pub granted: f64,
    /// Actual CPU use, less interference.
    pub real: f64,
}

impl Work {
    /// Adds another amount of work.
    pub fn add(&mut self, other: Work) {
        self.running += other.running;
        self.granted += other.granted;
        self.real += other.real;
    }
}

/// Saved work by checkpoint handle.
#[derive(Debug, Default)]
pub struct Checkpoints {
    saved: Vec<f64>,
}

impl Checkpoints {
    /// Saves work and returns its handle.
    pub fn save(&mut self, seconds: f64) -> id::Checkpoint {
        self.saved.push(seconds);
        format!("{}", self.saved.len() - 1).into()
    }

    /// Returns the work saved under a handle, in seconds at full speed.
    pub fn seconds(&self, handle: &id::Checkpoint) -> f64 {
        let index: usize = handle.parse().expect("the handle is an index");
        self.saved[index]
    }
}

/// A run on its worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the job.
    pub job: usize,
    /// Resources granted.
    pub amount: Amount,
    /// Speed limit in thousandths of the granted CPU.
    pub permille: u16,
    /// Phase of the run.
    pub phase: Phase,
    /// Current slowdown due to interference, as a factor.
    pub slowdown: f64,
    /// Factor of that slowdown due to batch and trial tasks.
    pub batch_slowdown: f64,
    /// Work done in seconds at full speed, checkpoints included.
    pub done: f64,
    /// Work since the last checkpoint, which is lost if the run fails or is stopped.
    pub work: Work,
    /// Inventory version of the last change.
    pub version: u64,
    /// Time at which the checkpoint is complete.
    pub stopping_until: Time,
    /// Running time in seconds.
    pub running_seconds: f64,
}

impl Run {
    /// Returns `true` if the run holds its resources.
    pub fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Stopping)
    }

    /// Discards the work since the last checkpoint; returns it if the job is batch or trial.
    pub fn discard_work(&mut self, job: &Job) -> Work {
        let lost = std::mem::take(&mut self.work);
        if is_batch_or_trial(job) { lost } else { Work::default() }
    }
}

/// Returns `true` if the job is batch or trial, and so uses the capacity that paying work leaves.
pub fn is_batch_or_trial(job: &Job) -> bool {
    job.spec.class != Class::Paying
}

/// Returns the current CPU use of a run, in thousandths of a processor.
pub fn cpu_usage(run: &Run, job: &Job) -> f64 {
    if run.phase == Phase::Stopping {
        return 0.0;
    }
    job.cpu.min(cpu_limit(run))
}

fn cpu_limit(run: &Run) -> f64 {
    f64::from(run.amount.cpu_milli) * f64::from(run.permille) / f64::from(FULL_SPEED)
}

/// Advances a run by an interval in seconds; returns the work done.
pub fn run_for(run: &mut Run, job: &Job, elapsed: f64) -> Work {
    if run.phase != Phase::Running {
        return Work::default();
    }
    let share = elapsed / run.slowdown;
    let used = cpu_usage(run, job);
    run.running_seconds += elapsed;
    run.done += used / job.cpu * share;
    let work = Work {
        running: cpu_limit(run) * elapsed,
        granted: cpu_limit(run) * share,
        real: used * share,
    };
    run.work.add(work);
    work
}

/// Updates the phase of a run that has finished, failed or been evicted; returns the work lost.
pub fn update_phase(
    run: &mut Run,
    job: &Job,
    task: id::TaskIndex,
    failing: bool,
    now: Time,
    checkpoints: &mut Checkpoints,
) -> Work {
    if run.phase == Phase::Stopping {
        if now >= run.stopping_until {
            let handle = checkpoints.save(run.done);
            run.phase = Phase::Evicted { checkpoint: Some(handle) };
        }
        return Work::default();
    }
    let out_of_memory = job.memory > f64::from(run.amount.memory_mib);
    if (failing || job.broken || out_of_memory) && run.running_seconds >= FAILURE_DELAY_SECONDS {
        let reason = if out_of_memory { "out of memory" } else { "exit status 1" };
        run.phase = Phase::Failed { reason: reason.to_owned() };
        return run.discard_work(job);
    }
    if run.done >= job.seconds[task as usize] {
        run.phase = Phase::Done;
    }
    Work::default()
}

/// Returns the inventory entry of a run.
pub fn inventory_entry(name: &worker::Run, run: &Run, phase: Phase) -> worker::Held {
    worker::Held { run: name.clone(), amount: run.amount, phase, permille: run.permille }
}
