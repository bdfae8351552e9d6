//! Parses requests to the resource interface.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Resource;
use poem::Request;
use poem::error::ReadBodyError;
use poem::http::header;
use serde::Deserialize;
use tokio::time::timeout;

use crate::problem::Problem;

/// Maximum size of a request body in bytes.
pub const BODY_BYTES_MAX: usize = 256 * 1024;
/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Query parameters of a stream.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct After {
    /// Revision after which changes are sent.
    #[serde(default)]
    pub after: Revision,
}

/// Query parameters of a status request.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
pub struct At {
    /// Revision asked about; by default, the one in force at this instance.
    pub revision: Option<Revision>,
}

/// A parsed path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    /// The stream of changes.
    Watch,
    /// The instances where a revision is in force.
    Status,
    /// The placers' events.
    Events,
    /// The announcement that an instance is leaving.
    Drain(String),
    /// All resources of a kind.
    Kind(Kind),
    /// One resource.
    Resource(Kind, String),
}

/// Parses a path.
///
/// # Errors
///
/// When there is no such path or kind.
pub fn path(path: &str) -> Result<Path, Problem> {
    let words: Vec<&str> = path.trim_matches('/').split('/').collect();
    let kind = |word: &str| {
        let known = Kind::ALL.map(Kind::as_str).join(", ");
        let remedy = format!("use one of {known}");
        Kind::from_word(word).ok_or_else(|| {
            Problem::new(Code::BadKind).because(format!("{word:?} is no kind")).remedy(remedy)
        })
    };
    match words.as_slice() {
        ["v1", "watch"] => Ok(Path::Watch),
        ["v1", "status"] => Ok(Path::Status),
        ["v1", "events"] => Ok(Path::Events),
        ["v1", "drain", name] => Ok(Path::Drain((*name).to_owned())),
        ["v1", word] => Ok(Path::Kind(kind(word)?)),
        ["v1", word, name] => Ok(Path::Resource(kind(word)?, (*name).to_owned())),
        _ => Err(Problem::new(Code::BadRequest)
            .because("there is no such path")
            .remedy("paths start with /v1/")),
    }
}

/// Parses the query.
///
/// # Errors
///
/// When a value has the wrong type.
pub fn query<T: for<'de> Deserialize<'de>>(request: &Request) -> Result<T, Problem> {
    request.params().map_err(|error| Problem::new(Code::BadRequest).because(error.to_string()))
}

/// Parses the revision that a change is based on.
///
/// # Errors
///
/// When the header is missing or holds no revision.
pub fn if_match(request: &Request) -> Result<Revision, Problem> {
    let wrong = |text: &str| {
        Problem::new(Code::BadRequest)
            .because(text)
            .field("If-Match")
            .remedy("send the revision that the resource was read at")
    };
    let value = request.headers().get(header::IF_MATCH);
    let value = value.ok_or_else(|| wrong("the header is missing"))?;
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    text.parse().map_err(|_| wrong("the header holds no revision"))
}

/// Reads the resource in a body, which must have the kind and name of the path.
///
/// # Errors
///
/// When the body is too large, arrives too late, holds no resource, or holds a different one.
pub async fn resource(
    request: &mut Request,
    kind: Kind,
    name: Option<&str>,
) -> Result<Resource, Problem> {
    let reading = request.take_body().into_bytes_limit(BODY_BYTES_MAX);
    let late = |_| Problem::new(Code::BadRequest).because("the body did not arrive in time");
    let body = timeout(BODY_TIMEOUT, reading).await.map_err(late)?;
    let body = body.map_err(|error| match error {
        ReadBodyError::PayloadTooLarge => Problem::new(Code::TooLarge)
            .because(format!("the body is over {BODY_BYTES_MAX} bytes"))
            .remedy("split it into smaller resources"),
        error => Problem::new(Code::BadRequest).because(error.to_string()),
    })?;
    let resource: Resource = serde_json::from_slice(&body)
        .map_err(|error| Problem::new(Code::BadResource).because(error.to_string()))?;
    if resource.spec.kind() != kind {
        return Err(Problem::new(Code::BadResource)
            .because("the body's kind is not the path's")
            .field("kind")
            .remedy(format!("write {:?}, or use the path of the other kind", kind.as_str())));
    }
    if name.is_some_and(|name| name != &*resource.name) {
        return Err(Problem::new(Code::BadResource)
            .because("the body's name is not the path's")
            .field("name")
            .remedy("a resource can't be renamed: create the other one, then remove this one"));
    }
    Ok(resource)
}
