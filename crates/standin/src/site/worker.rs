//! A worker of the users' platform: runs, ends, a deadline, an epoch, a clock of its own. In any
//! time that it is told, so that scenarios play it in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Hold;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Stamp;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use crate::site::serving::Serving;

/// How long a gang's member waits for the others.
pub const GANG_TIME: Duration = Duration::from_millis(3000);
/// How long a stop takes.
const STOP_TIME: Duration = Duration::from_millis(400);
/// Longest deadline that is taken.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// What the worker's clock shows at the world's beginning.
const CLOCK_START: Stamp = 400_000;
/// Failure domain of workers for which none is given.
pub const FIRST_DOMAIN: &str = "d1";
/// When the workers of a world's beginning were started.
const BORN: id::Incarnation = 1_780_000_000_000;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Active {
    /// What its step asks for.
    pub step: Step,
    /// When it began.
    pub since: Time,
    /// Work done before it began, from its checkpoint.
    pub before: Duration,
    /// All the work that it has.
    pub work: Duration,
    /// Share of its speed, in percent.
    pub pace: u8,
    /// Work done so far at the paces it had.
    pub done: Duration,
    /// When it will have ended, and how, once it was stopped or its deadline has passed. Until then it
    /// works on and is listed neither as running nor as ended.
    pub ending: Option<(Time, How)>,
    /// Whether it waits for the rest of its gang.
    pub alone: bool,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name, which it keeps when it starts again.
    pub name: id::Instance,
    /// Unix milliseconds of its start.
    pub born: id::Incarnation,
    /// Whether it tells that.
    pub tells_start: bool,
    /// When it started, in the world's time.
    begun: Time,
    /// All that it has.
    pub capacity: Amount,
    /// Its rack.
    pub rack: id::Rack,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it lives.
    pub up: bool,
    /// Whether the directory holds it.
    pub listed: bool,
    /// Whether orders and answers pass.
    pub cut: bool,
    /// Whether it is about to leave.
    pub draining: bool,
    /// It refuses what doesn't fit.
    pub guards: bool,
    /// It fails all that it starts.
    pub fails: bool,
    /// What runs there makes no progress.
    pub hangs: bool,
    /// Work takes this many times as long.
    pub slow: u32,
    /// How its serving tasks respond.
    pub serving: Serving,
    /// The next so many answers get lost, after the order was carried out.
    pub lose: u32,
    /// The next so many orders are left without an answer and carried out this much later.
    pub late: (u32, Duration),
    /// The same of holds.
    pub late_holds: (u32, Duration),
    /// The highest epoch that it has seen.
    pub epoch: id::Epoch,
    /// Everything is killed when its clock passes this.
    pub deadline: Stamp,
    /// What runs.
    pub active: BTreeMap<Run, Active>,
    /// Ends that nobody has acknowledged.
    pub ended: Vec<Ended>,
    /// Number of the next end.
    pub next_end: u64,
    /// The highest run of each task that has ended or was stopped here.
    pub highest: BTreeMap<TaskId, id::Attempt>,
    /// Runs that ended done, for the world's checks.
    pub finished: BTreeSet<Run>,
    /// Up to when time has passed here.
    pub updated: Time,
}

impl Worker {
    /// Begins the first incarnation.
    pub fn open(name: &str, capacity: Amount, rack: &str) -> Worker {
        Worker {
            name: name.into(),
            born: BORN,
            tells_start: true,
            begun: Time::ZERO,
            capacity,
            rack: rack.into(),
            domain: FIRST_DOMAIN.into(),
            up: true,
            listed: true,
            cut: false,
            draining: false,
            guards: true,
            fails: false,
            hangs: false,
            slow: 1,
            serving: Serving::default(),
            lose: 0,
            late: (0, Duration::ZERO),
            late_holds: (0, Duration::ZERO),
            epoch: 0,
            deadline: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            finished: BTreeSet::new(),
            updated: Time::ZERO,
        }
    }

