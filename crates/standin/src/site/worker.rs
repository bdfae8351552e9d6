//! A worker of the users' platform, with its runs, their ends, its lease deadline, its epoch and
//! its own clock. The caller passes the time, so that scenarios can use virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Heartbeat;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Timestamp;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use crate::site::ends::Host;
use crate::site::serving::Serving;

/// The time for which a task waits for the other members of its gang.
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time that a run takes to stop.
const STOP_TIME: Duration = Duration::from_millis(400);
/// The maximum time from now to an accepted lease deadline.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// The reading of the clock of a worker of the initial incarnation at time zero.
const CLOCK_START: Timestamp = 400_000;
/// The number of ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// The failure domain of workers for which none is set.
pub const DEFAULT_DOMAIN: &str = "d1";
/// The start time of workers of the initial incarnation, in Unix milliseconds.
const INITIAL_START_MS: id::Incarnation = 1_780_000_000_000;

/// An active run.
#[derive(Clone, Debug)]
pub struct Active {
    /// The specification of its step.
    pub step: Step,
    /// The time at which it started.
    pub started_at: Time,
    /// The work done before its start, from its checkpoint.
    pub resumed_work: Duration,
    /// Its total work.
    pub work: Duration,
    /// Its speed limit, in percent of full speed.
    pub speed_percent: u8,
    /// The work done since its start, at the speed limits that it had.
    pub work_done: Duration,
    /// The time and kind of its end, once it was stopped or its lease has expired. Until then it
    /// continues to work and is listed neither as running nor as ended.
    pub ending: Option<(Time, EndReason)>,
    /// Whether it waits for the other members of its gang.
    pub waits_for_gang: bool,
}

/// A worker in one incarnation.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name, which it keeps after a restart.
    pub name: id::Instance,
    /// Its start time, in Unix milliseconds.
    pub start_time_ms: id::Incarnation,
    /// Whether it reports its start time.
    pub reports_start: bool,
    /// Its start time, in the caller's time.
    started_at: Time,
    /// The reading of its clock at its start, which may be behind or ahead of that of the incarnation
    /// before.
    pub clock_start: Timestamp,
    /// Its capacity.
    pub capacity: Amount,
    /// Its rack.
    pub rack: id::Rack,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Whether it is running.
    pub up: bool,
    /// Whether the directory lists it.
    pub listed: bool,
    /// Whether the network drops its commands and responses.
    pub partitioned: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it refuses starts that exceed its capacity.
    pub checks_capacity: bool,
    /// Whether it fails every run.
    pub fails_runs: bool,
    /// Whether its runs make no progress.
    pub stalls_runs: bool,
    /// The factor by which work takes longer.
    pub slow_factor: u32,
    /// The load and latency of its latency-critical tasks.
    pub serving: Serving,
    /// The number of next commands whose responses are lost after they were carried out.
    pub lost_responses: u32,
    /// The number of next commands that get no response, and the delay after which they are carried
    /// out.
    pub delayed_commands: (u32, Duration),
    /// The same for heartbeats.
    pub delayed_heartbeats: (u32, Duration),
    /// The highest epoch that it has seen.
    pub epoch: id::Epoch,
    /// The lease deadline. All runs are killed once its clock has passed it.
    pub deadline: Timestamp,
    /// The active runs.
    pub active: BTreeMap<Run, Active>,
    /// The ends that haven't been acknowledged.
    pub ended: Vec<Ended>,
    /// The number of ends that one report lists at most, the oldest first.
    pub max_listed_ends: usize,
    /// The number of the next end.
    pub next_end_number: u64,
    /// The highest attempt of each task that has ended or was stopped here.
    pub highest_attempts: BTreeMap<TaskId, id::Attempt>,
    /// The completed runs, for the checks of tests.
    pub completed: BTreeSet<Run>,
    /// The time to which the worker was last advanced.
    pub advanced_to: Time,
}

impl Worker {
    /// Returns a worker in its initial incarnation.
    pub fn open(name: &str, capacity: Amount, rack: &str) -> Worker {
        Worker {
            name: name.into(),
            start_time_ms: INITIAL_START_MS,
            reports_start: true,
            started_at: Time::ZERO,
            clock_start: CLOCK_START,
            capacity,
            rack: rack.into(),
            domain: DEFAULT_DOMAIN.into(),
            up: true,
            listed: true,
            partitioned: false,
            draining: false,
            checks_capacity: true,
            fails_runs: false,
            stalls_runs: false,
            slow_factor: 1,
            serving: Serving::default(),
            lost_responses: 0,
            delayed_commands: (0, Duration::ZERO),
            delayed_heartbeats: (0, Duration::ZERO),
            epoch: 0,
            deadline: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            max_listed_ends: MAX_LISTED_ENDS,
            next_end_number: 1,
            highest_attempts: BTreeMap::new(),
            completed: BTreeSet::new(),
            advanced_to: Time::ZERO,
        }
    }

