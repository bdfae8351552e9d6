//! Runs one attempt against a backend server and classifies strictly how it ended.

use bytes::Bytes;
use bytes::BytesMut;
use cowslipchute_gateway::http::ORIGIN_HEADER;
use cowslipchute_ports::backend;
use cowslipchute_routing::event::Ending;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use poem::http::HeaderMap;
use poem::http::HeaderValue;
use poem::http::Method;
use poem::http::Request;
use poem::http::Response;
use poem::http::StatusCode;
use poem::http::Uri;
use poem::http::header;
use reqwest::Url;

use crate::front::connection::Client;
use crate::front::connection::Error;
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
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = target(head, dispatch)?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    let host = HeaderValue::try_from(dispatch.address.to_string()).ok()?;
    headers.entry(header::HOST).or_insert(host);
    headers.entry(header::ACCEPT).or_insert(HeaderValue::from_static("*/*"));
    headers.insert(ORIGIN_HEADER, origin.clone());
    headers.insert(backend::ATTEMPT_HEADER, HeaderValue::from(dispatch.attempt));
    let millis = dispatch.remaining.as_millis() as u64;
    headers.insert(backend::DEADLINE_HEADER, HeaderValue::from(millis));
    Some(request)
}

/// Returns the normalized path and query of a request.
fn target(head: &Head, dispatch: &Dispatch) -> Option<Uri> {
    let url = Url::parse(&format!("http://{}{}", dispatch.address, head.target)).ok()?;
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()).parse().ok(),
        None => url.path().parse().ok(),
    }
}

/// Sends the request and reads the whole answer, up to a limit. Afterwards its connection is idle or
/// closed.
pub async fn run(client: Client, request: Request<Full<Bytes>>, answer_max: usize) -> Outcome {
    let method = request.method().clone();
    match client.send(request).await {
        Ok((response, connection)) => {
            let outcome = read(response, &method, answer_max).await;
            client.release(connection).await;
            outcome
        }
        Err(Error::Connect) => Ending::Unsent.into(),
        Err(Error::Broken) => Ending::Broken.into(),
    }
}

async fn read(mut response: Response<Incoming>, method: &Method, answer_max: usize) -> Outcome {
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
    match read_body(response.body_mut(), answer_max).await {
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
fn is_delimited(response: &Response<Incoming>, method: &Method) -> bool {
    let status = response.status();
    let bodiless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

async fn read_body(body: &mut Incoming, answer_max: usize) -> Result<Bytes, Ending> {
    let declared = body.size_hint().lower();
    if declared > answer_max as u64 {
        return Err(Ending::TooLarge);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    loop {
        let chunk = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            None => break,
            Some(Err(_)) => return Err(Ending::Truncated),
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
