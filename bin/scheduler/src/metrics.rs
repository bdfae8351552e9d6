//! Counters, gauges and histograms of this process, served as text for scraping.
//!
//! `docs/METRICS.md` lists them; a test compares it with [`FAMILIES`]. Every event is counted, even
//! if the log's budget dropped its line. The owner's gauges of its cell are computed when the
//! metrics are rendered, so that they cost nothing in between.

mod family;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_admission::demand::Lane;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_base::panic;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::planner::Census;
use cowslipchute_platform::server::listener::Usage;
use cowslipchute_ports::job::JobId;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

pub use family::FAMILIES;
pub use family::Family;
pub use family::Kind;

/// Upper bounds of the buckets, in seconds, for calls that should take milliseconds.
const CALL_BUCKETS_SECONDS: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Upper bounds of the buckets, in seconds, for the times of jobs: a start is expected within a
/// tenth of a second, the end of a job within some seconds.
const JOB_BUCKETS_SECONDS: &[f64] = &[0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
/// Largest number of jobs whose times are tracked at once; more than are open in a cell of the
/// expected size.
const MAX_TRACKED_JOBS: usize = 20_000;

/// Times of a tracked job.
#[derive(Clone, Copy, Debug)]
struct Tracked {
    learned_at: Time,
    started: bool,
}

/// The metrics of this process; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    events: IntCounterVec,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    client_connections: IntGauge,
    client_body_bytes: IntGauge,
    client_closed: IntGauge,
    store_calls: IntCounterVec,
    store_seconds: HistogramVec,
    start_seconds: Histogram,
    job_seconds: HistogramVec,
    start_age: Histogram,
    lease_margin: Histogram,
    turn_seconds: Histogram,
    owner_lag: Gauge,
    takeover_seconds: Histogram,
    lag: Histogram,
    owned: IntGauge,
    jobs: IntGaugeVec,
    tasks: IntGaugeVec,
    workers: IntGaugeVec,
    overdue: IntGaugeVec,
    returned: IntGaugeVec,
    evacuated: IntGaugeVec,
    share_work: GaugeVec,
    share_ahead: IntGaugeVec,
    ratings: IntGauge,
    admissions: IntCounterVec,
    forecast_age: Gauge,
    forecast_at: Arc<Mutex<Option<Time>>>,
    backlog: GaugeVec,
    backlog_rate: GaugeVec,
    retries: IntGauge,
    duration_ratio: GaugeVec,
    speed_changes: IntGaugeVec,
    forecast_factors: IntGaugeVec,
    config_version: IntGauge,
    config_age: IntGauge,
    config_applied_at: Arc<Mutex<Option<Time>>>,
    tracked: Arc<Mutex<HashMap<JobId, Tracked>>>,
}

