//! The resource interface over HTTP.

use std::sync::Arc;

use cowslipchute_base::code::Code;
use cowslipchute_base::id::Domain;
use cowslipchute_base::id::Incarnation;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Handle;
use cowslipchute_follow::peers::Peers;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Call;
use poem::Body;
use poem::Request;
use poem::Response;
use poem::http::Method;
use poem::http::StatusCode;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::ask;
use crate::ask::Answer;
use crate::drain;
use crate::events;
use crate::metrics::Metrics;
use crate::problem;
use crate::problem::Problem;
use crate::request;
use crate::request::After;
use crate::request::At;
use crate::request::Path;
use crate::resources::Resources;
use crate::status;
use crate::status::Lagging;
use crate::watch as stream;

/// Maximum number of requests in progress, streams excluded.
const REQUESTS_MAX: usize = 512;
/// Maximum number of open streams of changes.
const WATCHES_MAX: usize = 64;

/// State that the interface serves from.
pub struct Api<S, P> {
    /// The resources.
    pub resources: Resources<S>,
    /// Configuration in force at this instance.
    pub follow: Handle,
    /// The list of instances.
    pub members: watch::Receiver<Vec<Member>>,
    /// Client for calls to the other processes, if there is one.
    pub peers: Option<P>,
    /// Identity that this process presents to them.
    pub identity: Identity,
    /// Reader of the placers' events.
    pub events: events::Reader,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Progress of the shutdown.
    pub stop: Stop,
    /// Limits on requests and streams in progress.
    pub limits: Limits,
}

/// Limits on requests and streams in progress.
#[derive(Clone, Debug)]
pub struct Limits {
    requests: Arc<Semaphore>,
    watches: Arc<Semaphore>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            requests: Arc::new(Semaphore::new(REQUESTS_MAX)),
            watches: Arc::new(Semaphore::new(WATCHES_MAX)),
        }
    }
}

/// Identity that this process presents to others.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This instance.
    pub instance: Instance,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Failure domain of this instance.
    pub domain: Domain,
}

impl Identity {
    fn hello(&self) -> Call {
        let Identity { instance, incarnation, domain } = self.clone();
        Call::Hello { instance, incarnation, domain, revision: 0 }
    }
}

#[derive(Serialize)]
struct Accepted<'a> {
    code: u16,
    name: &'a str,
    outcome: &'a str,
    text: &'a str,
    revision: Revision,
}

impl<S: Store, P: Peers> Api<S, P> {
    /// Answers one request.
    pub async fn answer(&self, mut request: Request) -> Response {
        let answered = self.dispatch(&mut request).await;
        let (code, response) = match answered {
            Ok((code, response)) => (code, response),
            Err(problem) => (problem.code, problem.response()),
        };
        self.metrics.answered(code);
        response
    }

    async fn dispatch(&self, request: &mut Request) -> Result<(Code, Response), Problem> {
        let _permit = self.limits.requests.try_acquire().map_err(|_| Problem::new(Code::Busy))?;
        let path = request::path(request.uri().path())?;
        let method = request.method().clone();
        match (method, path) {
            (Method::GET, Path::Watch) => self.watch(request),
            (Method::GET, Path::Status) => self.status(request).await,
            (Method::GET, Path::Events) => Ok(found(&self.events.read().await)),
            (Method::POST, Path::Drain(name)) => self.drain(&name).await,
            (Method::GET, Path::Kind(kind)) => Ok(found(&self.resources.list(kind).await?)),
            (Method::GET, Path::Resource(kind, name)) => {
                Ok(found(&self.resources.get(kind, &name).await?))
            }
            (Method::POST, Path::Kind(kind)) => {
                self.running()?;
                let resource = request::resource(request, kind, None).await?;
                Ok(accepted(StatusCode::CREATED, self.resources.create(resource).await?))
            }
            (Method::PUT, Path::Resource(kind, name)) => {
                self.running()?;
                let revision = request::if_match(request)?;
                let resource = request::resource(request, kind, Some(&name)).await?;
                let replaced = self.resources.replace(resource, revision).await?;
                Ok(accepted(StatusCode::OK, replaced))
            }
            (Method::DELETE, Path::Resource(kind, name)) => {
                self.running()?;
                let revision = request::if_match(request)?;
                let removed = self.resources.remove(kind, &name, revision).await?;
                Ok(accepted(StatusCode::OK, removed))
            }
            (method, _) => Err(Problem::new(Code::BadRequest)
                .because(format!("{method} can't be used on this path"))
                .remedy("see docs/OPERATING.md for the methods of each path")),
        }
    }

    fn running(&self) -> Result<(), Problem> {
        match self.stop.stage() {
            Stage::Running => Ok(()),
            _ => Err(Problem::new(Code::Stopping)),
        }
    }

    fn watch(&self, request: &Request) -> Result<(Code, Response), Problem> {
        self.running()?;
        let query: After = request::query(request)?;
        let permit = self.limits.watches.clone().try_acquire_owned().map_err(|_| {
            Problem::new(Code::Busy).because("too many streams of changes are open here")
        })?;
        let lines = stream::open(self.follow.clone(), query.after, self.stop.clone());
        let lines = futures_util::StreamExt::map(lines, move |line| {
            let _held_while_the_stream_is_open = &permit;
            line
        });
        let response = Response::builder()
            .content_type("application/x-ndjson")
            .body(Body::from_bytes_stream(lines));
        Ok((Code::Answered, response))
    }

    async fn status(&self, request: &Request) -> Result<(Code, Response), Problem> {
        let query: At = request::query(request)?;
        let own = self.follow.in_force();
        let answers = self.ask(&self.identity.hello()).await;
        let me = Lagging {
            instance: self.identity.instance.clone(),
            domain: self.identity.domain.clone(),
            revision: Some(own),
        };
        Ok(found(&status::sum(me, answers, query.revision.unwrap_or(own))))
    }

    async fn drain(&self, name: &str) -> Result<(Code, Response), Problem> {
        let listed =
            |members: &[Member]| members.iter().find(|member| &*member.instance == name).cloned();
        let leaving = listed(&self.members.borrow()).ok_or_else(|| {
            Problem::new(Code::NoResource).because("the list of instances doesn't hold that name")
        })?;
        if self.peers.is_none() {
            return Err(Problem::new(Code::Unreachable)
                .because("this process has no links to others")
                .remedy("start it with --peer-listen and a certificate"));
        }
        let (instance, incarnation) = (leaving.instance.clone(), leaving.incarnation);
        let answers = self.ask(&Call::Leaving { instance, incarnation }).await;
        Ok(found(&drain::sum(&leaving, &answers)))
    }

    async fn ask(&self, call: &Call) -> Vec<Answer> {
        let members = self.members.borrow().clone();
        ask::all(&self.peers, call, &self.identity.instance, &members).await
    }
}

fn found(body: &impl Serialize) -> (Code, Response) {
    (Code::Answered, problem::coded(Code::Answered, StatusCode::OK, body))
}

fn accepted(status: StatusCode, revision: Revision) -> (Code, Response) {
    let code = Code::Accepted;
    let body = Accepted {
        code: code.number(),
        name: code.name(),
        outcome: code.outcome().as_str(),
        text: code.text(),
        revision,
    };
    (code, problem::coded(code, status, &body))
}
