//! The decision on each job at the instance that it was submitted to.

use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_base::size::MAX_LATE_FACTOR;
use cowslipchute_ports::job::JobId;
use foldhash::HashMap;

use crate::calendar::Booking;
use crate::demand::Class;
use crate::demand::Demand;
use crate::demand::Lane;
use crate::forecast::BOOKED_SECONDS;
use crate::forecast::Backlog;
use crate::forecast::Forecast;
use crate::value;

/// Age up to which a forecast may reject a job. A cell of which nothing was heard for longer may
/// have a new owner.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Interval between two requests for a forecast while work waits.
const BUSY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two requests while no work waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of jobs submitted here since the last forecast from which a burst may have begun.
const BUSY_JOBS: usize = 4;
/// Age that a forecast may have when its owner sends it, since it sends one to several instances.
const MAX_SENDING_AGE: Duration = Duration::from_millis(150);
/// Time for which a rejection is kept after its job was due to return.
const RETURN_TOLERANCE: Duration = Duration::from_millis(1500);
/// Lowest rate, in core-seconds per second, that says something about a lane.
const MIN_RATE: f64 = 0.01;
/// Factor by which the waiting work may be done faster than forecast: estimates are off by up to
/// this much, and a job that could still be of value must not be rejected.
const ERROR_FACTOR: f64 = 2.0;
/// Lag from which the owner is behind. Starts are the bottleneck then and not capacity, and each late
/// job that is admitted makes others late, so only jobs that can be in time are admitted.
const BEHIND_LAG: Duration = Duration::from_millis(60);
/// Largest fraction of a lane's rate that is booked for retries, which bounds their load: jobs that
/// were not rejected before get the rest.
const MAX_RETRY_FRACTION: f64 = 0.5;
/// Fraction that is booked while new jobs alone exceed the rate.
const MIN_RETRY_FRACTION: f64 = 0.1;
/// Number of rejections that are remembered until the owner has confirmed them. Further ones are
/// forgotten, and their jobs count as new when they return.
const MAX_BOOKINGS: usize = 1024;
/// Number of rejections reported with a request, which is a single datagram.
const MAX_REPORTED: usize = 64;

/// Why a job is admitted without an estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unjudged {
    /// There is no forecast, or it is too old.
    NoForecast,
    /// The owner doesn't reach the store, so that rates say nothing.
    StoreDown,
    /// The job's lane has no backlog, or its rate isn't known. Without a backlog the rate is that of
    /// the arrivals and not what the lane could do.
    NoBacklog,
}

/// What a verdict is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Age of the forecast.
    pub forecast_age: Duration,
    /// Core-seconds that go before the job.
    pub work_before: f64,
    /// Core-seconds that are done per second.
    pub rate: f64,
    /// Time until the job can be done, if the work before it is done as fast as it may be.
    pub earliest_end: Duration,
    /// Time after which it is worth nothing.
    pub limit: Duration,
}

/// Verdict on a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The job is admitted: it may be done before it is worth nothing.
    Admitted(Estimate),
    /// The job is admitted without an estimate.
    Unjudged(Unjudged),
    /// The job is rejected.
    Rejected {
        /// Why.
        estimate: Estimate,
        /// Time after which it should be submitted again, in whole seconds.
        retry_after: Duration,
    },
}

/// A job that was admitted here since the forecast was made.
#[derive(Clone, Debug)]
struct Admitted {
    lane: Lane,
    density: f64,
    work: f64,
    at: Time,
}

/// A job that was rejected here.
#[derive(Clone, Debug)]
struct Rejected {
    lane: Lane,
    work: f64,
    due_at: Time,
    /// Whether the owner knows of it. It is in the bookings of the next forecast.
    confirmed: bool,
}

#[derive(Clone, Debug)]
struct Received {
    forecast: Forecast,
    /// When it was requested. The owner may have made it up to [`MAX_SENDING_AGE`] earlier.
    requested_at: Time,
}

/// Admission control of one instance.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    received: Option<Received>,
    requested_at: Option<Time>,
    admitted: Vec<Admitted>,
    /// Number of jobs submitted since the last forecast.
    submitted: usize,
    /// Rejections that aren't in the forecast's bookings yet.
    rejected: HashMap<JobId, Rejected>,
}

