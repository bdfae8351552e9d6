//! The placer's own paths on the admin address.

use std::sync::Arc;

use cowslipchute_base::code::Code;
use cowslipchute_base::code::HEADER;
use cowslipchute_daemon::ring::Notifier;
use poem::EndpointExt;
use poem::IntoResponse;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use poem::web::Query as Parameters;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::journal::Journal;
use crate::status;
use crate::status::Status;

/// Maximum number of notes in one response.
const NOTES_MAX: usize = 1000;

/// State that the paths serve.
#[derive(Clone, Debug)]
pub struct Context {
    /// Most recently published status.
    pub status: watch::Receiver<Arc<Status>>,
    /// Most recent notes.
    pub journal: Journal,
    /// Sends queries to the deciding event loop.
    pub queries: mpsc::Sender<Query>,
    /// Wakes the deciding event loop.
    pub bell: Notifier,
}

/// A query about jobs.
#[derive(Debug)]
pub struct Query {
    /// The job; all jobs if there is none.
    pub job: Option<String>,
    /// Receives the response.
    pub reply: oneshot::Sender<Vec<status::Job>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Only {
    job: Option<String>,
}

/// Builds the routes `/cells`, `/events?after=SEQUENCE` and `/tasks?job=NAME`.
pub fn routes(context: Context) -> Route {
    Route::new()
        .at("/cells", get(cells).data(context.clone()))
        .at("/events", get(events).data(context.clone()))
        .at("/tasks", get(tasks).data(context))
}

#[handler]
fn cells(context: Data<&Context>) -> Response {
    let status = context.status.borrow().clone();
    json(&*status)
}

#[handler]
fn events(context: Data<&Context>, query: Parameters<After>) -> Response {
    json(&context.journal.after(query.after, NOTES_MAX))
}

#[handler]
async fn tasks(context: Data<&Context>, query: Parameters<Only>) -> Response {
    let (reply, answer) = oneshot::channel();
    let question = Query { job: query.job.clone(), reply };
    if context.queries.try_send(question).is_err() {
        return busy();
    }
    context.bell.notify();
    match answer.await {
        Ok(jobs) => json(&jobs),
        Err(_) => busy(),
    }
}

/// Response when the deciding event loop has too many queries or is ending.
fn busy() -> Response {
    let code = Code::Busy;
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(HEADER, code.number().to_string())
        .header("retry-after", "1")
        .body(code.text())
}

fn json(value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).expect("status always has a JSON form");
    text.with_content_type("application/json").into_response()
}
