//! The HTTP endpoint for callers' requests.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_intake::bytes::Budget;
use cowslipchute_intake::bytes::Buffer;
use cowslipchute_intake::bytes::Charge;
use cowslipchute_intake::bytes::Refusal;
use futures_util::StreamExt as _;
use poem::Body;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::HeaderMap;
use poem::http::header;

use crate::front::pending::Label;
use crate::front::pending::Pending;
use crate::head;
use crate::reply::Final;
use crate::settings::Limits;

/// Handles every request on the callers' address.
pub struct Handler {
    pending: Arc<Pending>,
    limits: Limits,
    /// Memory for the bodies at all fronts.
    budget: Budget,
}

impl Handler {
    /// Opens the handler of a front.
    pub fn open(pending: Arc<Pending>, limits: Limits, budget: Budget) -> Handler {
        Handler { pending, limits, budget }
    }

    /// Counts a request that could not be parsed.
    pub fn count_unparsable(&self) {
        self.pending.metrics.answered(None, Code::BadRequest, Duration::ZERO);
    }

    async fn serve(&self, request: Request, began: Instant) -> Served {
        let (parts, body) = request.into_parts();
        let declared = declared_length(&parts.headers);
        let head = match head::read(parts.method, &parts.uri, parts.headers, self.limits.head) {
            Ok(head) => head,
            Err(code) => return Served::rejected(code),
        };
        let label = self.pending.label(&head.service, head.class);
        let (body, _charge) = match self.body(body, declared).await {
            Ok(received) => received,
            Err(code) => return Served { label: Some(label), last: Final::own(code) },
        };
        let last = match self.pending.take(head, body, began) {
            Ok(ticket) => {
                let mut guard = Guard { pending: &self.pending, request: Some(ticket.request) };
                let last = ticket.answer.await;
                guard.request = None;
                // The sender is dropped only when the thread ends, which happens on a forced stop.
                last.unwrap_or_else(|_| Final::own(Code::Timeout))
            }
            Err(code) => Final::own(code),
        };
        Served { label: Some(label), last }
    }

    /// Reads the whole body, within the limits on size and time.
    async fn body(&self, body: Body, declared: u64) -> Result<(Bytes, Charge), Code> {
        if declared > self.limits.body as u64 {
            return Err(Code::TooLarge);
        }
        if body.is_empty() {
            return Ok((Bytes::new(), self.budget.charge()));
        }
        let buffer = Buffer::open(&self.budget, self.limits.body);
        let whole = tokio::time::timeout(self.limits.body_within(), receive(body, buffer)).await;
        whole.unwrap_or(Err(Code::BadRequest))
    }
}

/// Receives a whole body; returns it with its charge.
async fn receive(body: Body, mut buffer: Buffer) -> Result<(Bytes, Charge), Code> {
    let mut chunks = pin!(body.into_bytes_stream());
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_| Code::BadRequest)?;
        buffer.push(&chunk).map_err(|refusal| match refusal {
            Refusal::TooLarge => Code::TooLarge,
            Refusal::Exhausted => Code::Busy,
        })?;
    }
    let (body, charge) = buffer.finish();
    Ok((body.into(), charge))
}

/// A final answer with its metric labels.
struct Served {
    label: Option<Label>,
    last: Final,
}

impl Served {
    fn rejected(code: Code) -> Served {
        Served { label: None, last: Final::own(code) }
    }
}

/// Abandons the request when it is dropped before its final answer, which the HTTP server does when
/// the caller's connection closes.
struct Guard<'a> {
    pending: &'a Pending,
    request: Option<id::Request>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            self.pending.abandon(request);
        }
    }
}

/// Returns the declared length of a request's body; the HTTP server has checked its format.
fn declared_length(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH);
    length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let began = Instant::now();
        let served = self.serve(request, began).await;
        self.pending.metrics.answered(served.label.as_ref(), served.last.code(), began.elapsed());
        Ok(served.last.response(self.pending.draining()))
    }
}
