//! What the admission of a job depends on.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use serde::Deserialize;
use serde::Serialize;

/// How the tasks of a job get their capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Class {
    /// Tasks reserve capacity.
    Short,
    /// Tasks use capacity that isn't reserved.
    BestEffort,
}

/// Jobs that compete for the same capacity: of one service, priority and class.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Lane {
    /// The service whose workers run it.
    pub service: id::Service,
    /// Its priority.
    pub priority: u8,
    /// Its class.
    pub class: Class,
}

/// A job that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: Arc<str>,
    /// The work with which it competes.
    pub lane: Lane,
    /// Its core-seconds, by the client's estimate.
    pub work: f64,
    /// Its critical path, by the client's estimate.
    pub critical_path: Duration,
    /// Time within which it should be done.
    pub objective: Duration,
}

impl Demand {
    /// Returns the demand of a job that is submitted, or `None` if its admission isn't controlled:
    /// its queue has no objective, it has service tasks, which are of use whenever they start, or it
    /// runs on a schedule.
    pub fn of(job: JobId, queue: &Queue, spec: &Spec) -> Option<Demand> {
        let has_service_step = spec.steps.iter().any(|step| step.long_running);
        if has_service_step || spec.schedule.is_some() || !queue.has_objective() {
            return None;
        }
        let critical_path = spec.critical_path();
        Some(Demand {
            job,
            queue: queue.name.clone(),
            lane: Lane {
                service: queue.service.clone(),
                priority: queue.priority,
                class: Class::of(spec),
            },
            work: spec.work(),
            critical_path,
            objective: queue.objective(critical_path),
        })
    }
}

impl Class {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Class::Short => "short",
            Class::BestEffort => "best-effort",
        }
    }

    /// Returns the class of a job without service tasks.
    pub fn of(spec: &Spec) -> Class {
        match spec.steps.iter().any(|step| step.best_effort) {
            true => Class::BestEffort,
            false => Class::Short,
        }
    }
}
