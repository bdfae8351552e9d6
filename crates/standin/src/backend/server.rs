//! A backend server over HTTP. A request to a healthy server takes no locks but those of the
//! records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use cowslipchute_base::id::Instance;
use cowslipchute_ports::backend::ATTEMPT_HEADER;
use cowslipchute_ports::backend::KEY_HEADER;
use cowslipchute_ports::backend::LEAVING_HEADER;
use cowslipchute_ports::backend::NOT_RUN_HEADER;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header::CONTENT_LENGTH;
use poem::http::header::RETRY_AFTER;
use serde::Deserialize;
use serde::Serialize;

use crate::backend::body::pattern;
use crate::backend::body::truncated;
use crate::backend::directive::Break;
use crate::backend::directive::Directive;
use crate::backend::directive::ID_HEADER;
use crate::backend::log::Entry;
use crate::backend::log::Log;
use crate::backend::plan::Plan;
use crate::backend::runs::Runs;
use crate::backend::slots::Slots;
use crate::connection::Connections;
use crate::fault::Fault;
use crate::host;
use crate::injector::Injector;
use crate::injector::Refusal;
use crate::origin;

/// The path of a server's log. Reading it takes no slot.
pub const LOG_PATH: &str = "/standin/log";
/// Largest request body, in bytes. The response echoes it.
const BODY_LIMIT: usize = 8 << 20;
/// Seconds after which a refused caller may retry.
const RETRY_AFTER_SECONDS: u32 = 1;
/// The counts of a server so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Count {
    /// Requests that started to run.
    pub started: u64,
    /// Requests whose response was passed to the connection.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that wait for a slot now.
    pub waiting: u64,
    /// Connections open now.
    pub connections: u64,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    instance: Instance,
    plan: Plan,
    slots: Slots,
    injector: Arc<Injector>,
    connections: Arc<Connections>,
    log: Log,
    runs: Arc<Runs>,
    counts: Counts,
}

/// The reason why a request gets no ordinary response.
enum Abort {
    /// Its connection is to be reset.
    Break,
    /// It did not run.
    NotRun,
}

impl Server {
    /// Opens a server.
    pub(crate) fn open(
        instance: Instance,
        plan: Plan,
        injector: Arc<Injector>,
        connections: Arc<Connections>,
        runs: Arc<Runs>,
    ) -> Arc<Server> {
        let slots = Slots::open(plan.slots.into(), plan.queue.into());
        let (log, counts) = (Log::default(), Counts::default());
        Arc::new(Server { instance, plan, slots, injector, connections, log, runs, counts })
    }

    /// Returns the counts so far.
    pub fn count(&self) -> Count {
        Count {
            started: self.counts.started.load(Ordering::Relaxed),
            answered: self.counts.answered.load(Ordering::Relaxed),
            refused: self.counts.refused.load(Ordering::Relaxed),
            waiting: self.slots.waiting() as u64,
            connections: self.connections.len() as u64,
        }
    }

    /// Returns the latest runs, oldest first.
    pub fn log(&self) -> Vec<Entry> {
        self.log.entries()
    }

