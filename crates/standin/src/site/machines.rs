//! The machine service of the site, which lists the machines and their workers.

use std::sync::Arc;
use std::sync::Mutex;

use poem::EndpointExt as _;
use poem::Response;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::web::Data;
use serde_json::Value;
use serde_json::json;

use super::State;
use super::worker::Worker;

type Shared = Arc<Mutex<State>>;

pub(super) fn routes(state: Shared) -> Route {
    let routes = Route::new().at("/v1/machines", get(list)).data(state);
    Route::new().nest("/", routes)
}

#[handler]
fn list(state: Data<&Shared>) -> Response {
    let state = state.lock().expect("no server of the site has panicked");
    if !state.lists_machines {
        return Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).finish();
    }
    let rows: Vec<Value> = state.workers.iter().map(|(name, worker)| row(name, worker)).collect();
    Response::builder()
        .content_type("application/json")
        .body(json!({ "machines": rows }).to_string())
}

fn row(machine: &str, worker: &Worker) -> Value {
    match worker.up {
        true => json!({ "machine": machine, "state": "up", "id": &*worker.name }),
        false => json!({ "machine": machine, "state": "down" }),
    }
}
