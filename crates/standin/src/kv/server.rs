//! The store over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_gateway::kv::wire;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::connection::Connections;
use crate::host;
use crate::injector::Call;
use crate::injector::Injector;
use crate::injector::Refusal;
use crate::kv::count::Count;
use crate::kv::count::Counts;
use crate::kv::rate::Rate;
use crate::kv::state::State;
use crate::kv::stream;
use crate::origin;
use crate::plan::Limits;

/// Largest request body, in bytes: enough for one value in base64 and further keys.
const BODY_LIMIT: usize = 16 << 20;
/// The interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The store, shared by all calls.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    clock: Clock,
    progress_interval: Duration,
    injector: Arc<Injector>,
    connections: Arc<Connections>,
    counts: Counts,
}

impl Service {
    /// Opens an empty store whose watches report their progress every `progress_interval`.
    pub(crate) fn open(
        clock: Clock,
        progress_interval: Duration,
        limits: Limits,
        injector: Arc<Injector>,
        connections: Arc<Connections>,
    ) -> Arc<Service> {
        let state = State::default();
        let revision = watch::Sender::new(state.revision());
        let counts = Counts::open(limits);
        let state = Mutex::new(state);
        Arc::new(Service {
            state,
            revision,
            clock,
            progress_interval,
            injector,
            connections,
            counts,
        })
    }

    /// Expires leases until the store is closed.
    pub(crate) async fn expire_leases(self: Arc<Service>) {
        let mut ticks = tokio::time::interval(LEASE_CHECK_INTERVAL);
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            self.change(|state| state.advance(now));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panics")
    }

    /// Changes the store and notifies the watches if its revision increased.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let revision = state.revision();
        // Sent under the lock, so that revisions are announced in order.
        self.revision.send_if_modified(|sent| {
            let advanced = revision > *sent;
            *sent = revision;
            advanced
        });
        result
    }

    /// Compacts the history up to and including a revision.
    pub fn compact(&self, revision: u64) {
        self.lock().compact(revision);
    }

    /// Returns the counts of calls.
    pub fn count(&self) -> Count {
        self.counts.count()
    }

    pub(super) fn connections(&self) -> &Connections {
        &self.connections
    }

    pub(super) fn injector(&self) -> &Injector {
        &self.injector
    }

    pub(super) fn progress_interval(&self) -> Duration {
        self.progress_interval
    }

    pub(super) fn revisions(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    pub(super) fn watch_opened(&self) {
        self.counts.watches_waiting.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn watch_ended(&self) {
        self.counts.watches_waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the changes that a watch covers after a revision, up to and including another
    /// revision.
    pub(super) fn changes_after(
        &self,
        after: u64,
        up_to: u64,
        create: &wire::watch::Create,
    ) -> Result<Vec<wire::watch::Event>, u64> {
        let mut events = self.lock().changes_after(after, &create.key, &create.range_end)?;
        events.retain(|event| event.kv.mod_revision <= up_to);
        Ok(events)
    }

    fn handle(&self, path: &str, body: &[u8]) -> Result<Response, wire::Failure> {
        let now = self.clock.now();
        match path {
            wire::RANGE => {
                self.counts.reads.fetch_add(1, Ordering::Relaxed);
                self.admit(&self.counts.read_rate, now)?;
                let request: wire::RangeRequest = parse(body)?;
                Ok(json(&self.lock().range(&request)))
            }
            wire::TXN => {
                self.counts.commits.fetch_add(1, Ordering::Relaxed);
                self.admit(&self.counts.write_rate, now)?;
                let request: wire::txn::Request = parse(body)?;
                self.change(|state| state.txn(now, &request)).map(|response| json(&response))
            }
            wire::LEASE_GRANT => {
                let request = self.parse_lease(now, body)?;
                Ok(json(&self.change(|state| state.grant(now, &request))))
            }
            wire::LEASE_KEEP_ALIVE => {
                let request = self.parse_lease(now, body)?;
                let result = Some(self.change(|state| state.keep_alive(now, &request)));
                Ok(json(&wire::Streamed { result, error: None }))
            }
            wire::LEASE_REVOKE => {
                let request = self.parse_lease(now, body)?;
                self.change(|state| state.revoke(now, &request))?;
                Ok(json(&serde_json::json!({})))
            }
            _ => Err(wire::Failure {
                code: wire::CODE_NOT_FOUND,
                message: format!("there is no {path}"),
            }),
        }
    }

    fn admit(&self, rate: &Rate, now: Time) -> Result<(), wire::Failure> {
        if rate.admit(now) {
            return Ok(());
        }
        let message = wire::TOO_MANY_REQUESTS.to_owned();
        Err(wire::Failure { code: wire::CODE_EXHAUSTED, message })
    }

    fn parse_lease(&self, now: Time, body: &[u8]) -> Result<wire::Lease, wire::Failure> {
        self.admit(&self.counts.write_rate, now)?;
        self.counts.leases.fetch_add(1, Ordering::Relaxed);
        parse(body)
    }

    fn open_watch(
        self: Arc<Service>,
        call: Call,
        peer: Option<SocketAddr>,
        body: &[u8],
    ) -> Result<Response, wire::Failure> {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let request: wire::watch::Request = parse(body)?;
        let body = stream::open(self, call, peer, request.create_request);
        Ok(Response::builder().content_type("application/json").body(body))
    }

    async fn serve(self: Arc<Service>, mut request: Request) -> Result<Response, Refusal> {
        let (from, peer) = (origin::of(&request), host::peer(&request));
        let path = request.uri().path().to_owned();
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            return Err(Refusal::Break);
        };
        let call = self.injector.before_request(from).await.inspect_err(|_| {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
        })?;
        let result = match path.as_str() {
            wire::WATCH => self.clone().open_watch(call.clone(), peer, &body),
            path => self.handle(path, &body),
        };
        self.injector.before_response(&call).await.inspect_err(|_| {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
        })?;
        Ok(result.unwrap_or_else(|failure| failure_response(&failure)))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, wire::Failure> {
    serde_json::from_slice(body)
        .map_err(|error| wire::Failure { code: wire::CODE_INVALID, message: error.to_string() })
}

fn json<T: Serialize>(message: &T) -> Response {
    let text = serde_json::to_string(message).expect("the message is plain data");
    Response::builder().content_type("application/json").body(text)
}

/// Returns the response to a failed call, as the gateway makes it: the HTTP status of the gRPC
/// code, and the message.
fn failure_response(failure: &wire::Failure) -> Response {
    let status = match failure.code {
        wire::CODE_INVALID | wire::CODE_OUT_OF_RANGE => StatusCode::BAD_REQUEST,
        wire::CODE_NOT_FOUND => StatusCode::NOT_FOUND,
        wire::CODE_EXHAUSTED => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = json(failure);
    response.set_status(status);
    response
}

/// The store's HTTP handler.
pub(crate) struct Handler {
    /// The store behind it.
    pub service: Arc<Service>,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let peer = host::peer(&request);
        // A separate task, because a call that has arrived is carried out even if its caller has
        // disconnected.
        let served = tokio::spawn(self.service.clone().serve(request)).await;
        match served.expect("serving doesn't panic") {
            Ok(response) => Ok(response),
            Err(Refusal::Down) => Ok(failure_response(&wire::Failure {
                code: wire::CODE_UNAVAILABLE,
                message: wire::NO_LEADER.to_owned(),
            })),
            Err(Refusal::Break) => {
                peer.into_iter().for_each(|peer| self.service.connections.reset(peer));
                Ok(Response::default())
            }
        }
    }
}