    async fn serve(
        &self,
        mut request: Request,
        peer: Option<SocketAddr>,
    ) -> Result<Response, Abort> {
        let directive = Directive::read(request.headers());
        let call = self.injector.before_request(origin::of(&request)).await.map_err(abort)?;
        let fault = (!self.injector.clear()).then(|| self.injector.fault());
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            return Err(Abort::Break);
        };
        if directive.break_at == Some(Break::Before) {
            return Err(Abort::Break);
        }
        let status = self.run(&request, &directive, fault.as_ref()).await?;
        self.injector.before_response(&call).await.map_err(abort)?;
        if directive.break_at == Some(Break::After) {
            return Err(Abort::Break);
        }
        let body = self.response_body(&request, &directive, body);
        self.counts.answered.fetch_add(1, Ordering::Relaxed);
        let leaving = fault.is_some_and(|fault| fault.leaving);
        Ok(self.respond(status, directive, body, leaving, peer))
    }

    /// Runs a request in a slot and returns the status of its response.
    async fn run(
        &self,
        request: &Request,
        directive: &Directive,
        fault: Option<&Fault>,
    ) -> Result<StatusCode, Abort> {
        let _slot = self.slots.take().await.ok_or(Abort::NotRun)?;
        let number = self.record(request, directive);
        if fault.is_some_and(|fault| fault.failing) {
            return Ok(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let drawn = self.plan.service_time.draw(self.plan.seed, number);
        let unscaled = directive.delay.unwrap_or(drawn);
        let time = fault.map_or(unscaled, |fault| unscaled * fault.slow_permille / 1000);
        if directive.break_at == Some(Break::During) {
            tokio::time::sleep(time / 2).await;
            return Err(Abort::Break);
        }
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        let status = directive.status.and_then(|status| StatusCode::from_u16(status).ok());
        Ok(status.unwrap_or(StatusCode::OK))
    }

    /// Records the start of a request and returns its number.
    fn record(&self, request: &Request, directive: &Directive) -> u64 {
        if let Some(id) = &directive.id {
            self.runs.record(id);
        }
        self.log.push(Entry {
            id: directive.id.clone(),
            method: request.method().as_str().into(),
            path: request.uri().path().into(),
            key: request.header(KEY_HEADER).map(Box::from),
            attempt: request.header(ATTEMPT_HEADER).map(Box::from),
        });
        self.counts.started.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the response body, from which the caller can verify that it is complete and its own:
    /// the [`pattern`] of its id if a length is requested, else the request's body, else a line
    /// that names the request.
    fn response_body(&self, request: &Request, directive: &Directive, body: Bytes) -> Bytes {
        if let Some(length) = directive.body_bytes {
            return pattern(directive.id.as_deref().unwrap_or_default(), length);
        }
        if !body.is_empty() {
            return body;
        }
        let id = directive.id.as_deref().unwrap_or("-");
        format!("{} {} {} {id}\n", self.instance, request.method(), request.uri().path()).into()
    }

    fn respond(
        &self,
        status: StatusCode,
        directive: Directive,
        body: Bytes,
        leaving: bool,
        peer: Option<SocketAddr>,
    ) -> Response {
        let mut builder = Response::builder().status(status);
        if let Some(id) = directive.id.as_deref() {
            builder = builder.header(ID_HEADER, id);
        }
        if leaving {
            builder = builder.header(LEAVING_HEADER, "true");
        }
        if let (Some(delay), Some(peer)) = (directive.close_after, peer) {
            self.reset_later(delay, peer);
        }
        let connections = self.connections.clone();
        let reset = move || peer.into_iter().for_each(|peer| connections.reset(peer));
        match directive.break_at {
            Some(Break::Answer) => {
                builder.header(CONTENT_LENGTH, body.len()).body(truncated(body, reset))
            }
            Some(Break::Chunk) => builder.body(truncated(body, reset)),
            _ => builder.body(body),
        }
    }

    fn reset_later(&self, delay: Duration, peer: SocketAddr) {
        let connections = self.connections.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            connections.reset(peer);
        });
    }

    fn not_run(&self) -> Response {
        self.counts.refused.fetch_add(1, Ordering::Relaxed);
        Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(NOT_RUN_HEADER, "true")
            .header(RETRY_AFTER, RETRY_AFTER_SECONDS)
            .body("every slot is taken\n")
    }

    fn show_log(&self) -> Response {
        let text = serde_json::to_string(&self.log()).expect("the log is plain data");
        Response::builder().content_type("application/json").body(text)
    }
}

fn abort(refusal: Refusal) -> Abort {
    match refusal {
        Refusal::Break => Abort::Break,
        Refusal::Down => Abort::NotRun,
    }
}

/// A backend server's HTTP handler.
pub(crate) struct Handler {
    /// The server behind it.
    pub server: Arc<Server>,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        if request.uri().path() == LOG_PATH {
            return Ok(self.server.show_log());
        }
        let peer = host::peer(&request);
        let served = if self.server.injector.clear() {
            self.server.serve(request, peer).await
        } else {
            // A separate task, because a server that was frozen or delayed runs the requests that
            // it has received even if the caller has disconnected meanwhile.
            let server = self.server.clone();
            let task = tokio::spawn(async move { server.serve(request, peer).await });
            task.await.expect("serving doesn't panic")
        };
        match served {
            Ok(response) => Ok(response),
            Err(Abort::NotRun) => Ok(self.server.not_run()),
            Err(Abort::Break) => {
                peer.into_iter().for_each(|peer| self.server.connections.reset(peer));
                Ok(Response::default())
            }
        }
    }
}