impl Gate {
    /// Returns the rejections to report with a request for a forecast, if one is due.
    pub fn request(&mut self, now: Time) -> Option<Vec<Booking>> {
        let received = self.received.as_ref().map(|received| &received.forecast);
        let is_busy = received.is_some_and(Forecast::is_contended)
            || !self.rejected.is_empty()
            || self.submitted >= BUSY_JOBS;
        let interval = if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        if self.requested_at.is_some_and(|requested_at| now < requested_at + interval) {
            return None;
        }
        self.requested_at = Some(now);
        self.rejected.retain(|_, rejected| now < rejected.due_at + RETURN_TOLERANCE);
        let unknown = self.rejected.iter().filter(|(_, rejected)| !rejected.confirmed);
        let bookings = unknown.take(MAX_REPORTED).map(|(&job, rejected)| Booking {
            job,
            lane: rejected.lane.clone(),
            work: rejected.work as f32,
            due_in: rejected.due_at.saturating_sub(now),
        });
        Some(bookings.collect())
    }

    /// Handles the response to the request that was sent at `requested_at`. The owner has recorded the
    /// rejections in `reported`; the forecast may be older, so they are kept until the next one.
    pub fn receive(&mut self, forecast: Forecast, requested_at: Time, reported: &[JobId]) {
        let is_older = |known: &Received| known.requested_at > requested_at;
        if self.received.as_ref().is_some_and(is_older) {
            return;
        }
        self.rejected.retain(|_, rejected| !rejected.confirmed);
        for job in reported {
            if let Some(rejected) = self.rejected.get_mut(job) {
                rejected.confirmed = true;
            }
        }
        self.admitted.retain(|admitted| admitted.at + MAX_SENDING_AGE >= requested_at);
        self.submitted = 0;
        self.received = Some(Received { forecast, requested_at });
    }

    /// Decides on a job, and remembers the decision until the next forecast.
    pub fn decide(&mut self, now: Time, demand: &Demand) -> Verdict {
        self.submitted += 1;
        let (estimate, density) = match self.estimate(now, demand) {
            Ok(estimated) => estimated,
            Err(unjudged) => return Verdict::Unjudged(unjudged),
        };
        if estimate.earliest_end <= estimate.limit {
            self.rejected.remove(&demand.job);
            let (lane, work) = (demand.lane.clone(), demand.work);
            self.admitted.push(Admitted { lane, density, work, at: now });
            return Verdict::Admitted(estimate);
        }
        let retry_after = self.book(now, demand, &estimate);
        Verdict::Rejected { estimate, retry_after }
    }

    /// Estimates the earliest end of a job. Also returns its value density.
    fn estimate(&self, now: Time, demand: &Demand) -> Result<(Estimate, f64), Unjudged> {
        let received = self.received.as_ref().ok_or(Unjudged::NoForecast)?;
        let forecast_age = now.saturating_sub(received.requested_at);
        if forecast_age > MAX_AGE {
            return Err(Unjudged::NoForecast);
        }
        let forecast = &received.forecast;
        if !forecast.reaches_store {
            return Err(Unjudged::StoreDown);
        }
        let backlog = forecast.backlog(&demand.lane).ok_or(Unjudged::NoBacklog)?;
        let rate = f64::from(backlog.rate);
        if !backlog.is_contended() || rate.is_nan() || rate < MIN_RATE {
            return Err(Unjudged::NoBacklog);
        }
        let density = density(forecast, demand);
        let is_returning = self.is_returning(forecast, demand.job);
        let own = self
            .admitted
            .iter()
            .filter(|admitted| admitted.lane == demand.lane && admitted.density >= density);
        let own: f64 = own.map(|admitted| admitted.work).sum();
        let retries = if is_returning { 0.0 } else { backlog.booked_in(0) };
        let is_behind = forecast.lag >= BEHIND_LAG;
        // An owner that is behind spends time on whatever waits.
        let waiting = if is_behind { backlog.work() } else { backlog.work_before(density) };
        let done = rate * forecast_age.as_secs_f64();
        let work_before = (waiting + own + retries - done).max(0.0);
        let error_factor = if is_behind { 1.0 } else { ERROR_FACTOR };
        let wait = seconds(work_before / (rate * error_factor));
        let earliest_end = wait.saturating_add(demand.critical_path);
        let late_factor = if is_behind { 1.0 } else { MAX_LATE_FACTOR };
        let limit = seconds(demand.objective.as_secs_f64() * late_factor);
        Ok((Estimate { forecast_age, work_before, rate, earliest_end, limit }, density))
    }

