//! Shared configuration and helpers of our HTTP clients.
//!
//! Redirects, retries and proxies from the environment are disabled, because they could send a
//! request twice or to another server.

use std::error::Error as _;
use std::fmt;
use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use reqwest::RequestBuilder;
use reqwest::redirect;
use reqwest::retry;

/// Request header that names the calling instance: `domain/instance`.
pub const ORIGIN_HEADER: &str = "cowslipchute-from";

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Divisor of the call timeout that gives the connect timeout.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// The calling process, which the platform may log.
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
    /// Parses the value of [`ORIGIN_HEADER`].
    pub fn parse(text: &str) -> Option<Origin> {
        let (domain, instance) = text.split_once('/')?;
        Some(Origin { domain: domain.into(), instance: instance.into() })
    }
}

/// Builds a client for calls that take at most `call_timeout`.
///
/// The connect timeout is shorter, so that a call to an unreachable server fails as never sent.
/// After the call timeout it is unknown whether the request was sent.
///
/// # Panics
///
/// Panics when the library fails to initialize, which doesn't depend on conditions at run time.
pub(crate) fn client(call_timeout: Duration) -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .http1_only()
        .connect_timeout(call_timeout / CONNECT_TIMEOUT_DIVISOR)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build()
        .expect("an HTTP client without TLS can always be built")
}

/// Adds the [`ORIGIN_HEADER`], if the origin is known.
pub(crate) fn with_origin(request: RequestBuilder, origin: Option<&Origin>) -> RequestBuilder {
    match origin {
        Some(origin) => request.header(ORIGIN_HEADER, origin.to_string()),
        None => request,
    }
}

/// Returns `true` if no byte of the request can have been sent, so that it had no effect.
pub(crate) fn is_unsent(error: &reqwest::Error) -> bool {
    error.is_connect() || error.is_builder()
}

/// Formats an error with its causes, without the address, which the caller knows.
pub(crate) fn describe(error: &reqwest::Error) -> String {
    let mut text = String::from(if error.is_timeout() { "timed out" } else { "failed" });
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
