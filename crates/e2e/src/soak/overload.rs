//! A soak of overload: processes with little more than the share of a core that their load takes. Triggers come in
//! series; once they are over, the load and the share are as before, and the cell has to be as before.
//!
//! The bounds are in seconds of real time, and the processes need their share of the machine for them.

mod load;
mod power;
mod trigger;

use std::fmt;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::Soak;
use crate::share;
use load::Load;
pub use load::Waits;
use power::Power;

/// By then a job that is handed in is started, unless a trigger is active.
const START_LIMIT: Duration = Duration::from_millis(3300);
/// Time for which the processes have whole cores in the beginning.
const WARM: Duration = Duration::from_secs(1);
/// Time after that until starts are checked.
const STEADY: Duration = Duration::from_secs(2);
/// Changes of the owner beside those that the faults ask for.
const EXTRA_CHANGES: usize = 1;
/// How much less, and more, of a core than planned each process may have.
const SHARES: Range<f64> = 0.9..1.1;
/// Pause between two looks at the starts.
const STEP: Duration = Duration::from_millis(10);

/// How large a soak of overload is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Draws everything.
    pub seed: u64,
    /// Our processes.
    pub members: usize,
    /// Workers.
    pub workers: usize,
    /// Share of a core that each process has, from which the drawn one differs a little.
    pub share: f64,
    /// Jobs that are handed in each second.
    pub rate: f64,
    /// Jobs that are handed in at once.
    pub burst: usize,
    /// Times that all triggers are played.
    pub rounds: usize,
    /// By then after the triggers the cell keeps up again. It has to work off what has waited meanwhile.
    pub settled: Duration,
    /// Time for which starts are checked, before the triggers and after them.
    pub checked: Duration,
    /// Time for which a cell that doesn't keep up by then is watched, to tell whether it ever does.
    pub watched: Duration,
}

/// What an owner did while starts were checked.
#[derive(Clone, Debug, Default)]
pub struct Check {
    /// Waits of the jobs for their first start.
    pub waits: Waits,
    /// The part of its share that the owner used, unless it changed.
    pub used: Option<f64>,
}

/// What a soak of overload found.
#[derive(Clone, Debug)]
pub struct Report {
    /// What it found beside that, all broken promises among it.
    pub soak: super::Report,
    /// Share of a core that each process had.
    pub share: f64,
    /// Before the triggers.
    pub before: Check,
    /// After them.
    pub after: Check,
    /// Time from the end of the triggers until the last job was handed in that wasn't started in time, so that the cell
    /// kept up again from then on.
    pub recovery: Duration,
    /// Ownerships, each with the time until its first start.
    pub owners: Vec<Option<Duration>>,
    /// Faults that hit an owner.
    pub hits: usize,
    /// Longest pause of the soak itself, which shows how busy the machine was.
    pub lag: Duration,
}

impl fmt::Display for Check {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = self.used.map_or("?".to_owned(), |used| format!("{used:.2}"));
        write!(out, "{}, {used} of the share used", self.waits)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let owner = |time: &Option<Duration>| {
            time.map_or("none".to_owned(), |time| format!("{:.1}", time.as_secs_f64()))
        };
        let owners: Vec<String> = self.owners.iter().map(owner).collect();
        write!(
            out,
            "share {:.3}, {} jobs, {} taken in, {} refused; before: {}; after: {}; late until {:.1} s after the triggers; {} faults hit an owner, ownerships by seconds to their first start: {}; lag {} ms; {} broken",
            self.share,
            self.soak.jobs,
            self.soak.accepted,
            self.soak.refused,
            self.before,
            self.after,
            self.recovery.as_secs_f64(),
            self.hits,
            owners.join(" "),
            self.lag.as_millis(),
            self.soak.broken.len(),
        )
    }
}

struct Overload {
    plan: Plan,
    share: f64,
    soak: Soak,
    random: SmallRng,
    power: Power,
    load: Load,
    hits: usize,
    lag: Duration,
}

