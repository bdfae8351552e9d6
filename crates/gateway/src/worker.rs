//! Workers over HTTP: one POST for each exchange.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_ports::worker::Error;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Worker;

use crate::http;
use crate::http::Origin;

/// Path of an exchange.
pub const EXCHANGE: &str = "/v1/exchange";

/// A client of all workers.
///
/// Its connections live on the runtime that makes the calls, so each duty opens a client of its own.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    timeout: Duration,
    origin: Option<Origin>,
}

impl Client {
    /// Opens a client; nothing is sent yet. An exchange that brings no report within `timeout`
    /// fails.
    pub fn open(timeout: Duration) -> Client {
        Client { http: http::client(timeout), timeout, origin: None }
    }

    /// Tells the workers with each exchange who asks.
    pub fn with_origin(mut self, origin: Origin) -> Client {
        self.origin = Some(origin);
        self
    }
}

impl Worker for Client {
    async fn exchange(&self, address: SocketAddr, exchange: &Exchange) -> Result<Report, Error> {
        let request = self.http.post(format!("http://{address}{EXCHANGE}")).json(exchange);
        let request = http::with_origin(request, self.origin.as_ref()).timeout(self.timeout);
        let response = request.send().await.map_err(|error| sent(&error))?;
        if !response.status().is_success() {
            return Err(Error::Unknown(format!("status {}", response.status())));
        }
        response.json().await.map_err(|error| Error::Unknown(http::explain(&error)))
    }
}

fn sent(error: &reqwest::Error) -> Error {
    let text = http::explain(error);
    if http::unsent(error) { Error::Unsent(text) } else { Error::Unknown(text) }
}