    /// Returns the next incarnation, which has no state of this one and whose clock starts at zero.
    #[must_use]
    pub fn restarted(&self, now: Time) -> Worker {
        Worker {
            start_time_ms: INITIAL_START_MS + now.as_millis() as id::Incarnation,
            started_at: now,
            clock_start: 0,
            reports_start: self.reports_start,
            checks_capacity: self.checks_capacity,
            max_listed_ends: self.max_listed_ends,
            partitioned: self.partitioned,
            listed: self.listed,
            domain: self.domain.clone(),
            advanced_to: now,
            ..Worker::open(&self.name, self.capacity, &self.rack)
        }
    }

    /// Returns its start time as it reports it.
    pub fn reported_start(&self) -> Option<id::Incarnation> {
        self.reports_start.then_some(self.start_time_ms)
    }

    /// Returns the reading of the worker's clock, which runs 2 percent slow.
    pub fn clock(&self, now: Time) -> Timestamp {
        let since = now.saturating_sub(self.started_at).mul_f64(0.98).as_millis() as Timestamp;
        self.clock_start + since
    }

    fn end(&mut self, run: Run, how: EndReason) {
        let Some(active) = self.active.remove(&run) else { return };
        let highest = self.highest_attempts.entry(run.task).or_insert(0);
        *highest = (*highest).max(run.attempt);
        if how == EndReason::Done {
            self.completed.insert(run);
        }
        let total = active.resumed_work + active.work_done;
        let checkpoint = (active.step.checkpointing && !total.is_zero())
            .then(|| format!("{}:{}", run.task, total.as_millis()).into());
        self.ended.push(Ended { number: self.next_end_number, run, reason: how, checkpoint });
        self.next_end_number += 1;
    }