/// Runs a soak of overload to its end.
///
/// # Errors
///
/// When a process can't be started.
pub async fn run(plan: Plan) -> Result<Report> {
    let base = super::Plan {
        seed: plan.seed,
        span: Duration::ZERO,
        members: plan.members,
        workers: plan.workers,
        has_service_tasks: false,
    };
    let mut random = SmallRng::seed_from_u64(plan.seed.rotate_left(48));
    let share = plan.share * random.random_range(SHARES);
    let mut overload = Overload {
        plan,
        share,
        soak: Soak::open(base).await?,
        random,
        power: Power::default(),
        load: Load::open(),
        hits: 0,
        lag: Duration::ZERO,
    };
    overload.step_for(WARM).await?;
    overload.power.base = share;
    overload.step_for(STEADY).await?;
    let before = overload.check("before").await?;
    for _ in 0..plan.rounds {
        overload.play_triggers().await?;
    }
    while !overload.power.is_steady() {
        overload.step_for(STEP).await?;
    }
    let calm = Instant::now();
    overload.step_for(plan.settled).await?;
    overload.check_takeover();
    let after = overload.check("after").await?;
    if after.waits.late(START_LIMIT) > 0 {
        overload.step_for(plan.watched).await?;
    }
    let recovery = overload.load.last_late(START_LIMIT).saturating_duration_since(calm);
    overload.finish().await?;
    Ok(overload.close(before, after, recovery))
}

impl Overload {
    /// Lets everything go on for a while, with jobs that come at their rate.
    async fn step_for(&mut self, span: Duration) -> Result<()> {
        let end = Instant::now() + span;
        let mut last = Instant::now();
        while Instant::now() < end {
            self.hand_in_due();
            self.step()?;
            tokio::time::sleep(STEP).await;
            self.lag = self.lag.max(last.elapsed());
            last = Instant::now();
        }
        Ok(())
    }

    /// Brings processes back that are due, limits them, and takes in what has happened.
    fn step(&mut self) -> Result<()> {
        self.power.step(&mut self.soak.deployment)?;
        self.load.step(&mut self.soak);
        Ok(())
    }

    /// Checks that the jobs of the next seconds start in time.
    async fn check(&mut self, when: &str) -> Result<Check> {
        let owner = self.owner_time();
        let start = Instant::now();
        self.step_for(self.plan.checked).await?;
        let end = Instant::now();
        let used = self.used(owner, end - start);
        while end.elapsed() < START_LIMIT && self.load.has_unstarted(start, end) {
            self.step_for(STEP).await?;
        }
        let waits = self.load.waits(start, end, Instant::now());
        let late = waits.late(START_LIMIT);
        if late > 0 || waits.is_empty() {
            let text = format!(
                "{late} of the jobs handed in {when} the triggers weren't started in time: {waits}"
            );
            self.soak.report.broken.push(text);
        }
        Ok(Check { waits, used })
    }

    /// Returns the owner's process with the processor time that it has used.
    fn owner_time(&self) -> Option<(u32, Duration)> {
        let owner = self.soak.deployment.owner()?;
        let process = self.soak.deployment.members.get(&owner)?.process.as_ref()?;
        Some((process.id(), process.processor_time()?))
    }

    fn used(&self, before: Option<(u32, Duration)>, elapsed: Duration) -> Option<f64> {
        let (before, after) = (before?, self.owner_time()?);
        let used = after.1.checked_sub(before.1).filter(|_| after.0 == before.0)?;
        Some(used.as_secs_f64() / elapsed.as_secs_f64() / self.share)
    }

    /// Checks that the newest owner has begun to start tasks.
    fn check_takeover(&mut self) {
        let state = self.soak.deployment.site.lock();
        let newest = state.owners.all.last();
        if newest.is_none_or(|newest| newest.first_start.is_none()) {
            let age = newest.map(|newest| state.now() - newest.since);
            let text = format!("the newest owner, of {age:?}, has started nothing");
            self.soak.report.broken.push(text);
        }
    }

    /// Gives the processes their cores back and waits until all jobs have come to their end.
    async fn finish(&mut self) -> Result<()> {
        self.power.base = share::WHOLE;
        self.step()?;
        self.load.finish(&mut self.soak).await;
        Ok(())
    }

    fn close(mut self, before: Check, after: Check, recovery: Duration) -> Report {
        let ownerships = self.soak.deployment.site.lock().owners.all.clone();
        let changes = ownerships.len().saturating_sub(1);
        if changes > self.hits + EXTRA_CHANGES {
            let text = format!("{changes} changes of the owner beside {} faults", self.hits);
            self.soak.report.broken.push(text);
        }
        let first = |ownership: &cowslipchute_standin::site::owners::Ownership| {
            ownership.first_start.map(|first| first - ownership.since)
        };
        Report {
            soak: self.soak.close(),
            share: self.share,
            before,
            after,
            recovery,
            owners: ownerships.iter().map(first).collect(),
            hits: self.hits,
            lag: self.lag,
        }
    }
}