    /// Returns `true` if a job was rejected before, here or at another instance. It goes before jobs
    /// that are submitted for the first time.
    fn is_returning(&self, forecast: &Forecast, job: JobId) -> bool {
        self.rejected.contains_key(&job) || forecast.returning.contains(&job)
    }

    /// Books the first second in which a rejected job could be admitted and that has room for it.
    fn book(&mut self, now: Time, demand: &Demand, estimate: &Estimate) -> Duration {
        let backlog =
            self.received.as_ref().and_then(|received| received.forecast.backlog(&demand.lane));
        let first = first_second(estimate, backlog);
        let own = self.own_bookings(now, &demand.lane);
        let room = retry_rate(estimate.rate, backlog);
        let has_room = |second: usize| {
            let booked = backlog.map_or(0.0, |backlog| backlog.booked_in(second)) + own[second];
            booked == 0.0 || booked + demand.work <= room
        };
        let second = (first..BOOKED_SECONDS).find(|&second| has_room(second));
        let retry_after = Duration::from_secs(second.unwrap_or(BOOKED_SECONDS) as u64);
        if self.rejected.len() < MAX_BOOKINGS {
            let (lane, work) = (demand.lane.clone(), demand.work);
            let due_at = now + retry_after;
            let confirmed = false;
            self.rejected.insert(demand.job, Rejected { lane, work, due_at, confirmed });
        }
        retry_after
    }

    fn own_bookings(&self, now: Time, lane: &Lane) -> [f64; BOOKED_SECONDS] {
        let mut seconds = [0.0; BOOKED_SECONDS];
        for rejected in self.rejected.values().filter(|rejected| rejected.lane == *lane) {
            let second = rejected.due_at.saturating_sub(now).as_secs() as usize;
            if let Some(booked) = seconds.get_mut(second) {
                *booked += rejected.work;
            }
        }
        seconds
    }
}

/// Converts seconds to a duration, or to the longest one if they can't be represented.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the value density by which a job is compared with others of its lane.
fn density(forecast: &Forecast, demand: &Demand) -> f64 {
    match demand.lane.class {
        Class::Short => 0.0,
        Class::BestEffort => {
            let mean_work = forecast.mean_work(&demand.queue).unwrap_or(demand.work);
            value::density(demand.work, mean_work, demand.work)
        }
    }
}

/// Returns the core-seconds of retries that may be booked for a second: what new jobs leave, within
/// bounds.
fn retry_rate(rate: f64, backlog: Option<&Backlog>) -> f64 {
    let arrival_rate = backlog.map_or(0.0, |backlog| f64::from(backlog.arrival_rate));
    (rate - arrival_rate).clamp(rate * MIN_RETRY_FRACTION, rate * MAX_RETRY_FRACTION)
}

/// Returns the first second from now in which a rejected job could be admitted: when enough of the
/// backlog is done, beyond what arrives meanwhile.
fn first_second(estimate: &Estimate, backlog: Option<&Backlog>) -> usize {
    /// Fraction of the rate by which the backlog is taken to shrink at least.
    const MIN_DRAIN_FRACTION: f64 = 0.25;
    let arrival_rate = backlog.map_or(0.0, |backlog| f64::from(backlog.arrival_rate));
    let drain_rate = (estimate.rate - arrival_rate).max(estimate.rate * MIN_DRAIN_FRACTION);
    let excess = estimate.earliest_end.saturating_sub(estimate.limit);
    let excess_work = excess.as_secs_f64() * estimate.rate * ERROR_FACTOR;
    let seconds = (excess_work / drain_rate).ceil() as usize;
    seconds.clamp(1, BOOKED_SECONDS)
}