    /// Advances the worker to a time.
    pub fn advance(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.advanced_to);
        self.advanced_to = now;
        if !self.up {
            return;
        }
        self.advance_serving(now, elapsed);
        let expired = self.has_lease_expired(now);
        let runs: Vec<Run> = self.active.keys().copied().collect();
        for run in runs {
            let (fails, hangs, slow) = (self.fails_runs, self.stalls_runs, self.slow_factor);
            let Some(active) = self.active.get_mut(&run) else { continue };
            if !hangs && !active.waits_for_gang {
                active.work_done += elapsed * u32::from(active.speed_percent) / 100 / slow;
            }
            let done =
                active.resumed_work + active.work_done >= active.work && !active.step.long_running;
            let gang_timed_out = active.waits_for_gang && now >= active.started_at + GANG_TIMEOUT;
            if expired {
                active.ending.get_or_insert((now + STOP_TIME, EndReason::LeaseExpired));
            }
            let ending = active.ending;
            if let Some((at, how)) = ending {
                if now >= at {
                    self.end(run, how);
                }
            } else if fails {
                self.end(run, EndReason::Failed);
            } else if gang_timed_out {
                self.end(run, EndReason::GangTimeout);
            } else if done {
                self.end(run, EndReason::Done);
            }
        }
    }

    fn reserved(&self) -> Amount {
        self.active.values().fold(Amount::ZERO, |sum, active| {
            let mut demand = active.step.demand;
            if active.step.best_effort {
                demand.cpu_milli = 0;
            }
            sum.plus(demand)
        })
    }

    /// Returns the capacity that isn't reserved.
    pub fn free(&self) -> Amount {
        self.capacity.minus(self.reserved())
    }

    fn refused(&self, refusal: Refusal, now: Time) -> Failure {
        Failure::Refused(refusal, Some(self.clock(now)))
    }

    fn admit(&mut self, epoch: id::Epoch, now: Time) -> Result<(), Failure> {
        if epoch < self.epoch {
            return Err(self.refused(Refusal::Fenced, now));
        }
        self.epoch = epoch;
        Ok(())
    }

    fn extend(&mut self, deadline: Timestamp, now: Time) {
        let limit = self.clock(now) + MAX_LEASE.as_millis() as Timestamp;
        self.deadline = self.deadline.max(deadline.min(limit));
    }

    /// Starts a run.
    ///
    /// # Errors
    ///
    /// Returns the reason why the run was not started.
    pub fn start(
        &mut self,
        epoch: id::Epoch,
        start: &Start,
        step: &Step,
        work: Duration,
        now: Time,
    ) -> Result<Timestamp, Failure> {
        self.admit(epoch, now)?;
        if self.active.contains_key(&start.run) {
            return Ok(self.clock(now));
        }
        if self
            .highest_attempts
            .get(&start.run.task)
            .is_some_and(|&highest| start.run.attempt <= highest)
        {
            return Err(self.refused(Refusal::Stale, now));
        }
        if start.deadline < self.clock(now) {
            return Err(self.refused(Refusal::LeaseExpired, now));
        }
        self.extend(start.deadline, now);
        let mut demand = step.demand;
        if step.best_effort {
            demand.cpu_milli = 0;
        }
        if self.checks_capacity && !self.reserved().plus(demand).fits_within(self.capacity) {
            return Err(self.refused(Refusal::NoCapacity, now));
        }
        let before = start.checkpoint.as_ref().and_then(|text| text.rsplit(':').next());
        let before = before.and_then(|text| text.parse().ok()).map(Duration::from_millis);
        let active = Active {
            step: step.clone(),
            started_at: now,
            resumed_work: before.unwrap_or_default(),
            work,
            speed_percent: 100,
            work_done: Duration::ZERO,
            ending: None,
            waits_for_gang: step.gang,
        };
        self.active.insert(start.run, active);
        Ok(self.clock(now))
    }

    /// Stops a run, or refuses its start from now on if it isn't active.
    ///
    /// # Errors
    ///
    /// Fails if the epoch is too low.
    pub fn stop(&mut self, epoch: id::Epoch, run: Run, now: Time) -> Result<Timestamp, Failure> {
        self.admit(epoch, now)?;
        match self.active.get_mut(&run) {
            Some(active) => {
                active.ending.get_or_insert((now + STOP_TIME, EndReason::Stopped));
            }
            None => {
                let highest = self.highest_attempts.entry(run.task).or_insert(0);
                *highest = (*highest).max(run.attempt);
            }
        }
        Ok(self.clock(now))
    }

    /// Sets a run's speed limit.
    ///
    /// # Errors
    ///
    /// Fails if the epoch is too low.
    pub fn set_speed_limit(
        &mut self,
        epoch: id::Epoch,
        run: Run,
        percent: u8,
        now: Time,
    ) -> Result<Timestamp, Failure> {
        self.admit(epoch, now)?;
        if let Some(active) = self.active.get_mut(&run) {
            active.speed_percent = percent;
        }
        Ok(self.clock(now))
    }

    /// Carries out a heartbeat: extends the lease, forgets acknowledged ends and returns the
    /// report.
    ///
    /// # Errors
    ///
    /// Fails if the epoch is too low.
    pub fn heartbeat(
        &mut self,
        epoch: id::Epoch,
        hold: &Heartbeat,
        now: Time,
    ) -> Result<Report, Failure> {
        self.admit(epoch, now)?;
        if let Some(deadline) = hold.deadline {
            self.extend(deadline, now);
        }
        self.ended.retain(|end| end.number > hold.acknowledged);
        Ok(self.report(now))
    }

    /// Returns the image of each best-effort run with the fraction of the worker's processors that
    /// it uses.
    fn best_effort_usage(&self) -> Vec<(String, f64)> {
        let best_effort = self.active.values().filter(|active| active.step.best_effort);
        best_effort
            .map(|active| {
                let image = active.step.image.as_deref().unwrap_or_default().to_owned();
                let milli =
                    f64::from(active.step.demand.cpu_milli * u32::from(active.speed_percent))
                        / 100.0;
                (image, milli / f64::from(self.capacity.cpu_milli))
            })
            .collect()
    }

    fn advance_serving(&mut self, now: Time, elapsed: Duration) {
        let best_effort = self.best_effort_usage();
        let fraction: f64 = best_effort.iter().map(|(_, fraction)| fraction).sum();
        self.serving.best_effort_work += fraction * elapsed.as_secs_f64();
        for (run, active) in &self.active {
            if let Some(target) = active.step.latency_target {
                self.serving.advance(*run, target, &best_effort, now, elapsed);
            }
        }
    }

    /// Returns a task that crashes the worker now: one that has run for its delay in
    /// `crash_delays`.
    pub fn crashing_task(
        &self,
        crash_delays: &BTreeMap<TaskId, Duration>,
        now: Time,
    ) -> Option<TaskId> {
        let due = |run: &Run, active: &Active| {
            crash_delays.get(&run.task).is_some_and(|&after| now >= active.started_at + after)
        };
        let found = self.active.iter().find(|(run, active)| self.up && due(run, active))?;
        Some(found.0.task)
    }

    /// Returns its incarnation.
    pub fn host(&self) -> Host {
        (self.name.clone(), self.start_time_ms)
    }

    /// Returns `true` if its lease has expired.
    pub fn has_lease_expired(&self, now: Time) -> bool {
        self.clock(now) > self.deadline
    }

    /// Returns the active runs, and the oldest ends.
    pub fn report(&self, now: Time) -> Report {
        let listed = self.active.iter().filter(|(_, active)| active.ending.is_none());
        let running = listed.map(|(run, active)| {
            let total = active.resumed_work + active.work_done;
            let percent = (total.as_secs_f64() / active.work.as_secs_f64() * 100.0).min(99.0);
            Running {
                run: *run,
                checkpoint: (active.step.checkpointing && !total.is_zero())
                    .then(|| format!("{}:{}", run.task, total.as_millis()).into()),
                percent: if active.step.long_running && !self.stalls_runs {
                    100
                } else {
                    percent as u8
                },
                measurement: match active.step.latency_target {
                    Some(_) => self.serving.reported(*run, now).as_millis() as u32,
                    None => active.step.demand.cpu_milli * u32::from(active.speed_percent) / 100,
                },
            }
        });
        let started_at = self.reported_start();
        Report {
            started_at,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().take(self.max_listed_ends).cloned().collect(),
        }
    }
}
