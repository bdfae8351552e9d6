//! Numbered failures of the command and the exit codes that follow from them.

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use thiserror::Error;

/// A numbered failure of the command.
#[derive(Debug)]
#[derive(Error)]
#[error("error {} {}: {text}", .code.number(), .code.name())]
pub struct Failure {
    /// The result code, as in `docs/RESULTS.md`.
    pub code: Code,
    /// The description of the failure.
    pub text: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(code: Code, text: impl Into<String>) -> Failure {
        Failure { code, text: text.into() }
    }

    /// Returns the exit code that `docs/RESULTS.md` defines for the code's outcome.
    pub fn exit_code(&self) -> i32 {
        match self.code.outcome() {
            Outcome::Answered => 0,
            Outcome::NotRun if self.code == Code::BadSetting => 2,
            Outcome::NotRun => 3,
            Outcome::Unknown => 4,
        }
    }
}
