//! Runs one attempt against a backend server and classifies strictly how it ended.

use bytes::Bytes;
use bytes::BytesMut;
use cowslipchute_gateway::http::ORIGIN_HEADER;
use cowslipchute_ports::backend;
use cowslipchute_routing::event::Ending;
use poem::http::HeaderMap;
use poem::http::HeaderValue;
use poem::http::Method;
use poem::http::StatusCode;
use poem::http::header;
use reqwest::Client;
use reqwest::Request;
use reqwest::Response;
use reqwest::Url;

use crate::head;
use crate::head::Head;
use crate::message::Dispatch;
use crate::reply::Answer;

/// How an attempt ended, with the whole answer if there is one.
#[derive(Debug)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// The answer, if and only if `ending` is `Answered`.
    pub answer: Option<Answer>,
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Outcome {
        Outcome { ending, answer: None }
    }
}

/// Returns the request of an attempt, or `None` if the target can't be part of a URL.
///
/// The origin header is set to `origin`, whatever value the caller sent.
pub fn request(
    head: &Head,
    body: &Bytes,
    origin: &HeaderValue,
    dispatch: &Dispatch,
) -> Option<Request> {
    let url = Url::parse(&format!("http://{}{}", dispatch.address, head.target)).ok()?;
    let mut request = Request::new(head.method.clone(), url);
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    headers.insert(ORIGIN_HEADER, origin.clone());
    headers.insert(backend::ATTEMPT_HEADER, HeaderValue::from(dispatch.attempt));
    let millis = dispatch.remaining.as_millis() as u64;
    headers.insert(backend::DEADLINE_HEADER, HeaderValue::from(millis));
    if !body.is_empty() {
        *request.body_mut() = Some(body.clone().into());
    }
    Some(request)
}

/// Sends the request and reads the whole answer, up to a limit.
pub async fn run(client: Client, request: Request, answer_max: usize) -> Outcome {
    let method = request.method().clone();
    match client.execute(request).await {
        Ok(response) => read(response, &method, answer_max).await,
        Err(error) => classify_error(&error).into(),
    }
}

/// Returns the ending of a request that got no answer.
///
/// Only a connection that was never established proves that no byte was sent: on a connection that
/// breaks later, bytes may have been sent, whatever error the library reports.
fn classify_error(error: &reqwest::Error) -> Ending {
    if error.is_connect() || error.is_builder() { Ending::Unsent } else { Ending::Broken }
}

async fn read(mut response: Response, method: &Method, answer_max: usize) -> Outcome {
    let leaving = response.headers().contains_key(backend::LEAVING_HEADER);
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(backend::NOT_RUN_HEADER)
    {
        return Ending::Refused { leaving }.into();
    }
    if !is_delimited(&response, method) {
        return Ending::Truncated.into();
    }
    match read_body(&mut response, answer_max).await {
        Ok(body) => {
            let headers = end_to_end(std::mem::take(response.headers_mut()), method);
            let answer = Answer { status, headers, body };
            let ending = Ending::Answered { status: status.as_u16(), leaving };
            Outcome { ending, answer: Some(answer) }
        }
        Err(ending) => ending.into(),
    }
}

/// Returns `true` if the end of the answer can be distinguished from a broken connection.
///
/// An answer that is delimited by the end of its connection, without a length or chunks, looks the
/// same when it is truncated, so it is never forwarded as whole.
fn is_delimited(response: &Response, method: &Method) -> bool {
    let status = response.status();
    let bodiless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

async fn read_body(response: &mut Response, answer_max: usize) -> Result<Bytes, Ending> {
    let declared = response.content_length().unwrap_or(0);
    if declared > answer_max as u64 {
        return Err(Ending::TooLarge);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let chunk = match response.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(_) => return Err(Ending::Truncated),
        };
        if first.len() + rest.len() + chunk.len() > answer_max {
            return Err(Ending::TooLarge);
        }
        // Most answers arrive in one chunk, which is then not copied.
        if first.is_empty() {
            first = chunk;
        } else {
            rest.extend_from_slice(&chunk);
        }
    }
    if rest.is_empty() {
        return Ok(first);
    }
    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
    whole.extend_from_slice(&first);
    whole.extend_from_slice(&rest);
    Ok(whole.freeze())
}

/// Removes the headers that concern only the connection to the backend server.
fn end_to_end(mut headers: HeaderMap, method: &Method) -> HeaderMap {
    if head::strip_hop_by_hop(&mut headers).is_err() {
        headers.remove(header::CONNECTION);
    }
    // An answer to HEAD has the length that GET would return; any other length follows from the
    // body.
    if method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    headers.remove(backend::LEAVING_HEADER);
    headers
}