    /// Begins the next incarnation: it holds and knows nothing of before, and its clock starts anew.
    #[must_use]
    pub fn restarted(&self, now: Time) -> Worker {
        Worker {
            born: BORN + now.as_millis() as id::Incarnation,
            begun: now,
            tells_start: self.tells_start,
            guards: self.guards,
            cut: self.cut,
            listed: self.listed,
            domain: self.domain.clone(),
            updated: now,
            ..Worker::open(&self.name, self.capacity, &self.rack)
        }
    }

    /// What it says of its start.
    pub fn told_start(&self) -> Option<id::Incarnation> {
        self.tells_start.then_some(self.born)
    }

    /// The worker's clock runs two percent slow.
    pub fn clock(&self, now: Time) -> Stamp {
        let since = now.saturating_sub(self.begun).mul_f64(0.98).as_millis() as Stamp;
        // Only a worker of the world's beginning has been up for longer than the world.
        if self.begun.is_zero() { CLOCK_START + since } else { since }
    }

    fn end(&mut self, run: Run, how: How) {
        let Some(active) = self.active.remove(&run) else { return };
        let highest = self.highest.entry(run.task).or_insert(0);
        *highest = (*highest).max(run.attempt);
        if how == How::Done {
            self.finished.insert(run);
        }
        let total = active.before + active.done;
        let checkpoint = (active.step.checkpointing && !total.is_zero())
            .then(|| format!("{}:{}", run.task, total.as_millis()).into());
        self.ended.push(Ended { number: self.next_end, run, how, checkpoint });
        self.next_end += 1;
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: Time) {
        let passed = now.saturating_sub(self.updated);
        self.updated = now;
        if !self.up {
            return;
        }
        self.serve(now, passed);
        let lapsed = self.clock(now) > self.deadline;
        let runs: Vec<Run> = self.active.keys().copied().collect();
        for run in runs {
            let (fails, hangs, slow) = (self.fails, self.hangs, self.slow);
            let Some(active) = self.active.get_mut(&run) else { continue };
            if !hangs && !active.alone {
                active.done += passed * u32::from(active.pace) / 100 / slow;
            }
            let done = active.before + active.done >= active.work && !active.step.long_running;
            let late = active.alone && now >= active.since + GANG_TIME;
            if lapsed {
                active.ending.get_or_insert((now + STOP_TIME, How::Lapsed));
            }
            let ending = active.ending;
            if let Some((at, how)) = ending {
                if now >= at {
                    self.end(run, how);
                }
            } else if fails {
                self.end(run, How::Failed);
            } else if late {
                self.end(run, How::Alone);
            } else if done {
                self.end(run, How::Done);
            }
        }
    }

    fn reserved(&self) -> Amount {
        self.active.values().fold(Amount::ZERO, |sum, active| {
            let mut demand = active.step.demand;
            if active.step.fills {
                demand.cpu_milli = 0;
            }
            sum.plus(demand)
        })
    }

    fn no(&self, refusal: Refusal, now: Time) -> Failure {
        Failure::Refused(refusal, Some(self.clock(now)))
    }

