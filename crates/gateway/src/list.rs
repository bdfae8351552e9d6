//! The platform's list of instances over HTTP.
//!
//! The entity tag of the list is its version. A read sends the known version, and a server that
//! still has it responds without a body. A server without support for entity tags sends the whole
//! list each time, with the same result for the caller. `docs/design/list.md` compares the
//! alternatives.

use std::time::Duration;

use cowslipchute_base::id::Domain;
use cowslipchute_ports::list::Error;
use cowslipchute_ports::list::List;
use cowslipchute_ports::list::Version;
use cowslipchute_ports::list::View;
use reqwest::StatusCode;
use reqwest::header::IF_NONE_MATCH;

use crate::http;
use crate::http::Origin;

/// Path of the list.
pub const INSTANCES_PATH: &str = "/v1/instances";

/// Timeout of a read.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the list.
///
/// Its connections belong to the runtime that makes the calls, so each duty opens its own client.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
    origin: Option<Origin>,
}

impl Client {
    /// Opens a client of the list at `base_url` without sending anything.
    pub fn open(base_url: &str) -> Client {
        let url = format!("{}{INSTANCES_PATH}", base_url.trim_end_matches('/'));
        Client { http: http::client(CALL_TIMEOUT), url, origin: None }
    }

    /// Adds the origin to each request.
    pub fn with_origin(mut self, origin: Origin) -> Client {
        self.origin = Some(origin);
        self
    }
}

impl List for Client {
    async fn read(
        &self,
        domains: &[Domain],
        known: Option<Version>,
    ) -> Result<Option<View>, Error> {
        let failed = |error: reqwest::Error| Error(http::describe(&error));
        let mut request = self.http.get(query(&self.url, domains));
        if let Some(known) = known {
            request = request.header(IF_NONE_MATCH, entity_tag(known));
        }
        let request = http::with_origin(request, self.origin.as_ref()).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(failed)?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED && known.is_some() {
            return Ok(None);
        }
        if !status.is_success() {
            return Err(Error(format!("status {status}")));
        }
        let view: View = response.json().await.map_err(failed)?;
        Ok((known != Some(view.version)).then_some(view))
    }
}

/// Returns the entity tag of a version of the list.
pub fn entity_tag(version: Version) -> String {
    format!("\"{version}\"")
}

/// Adds the failure domains as query parameters. Their names are validated settings and need no
/// escaping.
fn query(url: &str, domains: &[Domain]) -> String {
    let pairs: Vec<String> = domains.iter().map(|domain| format!("domain={domain}")).collect();
    if pairs.is_empty() { url.to_owned() } else { format!("{url}?{}", pairs.join("&")) }
}
