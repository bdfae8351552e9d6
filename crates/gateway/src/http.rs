//! What all our HTTP clients have in common.
//!
//! The library's conveniences that could send a request twice, or send it elsewhere, are off:
//! redirects, proxies from the environment and retries.

use std::error::Error as _;
use std::fmt;
use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use reqwest::RequestBuilder;
use reqwest::redirect;
use reqwest::retry;

/// Request header that says which instance asks: `domain/instance`.
pub const ORIGIN_HEADER: &str = "cowslipchute-from";

/// How long an idle connection is kept for the next call.
const IDLE: Duration = Duration::from_secs(30);
/// Idle connections kept to one server.
const IDLE_CONNECTIONS: usize = 8;

/// Connecting may take one part in so many of a call's time.
const CONNECT_PART: u32 = 2;

/// The process on whose behalf an adapter calls, which the platform may log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Its failure domain.
    pub domain: Domain,
    /// Its name.
    pub instance: Instance,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.instance)
    }
}

impl Origin {
    /// Reads the value of [`ORIGIN_HEADER`].
    pub fn parse(text: &str) -> Option<Origin> {
        let (domain, instance) = text.split_once('/')?;
        Some(Origin { domain: domain.into(), instance: instance.into() })
    }
}

/// Builds a client for calls that take at most `call_timeout`.
///
/// Connecting may take only a part of that, so that a call to a server that can't be reached fails
/// as never sent and not by its own timeout, which leaves open how far it came.
///
/// # Panics
///
/// Panics when the library can't set itself up, which depends on nothing that happens at run time.
pub(crate) fn client(call_timeout: Duration) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .http1_only()
        .connect_timeout(call_timeout / CONNECT_PART)
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(IDLE_CONNECTIONS)
        .build()
        .expect("a client without certificates needs nothing from the system")
}

/// Adds who asks, if it is known.
pub(crate) fn with_origin(request: RequestBuilder, origin: Option<&Origin>) -> RequestBuilder {
    match origin {
        Some(origin) => request.header(ORIGIN_HEADER, origin.to_string()),
        None => request,
    }
}

/// Tells whether no byte of the request can have left, so that it surely changed nothing.
pub(crate) fn unsent(error: &reqwest::Error) -> bool {
    error.is_connect() || error.is_builder()
}

/// Renders an error with its causes, without the address that the caller knows anyway.
pub(crate) fn explain(error: &reqwest::Error) -> String {
    let mut text = String::from(if error.is_timeout() { "timed out" } else { "failed" });
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
