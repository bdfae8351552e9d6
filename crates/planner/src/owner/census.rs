//! Counts of the owner's jobs, tasks and workers, for its metrics.

use std::sync::Arc;

use cowslipchute_base::id;

use crate::colocation::forecast_error::HORIZON_COUNT;
use crate::colocation::forecast_error::HORIZONS;
use crate::colocation::throttle::SpeedChanges;
use crate::planner::Planner;
use crate::queue::durations::Kind;
use crate::queue::durations::TAIL_RANK;
use crate::queue::share::Class;
use crate::queue::share::Status;
use crate::queue::task::Place;
use crate::service::service_wait::Returned;
use crate::workers::worker::Contact;

/// Quantiles of learnt durations that are shown, with their ranks.
const DURATION_QUANTILES: [(&str, f64); 3] = [("0.5", 0.5), ("0.9", 0.9), ("0.99", TAIL_RANK)];

/// Number of tasks of one kind by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tasks {
    waiting: i64,
    placed: i64,
}

/// Number of workers by whether they answer the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contacts {
    /// Workers that answer.
    pub answering: i64,
    /// Workers whose last heartbeat went unanswered.
    pub silent: i64,
    /// Workers that haven't answered this owner yet.
    pub unfenced: i64,
}

/// Counts of jobs, tasks and workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Census {
    queued: i64,
    active: i64,
    service: Tasks,
    best_effort: Tasks,
    short: Tasks,
    contacts: Contacts,
    scores: u64,
    evacuated: Vec<(id::Domain, i64)>,
    /// Service tasks that have waited for long: those that have run before, and new ones.
    overdue: [i64; 2],
    returned: Returned,
    durations: Vec<(Arc<str>, Kind, [f64; 3])>,
    shares: Vec<(Arc<str>, Class, Status)>,
    speed_changes: SpeedChanges,
    /// Factors of forecasts' deviations by horizon, if budgets are forecast.
    forecast_factors: Option<[i64; HORIZON_COUNT]>,
}

impl Census {
    /// Returns the number of jobs by state.
    pub fn jobs(&self) -> impl Iterator<Item = (&'static str, i64)> + use<> {
        [("queued", self.queued), ("active", self.active)].into_iter()
    }

    /// Returns the number of tasks by kind and state.
    pub fn tasks(&self) -> impl Iterator<Item = (&'static str, &'static str, i64)> + use<> {
        let kinds =
            [("lasting", self.service), ("filling", self.best_effort), ("short", self.short)];
        kinds.into_iter().flat_map(|(kind, tasks)| {
            [(kind, "waiting", tasks.waiting), (kind, "placed", tasks.placed)]
        })
    }

    /// Returns the number of workers by contact state.
    pub fn workers(&self) -> impl Iterator<Item = (&'static str, i64)> + use<> {
        let Contacts { answering, silent, unfenced } = self.contacts;
        [("answering", answering), ("silent", silent), ("unfenced", unfenced)].into_iter()
    }

    /// Returns the evacuated failure domains, each with the number of runs that are still there.
    pub fn evacuated(&self) -> &[(id::Domain, i64)] {
        &self.evacuated
    }

    /// Returns the number of service tasks that have waited for more than three seconds, by whether
    /// they have run before.
    pub fn overdue(&self) -> impl Iterator<Item = (&'static str, i64)> + use<> {
        let [returning, new] = self.overdue;
        [("returning", returning), ("new", new)].into_iter()
    }

    /// Returns how many service tasks were placed again since the ownership began, by the upper
    /// bound of their wait in seconds.
    pub fn returned(&self) -> impl Iterator<Item = (&'static str, u64)> + use<> {
        self.returned.by_bound().into_iter()
    }

    /// Returns quantiles of the learnt ratio of actual to estimated duration, by queue and kind.
    pub fn durations(&self) -> impl Iterator<Item = (&str, &'static str, &'static str, f64)> {
        self.durations.iter().flat_map(|(queue, kind, ratios)| {
            let named = DURATION_QUANTILES.into_iter().zip(ratios);
            named.map(|((name, _), ratio)| (&**queue, kind.name(), name, *ratio))
        })
    }

    /// Returns the accounts of queues and size classes, which are none if the feature is off.
    pub fn shares(&self) -> &[(Arc<str>, Class, Status)] {
        &self.shares
    }

    /// Returns how many speed limits were decided since the ownership began, by direction.
    pub fn speed_changes(&self) -> impl Iterator<Item = (&'static str, u64)> + use<> {
        let SpeedChanges { lowered, raised } = self.speed_changes;
        [("lowered", lowered), ("raised", raised)].into_iter()
    }

    /// Returns the learnt factor of forecasts' deviations in thousandths, by horizon in
    /// milliseconds, if budgets are forecast.
    pub fn forecast_factors(&self) -> impl Iterator<Item = (String, i64)> + use<> {
        let horizons = HORIZONS.iter().map(|horizon| horizon.as_millis().to_string());
        horizons.zip(self.forecast_factors.into_iter().flatten())
    }

    /// Returns how many times a worker was scored for a waiting step since the ownership began.
    pub fn scores(&self) -> u64 {
        self.scores
    }
}

impl Planner {
    /// Returns the number of placement passes.
    pub fn passes(&self) -> u64 {
        self.passes
    }

    /// Counts the jobs, tasks and workers of the cell.
    pub fn census(&self) -> Census {
        let foresees = self.settings.features.colocation_forecast;
        let mut census = Census {
            scores: self.scores,
            evacuated: self.evacuated_runs(),
            returned: self.service_waits.returned,
            contacts: self.contacts(),
            durations: self.durations.quantiles(DURATION_QUANTILES.map(|(_, rank)| rank)),
            shares: self.shares.statuses(self.now),
            speed_changes: self.speed_changes,
            forecast_factors: foresees.then(|| self.forecast_factors.per_mille()),
            ..Census::default()
        };
        for (id, job) in self.jobs.iter().filter(|(_, job)| job.end.is_none()) {
            *if job.started { &mut census.active } else { &mut census.queued } += 1;
            for (step, state) in job.steps(*id) {
                let spec = job.spec(step.step);
                let tasks = if spec.long_running {
                    &mut census.service
                } else if spec.best_effort {
                    &mut census.best_effort
                } else {
                    &mut census.short
                };
                tasks.waiting += if state.open { i64::from(state.waiting) } else { 0 };
                if spec.long_running && state.open {
                    let [returning, new] = &mut census.overdue;
                    for task in state.tasks.iter().filter(|task| self.is_overdue(task)) {
                        *if task.attempt > 0 { &mut *returning } else { &mut *new } += 1;
                    }
                }
                let placed = |place| matches!(place, Place::At(_));
                tasks.placed += state.tasks.iter().filter(|task| placed(task.place)).count() as i64;
            }
        }
        census
    }

    /// Counts the workers by whether they answer.
    pub fn contacts(&self) -> Contacts {
        let mut contacts = Contacts::default();
        for (_, worker) in self.workers.iter() {
            *match worker.contact {
                Contact::Answering { .. } => &mut contacts.answering,
                Contact::Silent { .. } => &mut contacts.silent,
                Contact::Unfenced { .. } => &mut contacts.unfenced,
            } += 1;
        }
        contacts
    }
}