fn counters(registry: &Registry, family: Family) -> prometheus::Result<IntCounterVec> {
    let metric = IntCounterVec::new(Opts::new(family.name, family.help), family.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(registry: &Registry, family: Family) -> prometheus::Result<IntGaugeVec> {
    let metric = IntGaugeVec::new(Opts::new(family.name, family.help), family.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn float_gauges(registry: &Registry, family: Family) -> prometheus::Result<GaugeVec> {
    let metric = GaugeVec::new(Opts::new(family.name, family.help), family.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, family: Family) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::new(family.name, family.help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn seconds_gauge(registry: &Registry, family: Family) -> prometheus::Result<Gauge> {
    let metric = Gauge::new(family.name, family.help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histograms(
    registry: &Registry,
    family: Family,
    bounds: &[f64],
) -> prometheus::Result<HistogramVec> {
    let options = HistogramOpts::new(family.name, family.help).buckets(bounds.to_vec());
    let metric = HistogramVec::new(options, family.labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, family: Family, bounds: &[f64]) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new(family.name, family.help).buckets(bounds.to_vec());
    let metric = Histogram::with_opts(options)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

impl Metrics {
    /// Opens the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name, which a test rules out.
    pub fn open() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        Ok(Metrics {
            events: counters(&registry, family::EVENTS)?,
            requests: counters(&registry, family::REQUESTS)?,
            request_seconds: histograms(&registry, family::REQUEST_SECONDS, CALL_BUCKETS_SECONDS)?,
            client_connections: gauge(&registry, family::CLIENT_CONNECTIONS)?,
            client_body_bytes: gauge(&registry, family::CLIENT_BODY_BYTES)?,
            client_closed: gauge(&registry, family::CLIENT_CLOSED)?,
            store_calls: counters(&registry, family::STORE_CALLS)?,
            store_seconds: histograms(&registry, family::STORE_SECONDS, CALL_BUCKETS_SECONDS)?,
            start_seconds: histogram(&registry, family::START_SECONDS, JOB_BUCKETS_SECONDS)?,
            job_seconds: histograms(&registry, family::JOB_SECONDS, JOB_BUCKETS_SECONDS)?,
            start_age: histogram(&registry, family::START_AGE, CALL_BUCKETS_SECONDS)?,
            lease_margin: histogram(&registry, family::LEASE_MARGIN, CALL_BUCKETS_SECONDS)?,
            turn_seconds: histogram(&registry, family::TURN_SECONDS, CALL_BUCKETS_SECONDS)?,
            owner_lag: seconds_gauge(&registry, family::OWNER_LAG)?,
            takeover_seconds: histogram(&registry, family::TAKEOVER_SECONDS, JOB_BUCKETS_SECONDS)?,
            lag: histogram(&registry, family::LAG, CALL_BUCKETS_SECONDS)?,
            owned: gauge(&registry, family::OWNED)?,
            jobs: gauges(&registry, family::JOBS)?,
            tasks: gauges(&registry, family::TASKS)?,
            workers: gauges(&registry, family::WORKERS)?,
            overdue: gauges(&registry, family::OVERDUE)?,
            returned: gauges(&registry, family::RETURNED)?,
            evacuated: gauges(&registry, family::EVACUATED)?,
            share_work: float_gauges(&registry, family::SHARE_WORK)?,
            share_ahead: gauges(&registry, family::SHARE_AHEAD)?,
            ratings: gauge(&registry, family::RATINGS)?,
            admissions: counters(&registry, family::ADMISSIONS)?,
            forecast_age: seconds_gauge(&registry, family::FORECAST_AGE)?,
            forecast_at: Arc::default(),
            backlog: float_gauges(&registry, family::BACKLOG)?,
            backlog_rate: float_gauges(&registry, family::BACKLOG_RATE)?,
            retries: gauge(&registry, family::RETRIES)?,
            duration_ratio: float_gauges(&registry, family::DURATION_RATIO)?,
            speed_changes: gauges(&registry, family::SPEED_CHANGES)?,
            forecast_factors: gauges(&registry, family::FORECAST_FACTORS)?,
            config_version: gauge(&registry, family::CONFIG_VERSION)?,
            config_age: gauge(&registry, family::CONFIG_AGE)?,
            config_applied_at: Arc::default(),
            tracked: Arc::default(),
            registry,
        })
    }

    /// Counts an event.
    pub fn event(&self, event: Event) {
        self.events.with_label_values(&[event.name()]).inc();
    }

    /// Counts a client's request.
    pub fn request(&self, request: &str, result: &str, took: Duration) {
        self.requests.with_label_values(&[request, result]).inc();
        self.request_seconds.with_label_values(&[request]).observe(took.as_secs_f64());
    }

    /// Counts a decision on the admission of a job.
    pub fn admission(&self, verdict: &str) {
        self.admissions.with_label_values(&[verdict]).inc();
    }

    /// Records that a forecast was received.
    pub fn forecast_received(&self, now: Time) {
        *lock(&self.forecast_at) = Some(now);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, call: &str, answer: &str, took: Duration) {
        self.store_calls.with_label_values(&[call, answer]).inc();
        self.store_seconds.with_label_values(&[call]).observe(took.as_secs_f64());
    }

    /// Records the time left of the owner's lease when it was renewed.
    pub fn lease_renewed(&self, left: Duration) {
        self.lease_margin.observe(left.as_secs_f64());
    }

    /// Returns the sum of the times from the decision on a start until it was sent, and their number.
    pub fn start_ages(&self) -> (f64, u64) {
        (self.start_age.get_sample_sum(), self.start_age.get_sample_count())
    }

    /// Records the time from the decision on a start until it was sent.
    pub fn start_sent(&self, age: Duration) {
        self.start_age.observe(age.as_secs_f64());
    }

    /// Records the duration of a turn of the owner, and how far the owner was behind.
    pub fn turn(&self, took: Duration, lag: Duration) {
        self.turn_seconds.observe(took.as_secs_f64());
        self.owner_lag.set(lag.as_secs_f64());
    }

    /// Records a takeover of the cell.
    pub fn taken_over(&self, took: Duration) {
        self.takeover_seconds.observe(took.as_secs_f64());
    }

    /// Records how late the process woke up.
    pub fn loop_lag(&self, late: Duration) {
        self.lag.observe(late.as_secs_f64());
    }

    /// Sets the gauges of what clients hold.
    pub fn set_clients(&self, usage: Usage) {
        let value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.client_connections.set(value(usage.connections as u64));
        self.client_body_bytes.set(value(usage.body_bytes as u64));
        self.client_closed.set(value(usage.closed));
    }

    /// Records that a configuration came into force.
    pub fn config_applied(&self, now: Time, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        *lock(&self.config_applied_at) = Some(now);
    }

    /// Tracks the times of jobs from the owner's decisions.
    pub fn track(&self, now: Time, note: &Note) {
        let Some(job) = note.job else { return };
        let mut tracked = lock(&self.tracked);
        match note.event {
            Event::JobKnown if tracked.len() < MAX_TRACKED_JOBS => {
                tracked.insert(job, Tracked { learned_at: now, started: false });
            }
            Event::RunStarted => {
                if let Some(times) = tracked.get_mut(&job).filter(|times| !times.started) {
                    times.started = true;
                    self.start_seconds.observe(now.saturating_sub(times.learned_at).as_secs_f64());
                }
            }
            Event::JobEnded => {
                if let Some(times) = tracked.remove(&job) {
                    let took = now.saturating_sub(times.learned_at).as_secs_f64();
                    self.job_seconds.with_label_values(&[&*note.detail]).observe(took);
                }
            }
            _ => {}
        }
    }

    /// Drops the tracked jobs, which another owner continues.
    pub fn ownership_lost(&self) {
        self.owner_lag.set(0.0);
        lock(&self.tracked).clear();
    }

    /// Sets the gauges of the waiting work from the forecast, if this process owns the cell.
    pub fn set_backlogs(&self, forecast: Option<&Forecast>) {
        self.backlog.reset();
        self.backlog_rate.reset();
        for backlog in forecast.iter().flat_map(|forecast| &forecast.backlogs) {
            let Lane { service, priority, class } = &backlog.lane;
            let priority = priority.to_string();
            let labels = [&**service, &priority, class.name()];
            self.backlog.with_label_values(&labels).set(backlog.work());
            self.backlog_rate.with_label_values(&labels).set(f64::from(backlog.rate));
        }
        let retries = forecast.map_or(0, |forecast| forecast.booked_jobs);
        self.retries.set(i64::from(retries));
    }

    /// Renders all metrics, with the counts of the cell if this process owns it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text can't be encoded.
    pub fn render(&self, now: Time, census: Option<Census>) -> prometheus::Result<String> {
        if let Some(received_at) = *lock(&self.forecast_at) {
            self.forecast_age.set(now.saturating_sub(received_at).as_secs_f64());
        }
        self.owned.set(census.is_some().into());
        self.jobs.reset();
        self.tasks.reset();
        self.workers.reset();
        self.overdue.reset();
        self.returned.reset();
        self.evacuated.reset();
        self.duration_ratio.reset();
        self.speed_changes.reset();
        self.forecast_factors.reset();
        for (state, count) in census.iter().flat_map(Census::jobs) {
            self.jobs.with_label_values(&[state]).set(count);
        }
        for (kind, state, count) in census.iter().flat_map(Census::tasks) {
            self.tasks.with_label_values(&[kind, state]).set(count);
        }
        for (contact, count) in census.iter().flat_map(Census::workers) {
            self.workers.with_label_values(&[contact]).set(count);
        }
        for (kind, count) in census.iter().flat_map(Census::overdue) {
            self.overdue.with_label_values(&[kind]).set(count);
        }
        for (bound, count) in census.iter().flat_map(Census::returned) {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.returned.with_label_values(&[bound]).set(count);
        }
        for (domain, runs) in census.iter().flat_map(Census::evacuated) {
            self.evacuated.with_label_values(&[&**domain]).set(*runs);
        }
        for (queue, kind, quantile, ratio) in census.iter().flat_map(Census::durations) {
            self.duration_ratio.with_label_values(&[queue, kind, quantile]).set(ratio);
        }
        self.render_shares(census.as_ref());
        for (direction, count) in census.iter().flat_map(Census::speed_changes) {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.speed_changes.with_label_values(&[direction]).set(count);
        }
        for (ahead, factor) in census.iter().flat_map(Census::forecast_factors) {
            self.forecast_factors.with_label_values(&[&ahead]).set(factor);
        }
        let ratings = census.map_or(0, |census| census.scores());
        self.ratings.set(i64::try_from(ratings).unwrap_or(i64::MAX));
        if let Some(since) = *lock(&self.config_applied_at) {
            let age = now.saturating_sub(since).as_secs();
            self.config_age.set(i64::try_from(age).unwrap_or(i64::MAX));
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }

    fn render_shares(&self, census: Option<&Census>) {
        self.share_work.reset();
        self.share_ahead.reset();
        for (queue, class, status) in census.into_iter().flat_map(Census::shares) {
            let work = [
                ("arrived", status.balance.arrived),
                ("served", status.balance.served),
                ("deficit", status.deficit()),
            ];
            for (kind, core_seconds) in work {
                let labels = [&**queue, class.name(), kind];
                self.share_work.with_label_values(&labels).set(core_seconds);
            }
            let ahead = self.share_ahead.with_label_values(&[&**queue, class.name()]);
            ahead.set(status.ahead.into());
        }
    }
}

fn lock<T>(value: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    panic::lock(value)
}
