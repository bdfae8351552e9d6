//! Parses and validates the head of a caller's request.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_ports::backend;
use cowslipchute_resource::check;
use poem::http::HeaderMap;
use poem::http::HeaderName;
use poem::http::HeaderValue;
use poem::http::Method;
use poem::http::Uri;
use poem::http::header;

/// Request header with which a caller requests a lower class than the service's own.
pub const CLASS_HEADER: &str = "cowslipchute-class";
/// Maximum deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// A request without its body.
#[derive(Debug)]
pub struct Head {
    /// The service, named by the first segment of the path.
    pub service: id::Service,
    /// The method.
    pub method: Method,
    /// Path and query for the backend server.
    pub target: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The class that the caller requests.
    pub class: Option<Class>,
    /// The caller's idempotency key.
    pub key: Option<id::IdempotencyKey>,
    /// The caller's deadline, relative to the start of the request.
    pub deadline: Option<Duration>,
}

impl Head {
    /// Returns `true` if the request's method is idempotent.
    pub fn idempotent(&self) -> bool {
        self.method.is_idempotent()
    }
}

/// Parses a request's head.
///
/// # Errors
///
/// Returns the result code for the caller.
pub fn read(
    method: Method,
    uri: &Uri,
    mut headers: HeaderMap,
    head_max: usize,
) -> Result<Head, Code> {
    if size(uri, &headers) > head_max {
        return Err(Code::TooLarge);
    }
    if method == Method::CONNECT || method == Method::TRACE {
        return Err(Code::BadRequest);
    }
    let (service, target) = split(uri)?;
    let deadline = deadline(&headers)?;
    let class = class(&headers)?;
    let key = key(&headers)?;
    strip_hop_by_hop(&mut headers)?;
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(backend::DEADLINE_HEADER);
    headers.remove(backend::ATTEMPT_HEADER);
    Ok(Head { service, method, target, headers, class, key, deadline })
}

/// Removes the hop-by-hop headers.
///
/// # Errors
///
/// Returns an error if the connection header can't be parsed.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) -> Result<(), Code> {
    if headers.contains_key(header::CONNECTION) {
        for name in connection_tokens(headers)? {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    Ok(())
}

/// Returns the names of the headers that the connection header lists.
fn connection_tokens(headers: &HeaderMap) -> Result<Vec<HeaderName>, Code> {
    let mut names = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let text = value.to_str().map_err(|_| Code::BadRequest)?;
        for word in text.split(',').map(str::trim).filter(|word| !word.is_empty()) {
            names.push(word.parse().map_err(|_| Code::BadRequest)?);
        }
    }
    Ok(names)
}

fn size(uri: &Uri, headers: &HeaderMap) -> usize {
    let target = uri.path_and_query().map_or(0, |target| target.as_str().len());
    let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    target + lines.sum::<usize>()
}

/// Splits `/service/rest?query` into the service and `/rest?query`.
fn split(uri: &Uri) -> Result<(id::Service, String), Code> {
    let target = uri.path_and_query().ok_or(Code::BadRequest)?.as_str();
    let target = target.strip_prefix('/').ok_or(Code::BadRequest)?;
    let end = target.find(['/', '?']).unwrap_or(target.len());
    let (service, rest) = target.split_at(end);
    if check::name("service", service).is_err() {
        return Err(Code::NoService);
    }
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Ok((service.into(), rest))
}

/// Returns the value of a header that may occur at most once.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
    problem: Code,
) -> Result<Option<&'a HeaderValue>, Code> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        Some(_) => Err(problem),
        None => Ok(first),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Code> {
    let problem = Code::BadDeadline;
    let Some(value) = single(headers, backend::DEADLINE_HEADER, problem)? else { return Ok(None) };
    let text = value.to_str().map_err(|_| problem)?;
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(problem);
    }
    match text.parse() {
        Ok(millis) if (1..=MAX_DEADLINE_MS).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(problem),
    }
}

fn class(headers: &HeaderMap) -> Result<Option<Class>, Code> {
    let problem = Code::BadClass;
    let Some(value) = single(headers, CLASS_HEADER, problem)? else { return Ok(None) };
    let found = Class::ALL.into_iter().find(|class| class.as_str().as_bytes() == value.as_bytes());
    found.map(Some).ok_or(problem)
}

fn key(headers: &HeaderMap) -> Result<Option<id::IdempotencyKey>, Code> {
    let problem = Code::BadKey;
    let Some(value) = single(headers, backend::KEY_HEADER, problem)? else { return Ok(None) };
    let text = value.to_str().map_err(|_| problem)?;
    let allowed = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_KEY_BYTES || !allowed {
        return Err(problem);
    }
    Ok(Some(text.into()))
}
