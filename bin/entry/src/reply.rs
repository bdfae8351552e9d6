//! Final answers as HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use cowslipchute_base::code;
use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_ports::peer;
use poem::Response;
use poem::http::HeaderMap;
use poem::http::HeaderValue;
use poem::http::StatusCode;
use poem::http::header;
use serde::Serialize;

/// Content type of an answer that this process generates.
const JSON: &str = "application/json";
/// Default of the retry-after header of a rejection.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The whole answer of a backend server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the form in which the owner of an idempotency key stores the answer.
    pub fn to_stored(&self) -> peer::Answer {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        peer::Answer {
            status: self.status.as_u16(),
            content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
            body: self.body.to_vec(),
        }
    }
}

/// The final answer to a caller.
#[derive(Debug)]
pub enum Final {
    /// A backend server's whole answer.
    Answer(Answer),
    /// An answer stored from an earlier run under the same key.
    Replay(peer::Answer),
    /// An answer that this process generates.
    Own {
        /// The result.
        code: Code,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

impl Final {
    /// Returns a generated answer, with a retry delay if the request may be retried.
    pub fn own(code: Code) -> Final {
        let again = code.outcome() == Outcome::NotRun && matches!(code.status(), 429 | 503);
        Final::Own { code, retry_after: again.then_some(RETRY_AFTER) }
    }

    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self {
            Final::Answer(_) | Final::Replay(_) => Code::Answered,
            Final::Own { code, .. } => *code,
        }
    }

    /// Returns the HTTP response; `close` closes the caller's connection after it.
    pub fn response(self, close: bool) -> Response {
        let code = self.code();
        let mut response = match self {
            Final::Answer(answer) => forwarded(answer),
            Final::Replay(answer) => replay(answer),
            Final::Own { code, retry_after } => generated(code, retry_after),
        };
        let headers = response.headers_mut();
        headers.insert(code::HEADER, HeaderValue::from(code.number()));
        let outcome = HeaderValue::from_static(code.outcome().as_str());
        headers.insert(code::OUTCOME_HEADER, outcome);
        if close {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn forwarded(answer: Answer) -> Response {
    let mut response = Response::default();
    response.set_status(answer.status);
    *response.headers_mut() = answer.headers;
    response.set_body(answer.body);
    response
}

fn replay(answer: peer::Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder().status(status);
    if let Some(content_type) = answer.content_type {
        builder = builder.content_type(content_type);
    }
    builder.body(answer.body)
}

/// The body of a generated answer.
#[derive(Serialize)]
struct Body {
    code: u16,
    name: &'static str,
    outcome: &'static str,
    text: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

fn generated(code: Code, retry_after: Option<Duration>) -> Response {
    let status = StatusCode::from_u16(code.status()).expect("every code has a valid HTTP status");
    let mut builder = Response::builder().status(status).content_type(JSON);
    if let Some(time) = retry_after {
        builder = builder.header(header::RETRY_AFTER, whole_seconds(time));
    }
    builder.body(body(code, retry_after))
}

fn body(code: Code, retry_after: Option<Duration>) -> Vec<u8> {
    let body = Body {
        code: code.number(),
        name: code.name(),
        outcome: code.outcome().as_str(),
        text: code.text(),
        retry_after_ms: retry_after.map(|time| time.as_millis() as u64),
    };
    serde_json::to_vec(&body).expect("the body can be serialised to JSON")
}

/// Returns the bytes of a generated answer that closes its connection, for input that could not be
/// parsed as a request.
pub fn raw(code: Code) -> Vec<u8> {
    let body = body(code, None);
    let status = StatusCode::from_u16(code.status()).expect("every code has a valid HTTP status");
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\ncontent-type: {JSON}\r\n{}: {}\r\n{}: {}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        code::HEADER,
        code.number(),
        code::OUTCOME_HEADER,
        code.outcome().as_str(),
        body.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

/// Rounds up to whole seconds, so that callers don't retry too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000) as u64
}
