//! The control server: sets faults and network partitions and shows the records, over HTTP.

use std::io;
use std::sync::Arc;

use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::fault::Fault;
use crate::fault::Partition;
use crate::fault::Target;
use crate::platform::Platform;
use crate::standin::Addresses;

/// Sets a fault: POST an [`Injection`].
pub const FAULT: &str = "/standin/fault";
/// Starts a network partition: POST a [`Partition`].
pub const CUT: &str = "/standin/cut";
/// Ends a network partition: POST a [`Partition`].
pub const HEAL: &str = "/standin/heal";
/// Shows the counts of all servers.
pub const REPORT: &str = "/standin/report";
/// Shows the recorded violations.
pub const VIOLATIONS: &str = "/standin/violations";
/// Shows how often requests ran; followed by an id, how often that request ran.
pub const RUNS: &str = "/standin/runs";
/// Shows the addresses of all servers.
pub const ADDRESSES: &str = "/standin/addresses";

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 64 << 10;

/// A request to set the fault of a target, replacing the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Injection {
    /// The target.
    pub target: Target,
    /// The fault. If it is left out, the target becomes healthy.
    #[serde(default)]
    pub fault: Fault,
}

/// The control server's HTTP handler.
pub(crate) struct Handler {
    /// The servers that it controls.
    pub platform: Arc<Platform>,
    /// The addresses of all servers.
    pub addresses: Addresses,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let body = request.take_body().into_bytes_limit(BODY_LIMIT).await?;
        let path = request.uri().path();
        if request.method() == Method::POST {
            return Ok(self.execute(path, &body).await);
        }
        Ok(self.show(path))
    }
}

impl Handler {
    async fn execute(&self, path: &str, body: &[u8]) -> Response {
        match path {
            FAULT => match parse::<Injection>(body) {
                Ok(order) => respond(self.platform.set_fault(&order.target, &order.fault).await),
                Err(error) => bad_request(&error),
            },
            CUT => self.cut(body, |cut| self.platform.cuts.cut(cut)),
            HEAL => self.cut(body, |cut| self.platform.cuts.heal(cut)),
            _ => StatusCode::NOT_FOUND.into(),
        }
    }

    fn cut(&self, body: &[u8], apply: impl FnOnce(Partition)) -> Response {
        match parse(body) {
            Ok(cut) => {
                apply(cut);
                respond(Ok(()))
            }
            Err(error) => bad_request(&error),
        }
    }

    fn show(&self, path: &str) -> Response {
        match path {
            REPORT => json(&self.platform.report()),
            VIOLATIONS => json(&self.platform.fleet.with(|f, _| f.ledger().violations().to_vec())),
            RUNS => json(&self.platform.runs.summary()),
            ADDRESSES => json(&self.addresses),
            _ => match path.strip_prefix(RUNS).and_then(|rest| rest.strip_prefix('/')) {
                Some(id) => json(&self.platform.runs.of(id)),
                None => StatusCode::NOT_FOUND.into(),
            },
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

fn bad_request(error: &serde_json::Error) -> Response {
    (StatusCode::BAD_REQUEST, format!("{error}\n")).into()
}

fn json<T: Serialize>(value: &T) -> Response {
    let text = serde_json::to_string_pretty(value).expect("the value is plain data");
    Response::builder().content_type("application/json").body(text + "\n")
}

fn respond(result: io::Result<()>) -> Response {
    match result {
        Ok(()) => StatusCode::NO_CONTENT.into(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            (StatusCode::NOT_FOUND, format!("{error}\n")).into()
        }
        Err(error) => (StatusCode::CONFLICT, format!("{error}\n")).into(),
    }
}
