//! Service-level objectives, and the responses that count against them.

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use serde::Serialize;

/// The objectives of each service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Objective {
    /// The class of requests that the objectives apply to.
    pub class: String,
    /// The fraction of requests that must be answered, such as 0.999.
    pub answered: f64,
    /// The fraction of requests that must be answered within the latency objective.
    pub in_time: f64,
    /// The latency objective in seconds.
    pub within: f64,
}

/// The effect of one final response on the objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was answered.
    Good,
    /// The request was not answered and spends error budget.
    Bad,
    /// The request was invalid or a duplicate, so its result says nothing about the service.
    Ignored,
}

/// Returns how a response with a result code counts. An unknown code counts as bad.
pub fn count(code: u16) -> Verdict {
    let Some(code) = Code::from_number(code) else { return Verdict::Bad };
    match code {
        Code::BadRequest
        | Code::TooLarge
        | Code::NoService
        | Code::BadDeadline
        | Code::BadKey
        | Code::BadClass
        | Code::KeyInProgress
        | Code::KeyAlreadyRun => Verdict::Ignored,
        code if code.outcome() == Outcome::Answered => Verdict::Good,
        _ => Verdict::Bad,
    }
}
