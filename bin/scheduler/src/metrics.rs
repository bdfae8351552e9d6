//! Counters, gauges and histograms of this process, served as text for whoever scrapes them.
//!
//! `docs/METRICS.md` lists them; a test holds it to [`FAMILIES`]. Whatever is logged is counted under
//! its event, also where the log's budget left the line out. What the owner knows of its cell is
//! counted when it is asked for, so that it costs nothing in between.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Note;
use cowslipchute_planner::planner::Census;
use cowslipchute_ports::job::JobId;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of calls that should take milliseconds, in seconds.
const CALL_BOUNDS: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// Upper bounds of what jobs wait for, in seconds: a start is expected within a tenth of a second, a
/// job within some seconds.
const JOB_BOUNDS: &[f64] = &[0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0];
/// Jobs whose times are followed at once; more than an owner of the size expected has open.
const MAX_TRACKED_JOBS: usize = 20_000;

/// What a metric is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Rises.
    Counter,
    /// Is what it is now.
    Gauge,
    /// Counts by size.
    Histogram,
}

impl Kind {
    /// Returns the usual word for it.
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
    /// Its name, with the unit.
    pub name: &'static str,
    /// What it is.
    pub kind: Kind,
    /// What tells its series apart.
    pub labels: &'static [&'static str],
    /// What it says.
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
        "Decisions and changes of what the process believes, by event of EVENTS.md, whether or not they were logged.";
    REQUESTS Counter "cowslipchute_requests_total" ["request", "result"]
        "Clients' requests by what was asked and by the name of the result, as in RESULTS.md.";
    REQUEST_SECONDS Histogram "cowslipchute_request_seconds" ["request"]
        "Time from a client's request to its answer.";
    STORE_CALLS Counter "cowslipchute_store_calls_total" ["call", "answer"]
        "Calls to the platform's store by kind and by how they were answered.";
    STORE_SECONDS Histogram "cowslipchute_store_call_seconds" ["call"]
        "Time of a call to the platform's store, unanswered ones included.";
    START_SECONDS Histogram "cowslipchute_job_start_seconds" []
        "Time from when the owner learnt of a job to its first start.";
    JOB_SECONDS Histogram "cowslipchute_job_seconds" ["state"]
        "Time from when the owner learnt of a job until its end was in the store, by how it ended.";
    START_AGE Histogram "cowslipchute_start_age_seconds" []
        "How long a start that was decided on waited for its turn to be sent, for want of processor time.";
    LEASE_MARGIN Histogram "cowslipchute_lease_margin_seconds" []
        "What was left of the owner's lease when it was renewed.";
    LAG Histogram "cowslipchute_loop_lag_seconds" []
        "How late the process woke up after a pause, for want of processor time.";
    OWNED Gauge "cowslipchute_cell_owned" []
        "Whether this process owns the cell.";
    JOBS Gauge "cowslipchute_jobs" ["state"]
        "Jobs of the cell that have not ended, at its owner.";
    TASKS Gauge "cowslipchute_tasks" ["kind", "state"]
        "Tasks of the cell that wait or have a place, by kind, at its owner.";
    WORKERS Gauge "cowslipchute_workers" ["contact"]
        "Workers of the cell by whether they answer, at its owner.";
    EVACUATED Gauge "cowslipchute_evacuated_runs" ["domain"]
        "Runs that are still in a failure domain which the operator has evacuated, at the owner.";
    RATINGS Gauge "cowslipchute_worker_ratings" []
        "How often a worker was rated for a step that waits, since this process owns the cell; the most of an owner's work.";
    CONFIG_VERSION Gauge "cowslipchute_config_version" []
        "Version of the operator's configuration in force.";
    CONFIG_AGE Gauge "cowslipchute_config_age_seconds" []
        "Time since that version came into force here.";
}

