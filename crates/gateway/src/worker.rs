//! Workers over HTTP: one POST request for each exchange.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_ports::worker::Error;
use cowslipchute_ports::worker::Exchange;
use cowslipchute_ports::worker::Report;
use cowslipchute_ports::worker::Worker;

use crate::http;
use crate::http::Origin;

/// Path of an exchange.
pub const EXCHANGE_PATH: &str = "/v1/exchange";

/// A client of all workers.
///
/// Its connections belong to the runtime that makes the calls, so each duty opens its own client.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    timeout: Duration,
    origin: Option<Origin>,
}

impl Client {
    /// Opens a client without sending anything. An exchange without a report within `timeout`
    /// fails.
    pub fn open(timeout: Duration) -> Client {
        Client { http: http::client(timeout), timeout, origin: None }
    }

    /// Adds the origin to each exchange.
    pub fn with_origin(mut self, origin: Origin) -> Client {
        self.origin = Some(origin);
        self
    }
}

impl Worker for Client {
    async fn exchange(&self, address: SocketAddr, exchange: &Exchange) -> Result<Report, Error> {
        let request = self.http.post(format!("http://{address}{EXCHANGE_PATH}")).json(exchange);
        let request = http::with_origin(request, self.origin.as_ref()).timeout(self.timeout);
        let response = request.send().await.map_err(|error| send_error(&error))?;
        if !response.status().is_success() {
            return Err(Error::Unknown(format!("status {}", response.status())));
        }
        response.json().await.map_err(|error| Error::Unknown(http::describe(&error)))
    }
}

fn send_error(error: &reqwest::Error) -> Error {
    let text = http::describe(error);
    if http::is_unsent(error) { Error::Unsent(text) } else { Error::Unknown(text) }
}
