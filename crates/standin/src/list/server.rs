//! The list over HTTP. Every process reads it; instances that join or leave, and tests, change it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Instance;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_gateway::list::INSTANCES_PATH;
use cowslipchute_gateway::list::entity_tag;
use cowslipchute_ports::list;
use poem::Endpoint;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;
use poem::http::header::ETAG;
use poem::http::header::IF_NONE_MATCH;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::Connections;
use crate::host;
use crate::injector::Injector;
use crate::injector::Refusal;
use crate::list::state::State;
use crate::origin;

/// Largest request body, in bytes; it holds one member.
const BODY_LIMIT: usize = 64 << 10;
/// The prefix of a failure domain in the query string of a read.
const DOMAIN_PARAMETER: &str = "domain=";

/// A request to change a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The new state.
    pub state: list::State,
}

/// The list, shared by all calls.
#[derive(Debug)]
pub struct Service {
    state: Mutex<State>,
    clock: Clock,
    injector: Arc<Injector>,
    connections: Arc<Connections>,
    reads: AtomicU64,
    sent: AtomicU64,
}

impl Service {
    /// Opens the list.
    pub(crate) fn open(
        clock: Clock,
        state: State,
        injector: Arc<Injector>,
        connections: Arc<Connections>,
    ) -> Arc<Service> {
        let state = Mutex::new(state);
        let (reads, sent) = (AtomicU64::new(0), AtomicU64::new(0));
        Arc::new(Service { state, clock, injector, connections, reads, sent })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panics")
    }

    /// Returns the number of reads.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of reads that were answered with the members; the other reads found the
    /// list unchanged.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the current entry of a member, regardless of the lag.
    pub fn find(&self, instance: &str) -> Option<list::Member> {
        self.lock().find(instance).cloned()
    }

    /// Adds a member or replaces the member of that name.
    pub fn put(&self, member: list::Member) {
        self.lock().put(self.clock.now(), member);
    }

    /// Changes a member's state. Returns `true` if there is a member of that name.
    pub fn set_state(&self, instance: &Instance, state: list::State) -> bool {
        self.lock().set_state(self.clock.now(), instance, state)
    }

    /// Removes a member. Returns `true` if there was a member of that name.
    pub fn remove(&self, instance: &Instance) -> bool {
        self.lock().remove(self.clock.now(), instance)
    }

    /// Sets a member's incarnation after a restart, and its state to live.
    pub fn set_incarnation(&self, instance: &Instance, incarnation: u64) {
        let mut state = self.lock();
        if let Some(mut member) = state.find(instance).cloned() {
            member.incarnation = incarnation;
            member.state = list::State::Live;
            state.put(self.clock.now(), member);
        }
    }

    async fn serve(&self, mut request: Request) -> Result<Response, Refusal> {
        let from = origin::of(&request);
        let Ok(body) = request.take_body().into_bytes_limit(BODY_LIMIT).await else {
            return Err(Refusal::Break);
        };
        let call = self.injector.before_request(from).await?;
        let response = self.handle(&request, &body);
        self.injector.before_response(&call).await?;
        Ok(response)
    }

    fn handle(&self, request: &Request, body: &[u8]) -> Response {
        let path = request.uri().path();
        if path == INSTANCES_PATH && request.method() == Method::GET {
            return self.read(request);
        }
        let name = path.strip_prefix(INSTANCES_PATH).and_then(|rest| rest.strip_prefix('/'));
        match (request.method(), name) {
            (&Method::PUT, Some(name)) => self.register(name, body),
            (&Method::POST, Some(name)) => match serde_json::from_slice::<Change>(body) {
                Ok(change) => found_response(self.set_state(&name.into(), change.state)),
                Err(error) => bad_request(&error.to_string()),
            },
            (&Method::DELETE, Some(name)) => found_response(self.remove(&name.into())),
            _ => found_response(false),
        }
    }

    fn read(&self, request: &Request) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let query = request.uri().query().unwrap_or_default();
        let domains: Vec<Domain> = query
            .split('&')
            .filter_map(|pair| pair.strip_prefix(DOMAIN_PARAMETER))
            .map(Domain::from)
            .collect();
        // Both are read at the same time, so that the tag belongs to the view.
        let (state, now) = (self.lock(), self.clock.now());
        let tag = entity_tag(state.version(now));
        if request.header(IF_NONE_MATCH).is_some_and(|known| contains_tag(known, &tag)) {
            return Response::builder().status(StatusCode::NOT_MODIFIED).header(ETAG, tag).finish();
        }
        let view = state.read(now, &domains);
        drop(state);
        self.sent.fetch_add(1, Ordering::Relaxed);
        let text = serde_json::to_string(&view).expect("the view is plain data");
        Response::builder().content_type("application/json").header(ETAG, tag).body(text)
    }

    fn register(&self, name: &str, body: &[u8]) -> Response {
        match serde_json::from_slice::<list::Member>(body) {
            Ok(member) if *member.instance == *name => {
                self.put(member);
                found_response(true)
            }
            Ok(_) => bad_request("the member has another name than the path"),
            Err(error) => bad_request(&error.to_string()),
        }
    }
}

/// Returns `true` if an `If-None-Match` header contains a tag.
fn contains_tag(known: &str, tag: &str) -> bool {
    known.split(',').any(|known| known.trim().trim_start_matches("W/") == tag)
}

fn found_response(found: bool) -> Response {
    let status = if found { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND };
    status.into()
}

fn bad_request(problem: &str) -> Response {
    Response::builder().status(StatusCode::BAD_REQUEST).body(problem.to_owned())
}

/// The list's HTTP handler.
pub(crate) struct Handler {
    /// The list behind it.
    pub service: Arc<Service>,
}

impl Endpoint for Handler {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let peer = host::peer(&request);
        match self.service.serve(request).await {
            Ok(response) => Ok(response),
            Err(Refusal::Down) => Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
            Err(Refusal::Break) => {
                peer.into_iter().for_each(|peer| self.service.connections.reset(peer));
                Ok(Response::default())
            }
        }
    }
}
