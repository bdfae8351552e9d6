//! Callers: their requests, the results they see, and the services they call.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_resource::service;

/// The paying service.
pub(super) const WEB: &str = "web";
/// The trial service, on the backend servers of the paying one.
pub(super) const TRIAL: &str = "web-trial";

/// State of a request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: Class,
    pub(super) idempotent: bool,
    pub(super) keyed: bool,
    pub(super) entry: usize,
    pub(super) sent: Time,
    pub(super) demand: Duration,
    pub(super) attempts: u8,
    pub(super) runs: u8,
    pub(super) completions: u8,
}

/// Final result of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    Success,
    Failed,
    NotRun,
    Unknown,
}

impl Completion {
    /// Classifies a result code.
    pub(super) fn of(code: Code) -> Completion {
        match code.outcome() {
            Outcome::Answered => Completion::Success,
            Outcome::NotRun => Completion::NotRun,
            Outcome::Unknown => Completion::Unknown,
        }
    }
}

/// Returns the specs of the paying service and the trial service.
pub(super) fn services() -> [(id::Service, service::Spec); 2] {
    let web = service::Spec::default();
    let trial = service::Spec {
        class: Class::Trial,
        backends_of: Some(WEB.to_owned()),
        ..service::Spec::default()
    };
    [(WEB.into(), web), (TRIAL.into(), trial)]
}
