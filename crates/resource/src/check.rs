//! Validation of resource fields.

use cowslipchute_base::code::Code;
use cowslipchute_base::name;
use thiserror::Error;

use crate::Resource;
use crate::Spec;

/// Invalid field, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{field}: {problem}; {remedy}")]
pub struct Error {
    /// Path of the field, such as `job.tasks`.
    pub field: String,
    /// Problem with the value.
    pub problem: String,
    /// Description of valid values.
    pub remedy: String,
}

impl Error {
    /// Returns the result code of the error.
    pub fn code(&self) -> Code {
        Code::BadResource
    }

    fn new(field: &str, problem: impl Into<String>, remedy: impl Into<String>) -> Error {
        Error { field: field.to_owned(), problem: problem.into(), remedy: remedy.into() }
    }
}

/// Checks the name and every field of a resource.
///
/// # Errors
///
/// Returns the first invalid field.
pub fn resource(resource: &Resource) -> Result<(), Error> {
    name("name", &resource.name)?;
    match &resource.spec {
        Spec::Service(spec) => service(&resource.name, spec),
        Spec::Job(spec) => job(spec),
        Spec::Team(spec) => team(spec),
        Spec::Policy(spec) => policy(&resource.name, spec),
    }
}

/// Checks the name of a resource or of something that it refers to.
///
/// # Errors
///
/// Fails if the name is invalid according to [`name::check`].
pub fn name(field: &str, name: &str) -> Result<(), Error> {
    name::check(name).map_err(|error| Error::new(field, error.to_string(), name::REMEDY))
}

fn check_range(field: &str, value: u64, low: u64, high: u64) -> Result<(), Error> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::new(field, format!("is {value}"), format!("use {low} to {high}")))
}

fn service(service_name: &str, spec: &crate::service::Spec) -> Result<(), Error> {
    if let Some(other) = &spec.backends_of {
        name("service.backends_of", other)?;
        if other == service_name {
            return Err(Error::new(
                "service.backends_of",
                "names the service itself",
                "name the paying service, or leave it out for backend servers of its own",
            ));
        }
    }
    check_range("service.deadline", spec.deadline.as_millis() as u64, 1, 600_000)?;
    check_range("service.deadline_max", spec.deadline_max.as_millis() as u64, 1, 600_000)?;
    if spec.deadline > spec.deadline_max {
        return Err(Error::new(
            "service.deadline",
            "is above service.deadline_max",
            "lower it or raise service.deadline_max",
        ));
    }
    check_range("service.queue", spec.queue.into(), 0, 100_000)?;
    check_range("service.queue_wait", spec.queue_wait.as_millis() as u64, 0, 60_000)?;
    check_range("service.reserve_permille", spec.reserve_permille.into(), 0, 1000)?;
    check_range("service.retry_permille", spec.retry_permille.into(), 0, 1000)?;
    check_range("service.attempts", spec.attempts.into(), 1, 10)
}

fn job(spec: &crate::job::Spec) -> Result<(), Error> {
    name("job.team", &spec.team)?;
    check_range("job.tasks", spec.tasks.into(), 1, 100_000)?;
    check_range("job.amount.cpu_milli", spec.amount.cpu_milli.into(), 1, 4_000_000)?;
    check_range("job.amount.memory_mib", spec.amount.memory_mib.into(), 1, 64_000_000)?;
    check_range("job.duration", spec.duration.as_millis() as u64, 0, 30 * 86_400_000)?;
    check_range("job.failures_max", spec.failures_max.into(), 0, 1000)?;
    if !spec.domain.is_empty() {
        name("job.domain", &spec.domain)?;
    }
    Ok(())
}

fn team(spec: &crate::team::Spec) -> Result<(), Error> {
    let mut sum = cowslipchute_base::amount::Amount::ZERO;
    for (domain, share) in &spec.shares {
        name("team.shares", domain)?;
        sum = sum.plus(*share);
    }
    if sum.fits_within(spec.quota) {
        return Ok(());
    }
    Err(Error::new(
        "team.shares",
        "add up to more than team.quota",
        "lower a share or raise the quota",
    ))
}

fn policy(name: &str, spec: &crate::policy::Spec) -> Result<(), Error> {
    if name != "default" {
        return Err(Error::new("name", "is not `default`", "there is one policy, named `default`"));
    }
    let weights = [
        ("policy.latency_weight", spec.latency_weight),
        ("policy.eviction_weight", spec.eviction_weight),
        ("policy.throughput_weight", spec.throughput_weight),
    ];
    for (field, weight) in weights {
        if !(0.0..=100.0).contains(&weight) {
            return Err(Error::new(field, format!("is {weight}"), "use 0 to 100"));
        }
    }
    check_range("policy.slowdown_permille", spec.slowdown_permille.into(), 1001, 10_000)?;
    check_range("policy.eviction_permille", spec.eviction_permille.into(), 0, 1000)?;
    check_range("policy.urgent_reserve_permille", spec.urgent_reserve_permille.into(), 0, 500)?;
    check_range("policy.lease", spec.lease.as_millis() as u64, 1000, 300_000)?;
    check_range("policy.heartbeat", spec.heartbeat.as_millis() as u64, 100, 60_000)?;
    if spec.heartbeat * 3 > spec.lease {
        return Err(Error::new(
            "policy.heartbeat",
            "is over a third of policy.lease",
            "lower it or raise policy.lease, so that two lost heartbeats lapse no lease",
        ));
    }
    Ok(())
}
