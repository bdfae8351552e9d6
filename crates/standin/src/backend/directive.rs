//! Directives to a backend server in the headers of a request, with which a test causes a specific
//! failure.

use std::time::Duration;

use poem::http::HeaderMap;

/// The id of a request. The response repeats it, and the records count how often it ran.
pub const ID_HEADER: &str = "x-standin-id";
/// The service time in milliseconds, instead of a drawn one.
pub const DELAY_HEADER: &str = "x-standin-delay-ms";
/// The length of the response body in bytes.
pub const BODY_BYTES_HEADER: &str = "x-standin-body-bytes";
/// When to reset the connection: `before`, `during` or `after` the run, `answer` for halfway
/// through the response body, or `chunk` for the same without a content length.
pub const BREAK_HEADER: &str = "x-standin-break";
/// The delay in milliseconds after the response before the connection is closed without notice.
pub const CLOSE_HEADER: &str = "x-standin-close-ms";
/// The status of the response.
pub const STATUS_HEADER: &str = "x-standin-status";

/// The prefix of all these headers.
const PREFIX: &str = "x-standin-";

/// The point at which the connection is to be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// Before the request runs.
    Before,
    /// While it runs.
    During,
    /// After it ran, before any of the response is sent.
    After,
    /// Halfway through the response body, which has a content length.
    Answer,
    /// Halfway through the response body, which is sent in chunks without a content length.
    Chunk,
}

impl Break {
    fn parse(word: &str) -> Option<Break> {
        match word {
            "before" => Some(Break::Before),
            "during" => Some(Break::During),
            "after" => Some(Break::After),
            "answer" => Some(Break::Answer),
            "chunk" => Some(Break::Chunk),
            _ => None,
        }
    }
}

/// The directives of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directive {
    /// Its id.
    pub id: Option<Box<str>>,
    /// The service time.
    pub delay: Option<Duration>,
    /// The length of the response body.
    pub body_bytes: Option<usize>,
    /// The point at which the connection is to be reset.
    pub break_at: Option<Break>,
    /// The delay after the response before the connection is closed.
    pub close_after: Option<Duration>,
    /// The status of the response.
    pub status: Option<u16>,
}

impl Directive {
    /// Parses the headers. A malformed header is ignored.
    pub fn read(headers: &HeaderMap) -> Directive {
        let mut directive = Directive::default();
        for (name, value) in headers {
            let Ok(value) = value.to_str() else { continue };
            if name.as_str().starts_with(PREFIX) {
                directive.set(name.as_str(), value);
            }
        }
        directive
    }

    fn set(&mut self, name: &str, value: &str) {
        match name {
            ID_HEADER => self.id = Some(value.into()),
            DELAY_HEADER => self.delay = value.parse().ok().map(Duration::from_millis),
            BODY_BYTES_HEADER => self.body_bytes = value.parse().ok(),
            BREAK_HEADER => self.break_at = Break::parse(value),
            CLOSE_HEADER => self.close_after = value.parse().ok().map(Duration::from_millis),
            STATUS_HEADER => self.status = value.parse().ok(),
            _ => {}
        }
    }
}