    fn admit(&mut self, epoch: id::Epoch, now: Time) -> Result<(), Failure> {
        if epoch < self.epoch {
            return Err(self.no(Refusal::Fenced, now));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn extend(&mut self, deadline: Stamp, now: Time) {
        let most = self.clock(now) + MAX_HOLD.as_millis() as Stamp;
        self.deadline = self.deadline.max(deadline.min(most));
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Why it was not started.
    pub fn start(
        &mut self,
        epoch: id::Epoch,
        start: &Start,
        step: &Step,
        work: Duration,
        now: Time,
    ) -> Result<Stamp, Failure> {
        self.admit(epoch, now)?;
        if self.active.contains_key(&start.run) {
            return Ok(self.clock(now));
        }
        if self.highest.get(&start.run.task).is_some_and(|&highest| start.run.attempt <= highest) {
            return Err(self.no(Refusal::Old, now));
        }
        if start.deadline < self.clock(now) {
            return Err(self.no(Refusal::Late, now));
        }
        self.extend(start.deadline, now);
        let mut demand = step.demand;
        if step.fills {
            demand.cpu_milli = 0;
        }
        if self.guards && !self.reserved().plus(demand).fits(self.capacity) {
            return Err(self.no(Refusal::Room, now));
        }
        let before = start.checkpoint.as_ref().and_then(|text| text.rsplit(':').next());
        let before = before.and_then(|text| text.parse().ok()).map(Duration::from_millis);
        let active = Active {
            step: step.clone(),
            since: now,
            before: before.unwrap_or_default(),
            work,
            pace: 100,
            done: Duration::ZERO,
            ending: None,
            alone: step.gang,
        };
        self.active.insert(start.run, active);
        Ok(self.clock(now))
    }

    /// Stops a run, or keeps it from ever starting.
    ///
    /// # Errors
    ///
    /// When the epoch is too low.
    pub fn stop(&mut self, epoch: id::Epoch, run: Run, now: Time) -> Result<Stamp, Failure> {
        self.admit(epoch, now)?;
        match self.active.get_mut(&run) {
            Some(active) => {
                active.ending.get_or_insert((now + STOP_TIME, How::Stopped));
            }
            None => {
                let highest = self.highest.entry(run.task).or_insert(0);
                *highest = (*highest).max(run.attempt);
            }
        }
        Ok(self.clock(now))
    }

    /// Sets a run's pace.
    ///
    /// # Errors
    ///
    /// When the epoch is too low.
    pub fn pace(
        &mut self,
        epoch: id::Epoch,
        run: Run,
        percent: u8,
        now: Time,
    ) -> Result<Stamp, Failure> {
        self.admit(epoch, now)?;
        if let Some(active) = self.active.get_mut(&run) {
            active.pace = percent;
        }
        Ok(self.clock(now))
    }

    /// Extends the deadline, forgets acknowledged ends and lists the rest.
    ///
    /// # Errors
    ///
    /// When the epoch is too low.
    pub fn hold(&mut self, epoch: id::Epoch, hold: &Hold, now: Time) -> Result<Report, Failure> {
        self.admit(epoch, now)?;
        if let Some(deadline) = hold.deadline {
            self.extend(deadline, now);
        }
        self.ended.retain(|end| end.number > hold.acknowledged);
        Ok(self.report(now))
    }

    /// Returns the part of the worker's processors that each filling run uses.
    fn fills(&self) -> Vec<(String, f64)> {
        let filling = self.active.values().filter(|active| active.step.fills);
        filling
            .map(|active| {
                let image = active.step.image.as_deref().unwrap_or_default().to_owned();
                let milli =
                    f64::from(active.step.demand.cpu_milli * u32::from(active.pace)) / 100.0;
                (image, milli / f64::from(self.capacity.cpu_milli))
            })
            .collect()
    }

    fn serve(&mut self, now: Time, passed: Duration) {
        let fills = self.fills();
        for (run, active) in &self.active {
            if let Some(target) = active.step.target {
                self.serving.advance(*run, target, &fills, now, passed);
            }
        }
    }

    /// Returns the task that crashes the worker now, if one of those that do so after a time has run for
    /// that long.
    pub fn crashing(&self, culprits: &BTreeMap<TaskId, Duration>, now: Time) -> Option<TaskId> {
        let due = |run: &Run, active: &Active| {
            culprits.get(&run.task).is_some_and(|&after| now >= active.since + after)
        };
        let found = self.active.iter().find(|(run, active)| self.up && due(run, active))?;
        Some(found.0.task)
    }

    /// Lists what runs and what has ended.
    pub fn report(&self, now: Time) -> Report {
        let listed = self.active.iter().filter(|(_, active)| active.ending.is_none());
        let running = listed.map(|(run, active)| {
            let total = active.before + active.done;
            let percent = (total.as_secs_f64() / active.work.as_secs_f64() * 100.0).min(99.0);
            Running {
                run: *run,
                checkpoint: (active.step.checkpointing && !total.is_zero())
                    .then(|| format!("{}:{}", run.task, total.as_millis()).into()),
                percent: if active.step.long_running && !self.hangs { 100 } else { percent as u8 },
                figure: match active.step.target {
                    Some(_) => self.serving.reported(*run, now).as_millis() as u32,
                    None => active.step.demand.cpu_milli * u32::from(active.pace) / 100,
                },
            }
        });
        let born = self.told_start();
        Report {
            born,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
