//! Numbered errors of the resource interface.

use std::time::Duration;

use cowslipchute_base::code;
use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::check;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header;
use serde::Serialize;

/// Value of the `Retry-After` header when the store was down or this process was busy.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Reason why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Number of the error.
    pub code: Code,
    /// Description of the error for a human reader.
    pub text: String,
    /// Path of the invalid field or name of the invalid header.
    pub field: Option<String>,
    /// Advice on how to resolve the error.
    pub remedy: Option<String>,
    /// Current revision of the resource.
    pub revision: Option<Revision>,
}

impl Problem {
    /// Returns a problem with the text of its code.
    pub fn new(code: Code) -> Problem {
        Problem { code, text: code.text().to_owned(), field: None, remedy: None, revision: None }
    }

    /// Adds detail to the text of the code.
    pub fn because(mut self, text: impl Into<String>) -> Problem {
        self.text = text.into();
        self
    }

    /// Sets the invalid field.
    pub fn field(mut self, field: impl Into<String>) -> Problem {
        self.field = Some(field.into());
        self
    }

    /// Sets the advice.
    pub fn remedy(mut self, remedy: impl Into<String>) -> Problem {
        self.remedy = Some(remedy.into());
        self
    }

    /// Sets the current revision.
    pub fn revision(mut self, revision: Revision) -> Problem {
        self.revision = Some(revision);
        self
    }

    /// Renders the response.
    pub fn response(&self) -> Response {
        let status = StatusCode::from_u16(self.code.status()).expect("the table holds statuses");
        let mut response = coded(self.code, status, &Body::from(self));
        if matches!(self.code, Code::StoreDown | Code::StoreUnknown | Code::Busy | Code::Stopping) {
            let seconds = header::HeaderValue::from(RETRY_AFTER.as_secs());
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

impl From<check::Error> for Problem {
    fn from(error: check::Error) -> Problem {
        let problem = Problem::new(error.code()).because(error.problem);
        problem.field(error.field).remedy(error.remedy)
    }
}

#[derive(Serialize)]
struct Body<'a> {
    code: u16,
    name: &'a str,
    outcome: &'a str,
    text: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    remedy: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
}

impl<'a> From<&'a Problem> for Body<'a> {
    fn from(problem: &'a Problem) -> Body<'a> {
        Body {
            code: problem.code.number(),
            name: problem.code.name(),
            outcome: problem.code.outcome().as_str(),
            text: &problem.text,
            field: problem.field.as_deref(),
            remedy: problem.remedy.as_deref(),
            revision: problem.revision,
        }
    }
}

/// Renders a JSON response with the headers that carry its code.
pub fn coded(code: Code, status: StatusCode, body: &impl Serialize) -> Response {
    let text = serde_json::to_vec(body).expect("answers always have a JSON form");
    Response::builder()
        .status(status)
        .content_type("application/json")
        .header(code::HEADER, code.number())
        .header(code::OUTCOME_HEADER, code.outcome().as_str())
        .body(text)
}
