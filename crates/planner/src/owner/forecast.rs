//! Forecast of waiting work for the instances that accept jobs.
//!
//! Load pattern: a burst of jobs. The owner knows what waits and how fast it is done; instances that
//! don't know would accept jobs that can't be done any more ([`cowslipchute_admission`]).

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_admission::calendar::Booking;
use cowslipchute_admission::calendar::Calendar;
use cowslipchute_admission::demand::Class;
use cowslipchute_admission::demand::Lane;
use cowslipchute_admission::forecast;
use cowslipchute_admission::forecast::Backlog;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_admission::throughput::Throughput;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::StepId;
use smallvec::SmallVec;

use crate::planner::Planner;
use crate::queue::job::Job;
use crate::workers::host::Stage;

/// Maximum age of a forecast that is sent again. Making one takes time in proportion to the jobs of
/// the cell, and each instance asks several times a second.
const MAX_AGE: Duration = Duration::from_millis(150);

/// Density of short jobs that are late and haven't started, which go after all others.
const LATE_DENSITY: f64 = -1.0;

/// What the forecasts are made from.
#[derive(Debug, Default)]
pub(crate) struct State {
    throughput: Throughput,
    calendar: Calendar,
    latest: Option<(Time, Arc<Forecast>)>,
}

/// Waiting and running work of a lane.
struct Work {
    lane: Lane,
    /// Value density and waiting core-seconds of each job.
    waiting: Vec<(f64, f64)>,
    /// CPU that its running tasks ask for, in cores. Tasks whose start isn't confirmed don't count: an
    /// owner that is behind assigns more than it starts.
    running: f64,
}

/// Returns the lane of a job, or `None` if it has service tasks, which compete for capacity by rules
/// of their own.
fn lane_of(job: &Job) -> Option<Lane> {
    if job.has_service_step() {
        return None;
    }
    Some(Lane {
        service: job.accepted.service.clone(),
        priority: job.policy.priority,
        class: Class::of(&job.accepted.spec),
    })
}

impl Planner {
    /// Returns the current forecast. `reaches_store` says whether this process reaches the store.
    pub fn forecast(&mut self, now: Time, reaches_store: bool) -> Arc<Forecast> {
        let latest = self.forecasts.latest.as_ref();
        if let Some((made_at, forecast)) = latest
            && now < *made_at + MAX_AGE
            && forecast.reaches_store == reaches_store
        {
            return forecast.clone();
        }
        let forecast = Arc::new(self.make_forecast(now, reaches_store));
        self.forecasts.latest = Some((now, forecast.clone()));
        forecast
    }

    /// Records jobs that instances have rejected.
    pub fn book_retries(&mut self, now: Time, bookings: &[Booking]) {
        for booking in bookings.iter().filter(|booking| !self.jobs.contains_key(&booking.job)) {
            self.forecasts.calendar.book(now, booking);
        }
    }

    /// Records the arrival of a job.
    pub(crate) fn record_arrival(&mut self, id: JobId) {
        self.forecasts.calendar.remove(id);
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(lane) = lane_of(job) {
            self.forecasts.throughput.record_arrival(self.now, &lane, job.work);
        }
    }

    /// Records that tasks of a step are done.
    pub(crate) fn record_completion(&mut self, step: StepId, tasks: usize) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        if let Some(lane) = lane_of(job) {
            let work = job.spec(step.step).task_work() * tasks as f64;
            self.forecasts.throughput.record_completion(self.now, &lane, work);
        }
    }

    fn make_forecast(&mut self, now: Time, reaches_store: bool) -> Forecast {
        self.forecasts.calendar.expire(now);
        let mut lanes = self.work_by_lane();
        lanes.sort_by_key(|work| std::cmp::Reverse(work.waiting.len()));
        lanes.truncate(forecast::MAX_LANES);
        Forecast {
            reaches_store,
            lag: self.load.lag,
            backlogs: lanes.into_iter().map(|work| self.backlog(now, work)).collect(),
            mean_work: self.known_mean_work(),
            returning: self.forecasts.calendar.returning(now),
            booked_jobs: self.forecasts.calendar.len() as u32,
        }
    }

    fn work_by_lane(&self) -> SmallVec<[Work; 4]> {
        let mut lanes: SmallVec<[Work; 4]> = SmallVec::new();
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            let Some(lane) = lane_of(job) else { continue };
            let known = lanes.iter().position(|work| work.lane == lane);
            let index = known.unwrap_or_else(|| {
                lanes.push(Work { lane, waiting: Vec::new(), running: 0.0 });
                lanes.len() - 1
            });
            let work = &mut lanes[index];
            let waiting = job.waiting_work();
            if waiting > 0.0 && !self.is_lost(job) {
                work.waiting.push((self.density_in_lane(job, work.lane.class), waiting));
            }
        }
        self.add_running(&mut lanes);
        lanes
    }

    fn add_running(&self, lanes: &mut [Work]) {
        for (run, hosted) in self.workers.iter().flat_map(|(_, worker)| &worker.runs) {
            if hosted.long_running || !matches!(hosted.stage, Stage::Running { .. }) {
                continue;
            }
            let lane = self.jobs.get(&run.task.job).and_then(lane_of);
            let Some(lane) = lane else { continue };
            if let Some(work) = lanes.iter_mut().find(|work| work.lane == lane) {
                work.running += f64::from(hosted.demand.cpu_milli) / 1e3;
            }
        }
    }

    /// Returns the value density by which a job is compared with others of its lane.
    fn density_in_lane(&self, job: &Job, class: Class) -> f64 {
        match class {
            Class::Short if self.is_late(job) && !job.started => LATE_DENSITY,
            Class::Short => 0.0,
            Class::BestEffort => self.expected_density(job),
        }
    }

    fn backlog(&self, now: Time, work: Work) -> Backlog {
        let (arrival_rate, completion_rate) = self.forecasts.throughput.rates(now, &work.lane);
        Backlog {
            brackets: forecast::brackets(work.waiting),
            rate: completion_rate.max(work.running) as f32,
            arrival_rate: arrival_rate as f32,
            booked: self.forecasts.calendar.booked(now, &work.lane),
            lane: work.lane,
        }
    }

    /// Returns the mean work of the queues that have jobs.
    fn known_mean_work(&self) -> Vec<(Arc<str>, f32)> {
        let mut queues: Vec<(Arc<str>, f32)> = Vec::new();
        for job in self.jobs.values() {
            let queue = &job.accepted.queue;
            if queues.len() >= forecast::MAX_QUEUES {
                break;
            }
            let is_known = queues.iter().any(|(name, _)| name == queue);
            if let Some(mean_work) = self.mean_work(queue).filter(|_| !is_known) {
                queues.push((queue.clone(), mean_work as f32));
            }
        }
        queues
    }
}
