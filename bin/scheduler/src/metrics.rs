//! Counters, gauges and histograms of this process, served as text for scraping.
//!
//! `docs/METRICS.md` lists them; a test compares it with [`FAMILIES`]. Every event is counted, even
//! if the log's budget dropped its line. The owner's gauges of its cell are computed when the
//! metrics are rendered, so that they cost nothing in between.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_admission::demand::Lane;
use cowslipchute_admission::forecast::Forecast;
use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::planner::Census;
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

/// Upper bounds of the buckets, in seconds, for calls that should take milliseconds.
const CALL_BUCKETS_SECONDS: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Upper bounds of the buckets, in seconds, for the times of jobs: a start is expected within a
/// tenth of a second, the end of a job within some seconds.
const JOB_BUCKETS_SECONDS: &[f64] = &[0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
/// Largest number of jobs whose times are tracked at once; more than are open in a cell of the
/// expected size.
const MAX_TRACKED_JOBS: usize = 20_000;

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A value that only rises.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution of observed values.
    Histogram,
}

impl Kind {
    /// Returns the name of the type.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        }
    }
}

/// One metric with its labels.
#[derive(Clone, Copy, Debug)]
pub struct Family {
    /// Name, including the unit.
    pub name: &'static str,
    /// Type.
    pub kind: Kind,
    /// Names of the labels.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

macro_rules! families {
    ($($constant:ident $kind:ident $name:literal [$($label:literal),*] $help:literal;)*) => {
        $(const $constant: Family = Family {
            name: $name,
            kind: Kind::$kind,
            labels: &[$($label),*],
            help: $help,
        };)*
        /// Every metric of this process.
        pub const FAMILIES: &[Family] = &[$($constant),*];
    };
}

families! {
    EVENTS Counter "cowslipchute_events_total" ["event"]
        "Events by name, as in EVENTS.md, whether or not they were logged.";
    REQUESTS Counter "cowslipchute_requests_total" ["request", "result"]
        "Clients' requests by kind and by the name of the result, as in RESULTS.md.";
    REQUEST_SECONDS Histogram "cowslipchute_request_seconds" ["request"]
        "Time from a client's request to its response.";
    STORE_CALLS Counter "cowslipchute_store_calls_total" ["call", "answer"]
        "Calls to the platform's store by kind and outcome.";
    STORE_SECONDS Histogram "cowslipchute_store_call_seconds" ["call"]
        "Duration of a call to the platform's store, including calls without an answer.";
    START_SECONDS Histogram "cowslipchute_job_start_seconds" []
        "Time from when the owner learned of a job to its first start.";
    JOB_SECONDS Histogram "cowslipchute_job_seconds" ["state"]
        "Time from when the owner learned of a job until the store held its final state, by final state.";
    START_AGE Histogram "cowslipchute_start_age_seconds" []
        "Time from the decision on a start until it was sent, which is long if processor time is short.";
    LEASE_MARGIN Histogram "cowslipchute_lease_margin_seconds" []
        "Time left of the owner's lease when it was renewed.";
    TURN_SECONDS Histogram "cowslipchute_owner_turn_seconds" []
        "Duration of a turn of the owner, in which it handles events, decides and sends commands.";
    OWNER_LAG Gauge "cowslipchute_owner_lag_seconds" []
        "Age of the oldest event that the owner handled in its latest turn: how far it is behind.";
    TAKEOVER_SECONDS Histogram "cowslipchute_takeover_seconds" []
        "Time from when this process became the owner of the cell until most listed workers had answered it.";
    LAG Histogram "cowslipchute_loop_lag_seconds" []
        "Delay of the process in waking up from a sleep, which is long if processor time is short.";
    OWNED Gauge "cowslipchute_cell_owned" []
        "Whether this process owns the cell.";
    JOBS Gauge "cowslipchute_jobs" ["state"]
        "Jobs of the cell that have not ended, at its owner.";
    TASKS Gauge "cowslipchute_tasks" ["kind", "state"]
        "Waiting and placed tasks of the cell by kind, at its owner.";
    WORKERS Gauge "cowslipchute_workers" ["contact"]
        "Workers of the cell by whether they answer, at its owner.";
    OVERDUE Gauge "cowslipchute_service_tasks_overdue" ["kind"]
        "Service tasks that have waited for more than three seconds, returning ones that have run before and new ones, at the cell's owner.";
    RETURNED Gauge "cowslipchute_service_tasks_returned" ["within"]
        "Service tasks placed again since this process became the owner of the cell, by the upper bound of their wait in seconds; each counts once.";
    EVACUATED Gauge "cowslipchute_evacuated_runs" ["domain"]
        "Runs left in each evacuated failure domain, at the cell's owner.";
    SHARE_WORK Gauge "cowslipchute_share_core_seconds" ["queue", "size", "work"]
        "Core-seconds of the jobs of a queue and size in the last seconds, at the cell's owner: those that arrived and whose outcome is known, those of them that were in time, and what was missing to their share. None if queue shares are off.";
    SHARE_AHEAD Gauge "cowslipchute_share_ahead" ["queue", "size"]
        "Whether jobs of a queue and size go ahead of their rank, at the cell's owner.";
    RATINGS Gauge "cowslipchute_worker_ratings" []
        "How often a worker was scored for a waiting step since this process became the owner of the cell; most of an owner's work.";
    ADMISSIONS Counter "cowslipchute_admissions_total" ["verdict"]
        "Jobs submitted here whose admission is controlled, by verdict: admitted, rejected, or unjudged for want of a recent forecast.";
    FORECAST_AGE Gauge "cowslipchute_forecast_age_seconds" []
        "Time since this instance received a forecast of the waiting work; forecasts are fetched while jobs are submitted here.";
    BACKLOG Gauge "cowslipchute_backlog_core_seconds" ["service", "priority", "class"]
        "Work of waiting tasks that can still be of value, at the cell's owner.";
    BACKLOG_RATE Gauge "cowslipchute_backlog_rate_cores" ["service", "priority", "class"]
        "Work that is done per second of such tasks, as forecasts state it, at the cell's owner.";
    RETRIES Gauge "cowslipchute_retries_booked" []
        "Rejected jobs that were given a time at which to return, at the cell's owner.";
    DURATION_RATIO Gauge "cowslipchute_task_duration_ratio" ["queue", "kind", "quantile"]
        "Quantiles of the learnt ratio of actual to estimated duration of tasks by queue and kind, at the cell's owner; none without --learned-durations.";
    SPEED_CHANGES Gauge "cowslipchute_speed_limits_decided" ["direction"]
        "Speed limits of best-effort tasks decided since this process became the owner of the cell, lowered and raised ones.";
    FORECAST_FACTORS Gauge "cowslipchute_forecast_factor_permille" ["ahead_ms"]
        "Learnt factor of the deviation of headroom forecasts in thousandths, by horizon, at the cell's owner; only with --colocation-forecast on.";
    CONFIG_VERSION Gauge "cowslipchute_config_version" []
        "Version of the operator's configuration in force.";
    CONFIG_AGE Gauge "cowslipchute_config_age_seconds" []
        "Time since that version came into force on this instance.";
}

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
            events: counters(&registry, EVENTS)?,
            requests: counters(&registry, REQUESTS)?,
            request_seconds: histograms(&registry, REQUEST_SECONDS, CALL_BUCKETS_SECONDS)?,
            store_calls: counters(&registry, STORE_CALLS)?,
            store_seconds: histograms(&registry, STORE_SECONDS, CALL_BUCKETS_SECONDS)?,
            start_seconds: histogram(&registry, START_SECONDS, JOB_BUCKETS_SECONDS)?,
            job_seconds: histograms(&registry, JOB_SECONDS, JOB_BUCKETS_SECONDS)?,
            start_age: histogram(&registry, START_AGE, CALL_BUCKETS_SECONDS)?,
            lease_margin: histogram(&registry, LEASE_MARGIN, CALL_BUCKETS_SECONDS)?,
            turn_seconds: histogram(&registry, TURN_SECONDS, CALL_BUCKETS_SECONDS)?,
            owner_lag: seconds_gauge(&registry, OWNER_LAG)?,
            takeover_seconds: histogram(&registry, TAKEOVER_SECONDS, JOB_BUCKETS_SECONDS)?,
            lag: histogram(&registry, LAG, CALL_BUCKETS_SECONDS)?,
            owned: gauge(&registry, OWNED)?,
            jobs: gauges(&registry, JOBS)?,
            tasks: gauges(&registry, TASKS)?,
            workers: gauges(&registry, WORKERS)?,
            overdue: gauges(&registry, OVERDUE)?,
            returned: gauges(&registry, RETURNED)?,
            evacuated: gauges(&registry, EVACUATED)?,
            share_work: float_gauges(&registry, SHARE_WORK)?,
            share_ahead: gauges(&registry, SHARE_AHEAD)?,
            ratings: gauge(&registry, RATINGS)?,
            admissions: counters(&registry, ADMISSIONS)?,
            forecast_age: seconds_gauge(&registry, FORECAST_AGE)?,
            forecast_at: Arc::default(),
            backlog: float_gauges(&registry, BACKLOG)?,
            backlog_rate: float_gauges(&registry, BACKLOG_RATE)?,
            retries: gauge(&registry, RETRIES)?,
            duration_ratio: float_gauges(&registry, DURATION_RATIO)?,
            speed_changes: gauges(&registry, SPEED_CHANGES)?,
            forecast_factors: gauges(&registry, FORECAST_FACTORS)?,
            config_version: gauge(&registry, CONFIG_VERSION)?,
            config_age: gauge(&registry, CONFIG_AGE)?,
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
            self.backlog.with_label_values(&labels).set(backlog.work_before(0.0));
            self.backlog_rate.with_label_values(&labels).set(f64::from(backlog.rate));
        }
        let retries = forecast.map_or(0, |forecast| forecast.retries);
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
    value.lock().expect("no thread panics while it holds a lock of the metrics")
}