/// When a job was learnt of, and whether one of its tasks has started.
#[derive(Clone, Copy, Debug)]
struct Tracked {
    since: Time,
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
    lag: Histogram,
    owned: IntGauge,
    jobs: IntGaugeVec,
    tasks: IntGaugeVec,
    workers: IntGaugeVec,
    evacuated: IntGaugeVec,
    ratings: IntGauge,
    config_version: IntGauge,
    config_age: IntGauge,
    config_since: Arc<Mutex<Option<Time>>>,
    followed: Arc<Mutex<HashMap<JobId, Tracked>>>,
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

fn gauge(registry: &Registry, family: Family) -> prometheus::Result<IntGauge> {
    let metric = IntGauge::new(family.name, family.help)?;
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
    /// When two of them have one name, which a test rules out.
    pub fn open() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        Ok(Metrics {
            events: counters(&registry, EVENTS)?,
            requests: counters(&registry, REQUESTS)?,
            request_seconds: histograms(&registry, REQUEST_SECONDS, CALL_BOUNDS)?,
            store_calls: counters(&registry, STORE_CALLS)?,
            store_seconds: histograms(&registry, STORE_SECONDS, CALL_BOUNDS)?,
            start_seconds: histogram(&registry, START_SECONDS, JOB_BOUNDS)?,
            job_seconds: histograms(&registry, JOB_SECONDS, JOB_BOUNDS)?,
            start_age: histogram(&registry, START_AGE, CALL_BOUNDS)?,
            lease_margin: histogram(&registry, LEASE_MARGIN, CALL_BOUNDS)?,
            lag: histogram(&registry, LAG, CALL_BOUNDS)?,
            owned: gauge(&registry, OWNED)?,
            jobs: gauges(&registry, JOBS)?,
            tasks: gauges(&registry, TASKS)?,
            workers: gauges(&registry, WORKERS)?,
            evacuated: gauges(&registry, EVACUATED)?,
            ratings: gauge(&registry, RATINGS)?,
            config_version: gauge(&registry, CONFIG_VERSION)?,
            config_age: gauge(&registry, CONFIG_AGE)?,
            config_since: Arc::default(),
            followed: Arc::default(),
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

    /// Counts a call to the store.
    pub fn store_call(&self, call: &str, answer: &str, took: Duration) {
        self.store_calls.with_label_values(&[call, answer]).inc();
        self.store_seconds.with_label_values(&[call]).observe(took.as_secs_f64());
    }

    /// Notes what was left of the owner's lease when it was renewed.
    pub fn lease_renewed(&self, left: Duration) {
        self.lease_margin.observe(left.as_secs_f64());
    }

    /// Notes how long a start waited for its turn to be sent.
    pub fn start_sent(&self, age: Duration) {
        self.start_age.observe(age.as_secs_f64());
    }

    /// Notes how late the process woke up.
    pub fn loop_lag(&self, late: Duration) {
        self.lag.observe(late.as_secs_f64());
    }

    /// Notes a configuration that came into force.
    pub fn config_applied(&self, now: Time, version: u64) {
        self.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        *lock(&self.config_since) = Some(now);
    }

    /// Follows jobs through the owner's decisions.
    pub fn note(&self, now: Time, note: &Note) {
        let Some(job) = note.job else { return };
        let mut followed = lock(&self.followed);
        match note.event {
            Event::JobKnown if followed.len() < MAX_TRACKED_JOBS => {
                followed.insert(job, Tracked { since: now, started: false });
            }
            Event::RunStarted => {
                if let Some(known) = followed.get_mut(&job).filter(|known| !known.started) {
                    known.started = true;
                    self.start_seconds.observe(now.saturating_sub(known.since).as_secs_f64());
                }
            }
            Event::JobEnded => {
                if let Some(known) = followed.remove(&job) {
                    let took = now.saturating_sub(known.since).as_secs_f64();
                    self.job_seconds.with_label_values(&[&*note.detail]).observe(took);
                }
            }
            _ => {}
        }
    }

    /// Forgets the jobs that were followed, which another owner goes on with.
    pub fn ownership_lost(&self) {
        lock(&self.followed).clear();
    }

    /// Renders everything, with what the owner knows of its cell if this process owns it.
    ///
    /// # Errors
    ///
    /// When the text can't be made.
    pub fn render(&self, now: Time, census: Option<Census>) -> prometheus::Result<String> {
        self.owned.set(census.is_some().into());
        self.jobs.reset();
        self.tasks.reset();
        self.workers.reset();
        self.evacuated.reset();
        for (state, count) in census.iter().flat_map(Census::jobs) {
            self.jobs.with_label_values(&[state]).set(count);
        }
        for (kind, state, count) in census.iter().flat_map(Census::tasks) {
            self.tasks.with_label_values(&[kind, state]).set(count);
        }
        for (contact, count) in census.iter().flat_map(Census::workers) {
            self.workers.with_label_values(&[contact]).set(count);
        }
        for (domain, runs) in census.iter().flat_map(Census::evacuated) {
            self.evacuated.with_label_values(&[&**domain]).set(*runs);
        }
        let ratings = census.map_or(0, |census| census.scores());
        self.ratings.set(i64::try_from(ratings).unwrap_or(i64::MAX));
        if let Some(since) = *lock(&self.config_since) {
            let age = now.saturating_sub(since).as_secs();
            self.config_age.set(i64::try_from(age).unwrap_or(i64::MAX));
        }
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn lock<T>(value: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    value.lock().expect("nobody panics while holding what the metrics follow")
}
