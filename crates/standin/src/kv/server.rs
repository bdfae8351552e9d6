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

use crate::host;
use crate::kv::count::Count;
use crate::kv::count::Counts;
use crate::kv::rate::Rate;
use crate::kv::state::State;
use crate::kv::stream;
use crate::link::Links;
use crate::origin;
use crate::plan::Limits;
use crate::valve::Pass;
use crate::valve::Refusal;
use crate::valve::Valve;

/// Largest request, which leaves room for one value in base64 and more keys beside it.
const BODY_LIMIT: usize = 16 << 20;
/// How often lapsed leases are looked for.
const LAPSE_EVERY: Duration = Duration::from_millis(10);

/// The store that all calls share.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    clock: Clock,
    progress: Duration,
    valve: Arc<Valve>,
    links: Arc<Links>,
    counts: Counts,
}

impl Service {
    /// Opens an empty store whose watches tell their progress every `progress`.
    pub(crate) fn open(
        clock: Clock,
        progress: Duration,
        limits: Limits,
        valve: Arc<Valve>,
        links: Arc<Links>,
    ) -> Arc<Service> {
        let state = State::default();
        let revision = watch::Sender::new(state.revision());
        let counts = Counts::open(limits);
        let state = Mutex::new(state);
        Arc::new(Service { state, revision, clock, progress, valve, links, counts })
    }

    /// Lets leases lapse for as long as the store lives.
    pub(crate) async fn lapse(self: Arc<Service>) {
        let mut ticks = tokio::time::interval(LAPSE_EVERY);
        loop {
            ticks.tick().await;
            let now = self.clock.now();
            self.change(|state| state.advance(now));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Changes the store and tells the watches if its revision rose.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state);
        let revision = state.revision();
        // Sent under the lock, so that revisions are told in their order.
        self.revision.send_if_modified(|told| {
            let rose = revision > *told;
            *told = revision;
            rose
        });
        result
    }

    /// Forgets the changes up to and with a revision.
    pub fn compact(&self, revision: u64) {
        self.lock().compact(revision);
    }

    /// Returns how many calls came.
    pub fn count(&self) -> Count {
        self.counts.count()
    }

    pub(super) fn links(&self) -> &Links {
        &self.links
    }

    pub(super) fn valve(&self) -> &Valve {
        &self.valve
    }

    pub(super) fn progress(&self) -> Duration {
        self.progress
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

    /// Returns the changes of a watch after a revision, up to one that it has been told of.
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

    fn obey(&self, path: &str, body: &[u8]) -> Result<Response, wire::Failure> {
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
                let request = self.lease(now, body)?;
                Ok(json(&self.change(|state| state.grant(now, &request))))
            }
            wire::LEASE_KEEP_ALIVE => {
                let request = self.lease(now, body)?;
                let result = Some(self.change(|state| state.keep_alive(now, &request)));
                Ok(json(&wire::Streamed { result, error: None }))
            }
            wire::LEASE_REVOKE => {
                let request = self.lease(now, body)?;
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

    fn lease(&self, now: Time, body: &[u8]) -> Result<wire::Lease, wire::Failure> {
        self.admit(&self.counts.write_rate, now)?;
        self.counts.leases.fetch_add(1, Ordering::Relaxed);
        parse(body)
    }

    fn open_watch(
        self: Arc<Service>,
        pass: Pass,
        peer: Option<SocketAddr>,
        body: &[u8],
    ) -> Result<Response, wire::Failure> {
        self.counts.watches.fetch_add(1, Ordering::Relaxed);
        let request: wire::watch::Request = parse(body)?;
        let body = stream::open(self, pass, peer, request.create_request);
        Ok(Response::builder().content_type("application/json").body(body))
    }

    async fn serve(self: Arc<Service>, mut request: Request) -> Result<Response, Refusal> {
        let (from, peer) = (origin::of(&request), host::peer(&request));
        let path = request.uri().path().to_owned();
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            return Err(Refusal::Break);
        };
        let pass = self.valve.enter(from).await.inspect_err(|_| {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
        })?;
        let result = match path.as_str() {
            wire::WATCH => self.clone().open_watch(pass.clone(), peer, &body),
            path => self.obey(path, &body),
        };
        self.valve.leave(&pass).await.inspect_err(|_| {
            self.counts.lost.fetch_add(1, Ordering::Relaxed);
        })?;
        Ok(result.unwrap_or_else(|failure| refuse(&failure)))
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

/// Tells a failure as the gateway does: the status that goes with the gRPC code, and the text.
fn refuse(failure: &wire::Failure) -> Response {
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

/// The store's HTTP endpoint.
pub(crate) struct Door {
    /// The store behind it.
    pub service: Arc<Service>,
}

impl Endpoint for Door {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let peer = host::peer(&request);
        // A task of its own, since a call that has arrived is obeyed even when its caller is gone.
        let served = tokio::spawn(self.service.clone().serve(request)).await;
        match served.expect("serving doesn't panic") {
            Ok(response) => Ok(response),
            Err(Refusal::Down) => Ok(refuse(&wire::Failure {
                code: wire::CODE_UNAVAILABLE,
                message: wire::NO_LEADER.to_owned(),
            })),
            Err(Refusal::Break) => {
                peer.into_iter().for_each(|peer| self.service.links.cut(peer));
                Ok(Response::default())
            }
        }
    }
}
