//! Numbered failures of commands and the exit codes that follow from them.

use std::fmt;

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_base::id::Revision;
use serde::Deserialize;

/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: i32 = 0;
/// Exit code of a command with wrong options or arguments.
pub const EXIT_USAGE: i32 = 2;
/// Exit code of a command that failed and certainly changed nothing.
pub const EXIT_NOT_RUN: i32 = 3;
/// Exit code of a command that may or may not have changed something.
pub const EXIT_UNKNOWN: i32 = 4;

/// A numbered failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The result code.
    pub code: Code,
    /// The description of the failure.
    pub text: String,
    /// The invalid field.
    pub field: Option<String>,
    /// The suggested remedy.
    pub remedy: Option<String>,
    /// The resource's current revision.
    pub revision: Option<Revision>,
}

impl Failure {
    /// Creates a failure with a code and a description only.
    pub fn new(code: Code, text: impl Into<String>) -> Failure {
        let (field, remedy, revision) = (None, None, None);
        Failure { code, text: text.into(), field, remedy, revision }
    }

    /// Sets the suggested remedy.
    pub fn remedy(mut self, remedy: impl Into<String>) -> Failure {
        self.remedy = Some(remedy.into());
        self
    }

    /// Changes the code to `NotSent`: the request certainly had no effect.
    pub fn not_sent(mut self) -> Failure {
        self.code = Code::NotSent;
        self
    }

    /// Returns whether the request was executed, as far as the code tells.
    pub fn outcome(&self) -> Outcome {
        self.code.outcome()
    }

    /// Parses the body of an operator's error response.
    pub fn parse(body: &[u8]) -> Option<Failure> {
        let body: Body = serde_json::from_slice(body).ok()?;
        let code = Code::from_number(body.code)?;
        Some(Failure {
            code,
            text: body.text,
            field: body.field,
            remedy: body.remedy,
            revision: body.revision,
        })
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> i32 {
        match (self.code, self.outcome()) {
            (Code::BadSetting, _) => EXIT_USAGE,
            (_, Outcome::Answered) => EXIT_SUCCESS,
            (_, Outcome::NotRun) => EXIT_NOT_RUN,
            (_, Outcome::Unknown) => EXIT_UNKNOWN,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "error {} {} ({}): ",
            self.code.number(),
            self.code.name(),
            self.outcome().as_str()
        )?;
        if let Some(field) = &self.field {
            write!(f, "{field}: ")?;
        }
        f.write_str(&self.text)?;
        if let Some(revision) = self.revision {
            write!(f, "\n  present revision: {revision}")?;
        }
        if let Some(remedy) = &self.remedy {
            write!(f, "\n  what to do: {remedy}")?;
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct Body {
    code: u16,
    text: String,
    field: Option<String>,
    remedy: Option<String>,
    revision: Option<Revision>,
}
