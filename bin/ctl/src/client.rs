//! Requests to operator processes.

use std::time::Duration;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Revision;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::header;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::failure::Failure;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that any of the operator processes can serve.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method; any method but GET may change state.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// The revision that the resource must have for the change to be made.
    pub revision: Option<Revision>,
    /// The JSON body, if any.
    pub body: Option<Value>,
}

impl Request {
    /// Creates a read request.
    pub fn get(path: impl Into<String>) -> Request {
        Request { method: Method::GET, path: path.into(), revision: None, body: None }
    }

    /// Creates a request that changes state.
    pub fn change(method: Method, path: impl Into<String>) -> Request {
        Request { method, path: path.into(), revision: None, body: None }
    }

    /// Makes the change conditional on the resource's revision.
    pub fn if_match(mut self, revision: Revision) -> Request {
        self.revision = Some(revision);
        self
    }

    /// Sets the JSON body.
    pub fn body(mut self, body: Value) -> Request {
        self.body = Some(body);
        self
    }

    fn is_read(&self) -> bool {
        self.method == Method::GET
    }
}

/// A client of several equivalent operator processes.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    operators: Vec<String>,
    timeout: Duration,
}

impl Client {
    /// Opens a client without sending anything.
    ///
    /// # Errors
    ///
    /// When no operator URL is given.
    pub fn open(operators: Vec<String>, timeout: Duration) -> Result<Client, Failure> {
        if operators.is_empty() {
            let text = "no operator URL is given";
            return Err(Failure::new(Code::BadSetting, text)
                .remedy("use --operator http://IP:PORT or set COWSLIPCHUTE_OPERATOR"));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|error| Failure::new(Code::BadSetting, error.to_string()))?;
        Ok(Client { http, operators, timeout })
    }

    /// Sends a request and parses its JSON response.
    ///
    /// # Errors
    ///
    /// The operator's own error, or `Unreachable` when no operator answered.
    pub async fn send<T: DeserializeOwned>(&self, request: &Request) -> Result<T, Failure> {
        let mut last = None;
        for operator in &self.operators {
            match self.send_to(operator, request).await {
                Ok(answer) => return Ok(answer),
                Err(Error::Final(failure)) => return Err(failure),
                Err(Error::Retryable(failure)) => last = Some(failure),
            }
        }
        Err(last.expect("there is at least one operator"))
    }

    async fn send_to<T: DeserializeOwned>(
        &self,
        operator: &str,
        request: &Request,
    ) -> Result<T, Error> {
        let builder = self.build(operator, request).timeout(self.timeout);
        let response = builder.send().await.map_err(|error| classify(operator, request, &error))?;
        let status = response.status();
        let body = response.bytes().await.map_err(|error| classify(operator, request, &error))?;
        if !status.is_success() {
            let unexpected = || {
                Failure::new(Code::Unreachable, format!("{operator} returned HTTP status {status}"))
                    .remedy("check that the URL is that of an operator process")
            };
            let failure = Failure::parse(&body).unwrap_or_else(unexpected);
            // A process that is shutting down refused the request; another one may accept it.
            let next = failure.code == Code::Stopping;
            return Err(if next { Error::Retryable(failure) } else { Error::Final(failure) });
        }
        serde_json::from_slice(&body).map_err(|error| {
            let text = format!("{operator} returned an unexpected response: {error}");
            Error::Final(Failure::new(Code::Unreachable, text))
        })
    }

    fn build(&self, operator: &str, request: &Request) -> RequestBuilder {
        let mut builder =
            self.http.request(request.method.clone(), format!("{operator}{}", request.path));
        if let Some(revision) = request.revision {
            builder = builder.header(header::IF_MATCH, revision.to_string());
        }
        match &request.body {
            Some(body) => builder.json(body),
            None => builder,
        }
    }

    /// Opens a streaming response.
    ///
    /// # Errors
    ///
    /// The operator's own error, or `Unreachable` when no operator answered.
    pub async fn stream(&self, path: &str) -> Result<Response, Failure> {
        let request = Request::get(path);
        let mut last = None;
        for operator in &self.operators {
            let builder = self.build(operator, &request);
            match builder.send().await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => {
                    let body = response.bytes().await.unwrap_or_default();
                    let unexpected =
                        || Failure::new(Code::Unreachable, "the operator did not open the stream");
                    last = Some(Failure::parse(&body).unwrap_or_else(unexpected));
                }
                Err(error) => last = Some(unreachable(operator, &error)),
            }
        }
        Err(last.expect("there is at least one operator"))
    }
}

/// A failed request to one operator.
enum Error {
    /// The operator answered with an error, or it is unknown whether the request was executed.
    Final(Failure),
    /// The request was certainly not executed, or it only reads, so another operator may be tried.
    Retryable(Failure),
}

fn classify(operator: &str, request: &Request, error: &reqwest::Error) -> Error {
    let failure = unreachable(operator, error);
    if error.is_connect() || error.is_builder() {
        return Error::Retryable(failure.not_sent());
    }
    if request.is_read() {
        return Error::Retryable(failure.not_sent());
    }
    Error::Final(
        failure.remedy("the change may have been made: read the resource before trying again"),
    )
}

fn unreachable(operator: &str, error: &reqwest::Error) -> Failure {
    let mut text = format!("{operator} can't be reached");
    let mut cause: Option<&dyn std::error::Error> = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    Failure::new(Code::Unreachable, text)
}
