//! The workers' side of the protocol, one server a machine.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Hold;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Stamp;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::TaskId;
use poem::EndpointExt as _;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::handler;
use poem::http::StatusCode;
use poem::post;
use poem::web::Data;
use poem::web::Json;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::State;
use super::worker::Worker;

type Shared = Arc<Mutex<State>>;

/// How often a waiting hold looks again.
const LOOK: Duration = Duration::from_millis(5);
/// How long an order that is left without an answer keeps its connection: longer than any caller waits.
const UNANSWERED: Duration = Duration::from_secs(3);
/// Ends that are listed at once.
const LISTED: usize = 500;

/// Whether an order is carried out as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timing {
    Prompt,
    /// Long after its sender has given it up.
    Late,
}

/// A machine's name, for its routes.
#[derive(Clone)]
struct Machine(String);

pub(super) fn routes(state: Shared, machine: String) -> Route {
    let routes = Route::new()
        .at("/v1/run-start", post(start_run))
        .at("/v1/run-stop", post(stop_run))
        .at("/v1/pace", post(pace_run))
        .at("/v1/hold", post(hold_runs))
        .data(state)
        .data(Machine(machine));
    Route::new().nest("/", routes)
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Order {
    task: String,
    run_id: id::Attempt,
    fencing_token: id::Epoch,
    #[serde(default)]
    deadline_ms: Stamp,
    #[serde(default)]
    checkpoint: String,
    #[serde(default)]
    percent: u8,
}

impl Order {
    fn run(&self) -> Option<Run> {
        let mut parts = self.task.split('.');
        let job = JobId::from_str_radix(parts.next()?, 16).ok()?;
        let occurrence = parts.next()?.parse().ok()?;
        let step = parts.next()?.parse().ok()?;
        let index = parts.next()?.parse().ok()?;
        Some(Run { task: TaskId { job, occurrence, step, index }, attempt: self.run_id })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct HoldOrder {
    fencing_token: id::Epoch,
    ack_seq: u64,
    #[serde(default)]
    deadline_ms: Option<Stamp>,
    #[serde(default)]
    wait_ms: u64,
}

fn reply(status: StatusCode, body: &Value) -> Response {
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

/// Renders an outcome as the platform's workers do.
fn settle(outcome: Result<Stamp, Failure>) -> Response {
    match outcome {
        Ok(clock) => reply(StatusCode::OK, &json!({ "clock-ms": clock })),
        Err(Failure::Refused(refusal, clock)) => {
            let reason = match refusal {
                Refusal::Fenced => "fence",
                Refusal::Old => "old",
                Refusal::Late => "late",
                Refusal::Room => "room",
                Refusal::Ticket => "ticket",
                Refusal::OtherWorker => {
                    return reply(StatusCode::MISDIRECTED_REQUEST, &json!({}));
                }
                Refusal::Unhealthy => {
                    return reply(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
                }
                Refusal::Malformed => return reply(StatusCode::BAD_REQUEST, &json!({})),
            };
            reply(StatusCode::CONFLICT, &json!({ "clock-ms": clock, "reason": reason }))
        }
        Err(Failure::Unsent | Failure::Unknown) => {
            reply(StatusCode::INTERNAL_SERVER_ERROR, &json!({}))
        }
    }
}

/// The name of the worker that a request means.
fn named(request: &Request) -> Option<String> {
    request.header("Expected-Instance").map(str::to_owned)
}

/// Finds the worker that a request means, whichever of its starts that was.
fn meant<'a>(
    state: &'a mut State,
    machine: &Machine,
    named: Option<&str>,
) -> Result<&'a mut Worker, Failure> {
    let other = Failure::Refused(Refusal::OtherWorker, None);
    let worker = state.workers.get_mut(&machine.0).ok_or(other)?;
    if !worker.up {
        return Err(Failure::Unknown);
    }
    if named.is_some_and(|name| *name != *worker.name) {
        return Err(other);
    }
    Ok(worker)
}

/// Tells whether the next order to a worker is left without an answer, and how much later it is carried out.
fn late(state: &Shared, machine: &Machine) -> Option<Duration> {
    let mut state = state.lock().expect("no server of the site has failed");
    let worker = state.workers.get_mut(&machine.0)?;
    worker.late.0 = worker.late.0.checked_sub(1)?;
    Some(worker.late.1)
}

/// Carries an order out, now or late and without an answer.
async fn answer(
    state: &Shared,
    machine: &Machine,
    act: impl FnOnce(&Shared, &Machine, Timing) -> Response + Send + 'static,
) -> Response {
    let Some(by) = late(state, machine) else { return act(state, machine, Timing::Prompt) };
    let (state, machine) = (state.clone(), machine.clone());
    tokio::spawn(async move {
        tokio::time::sleep(by).await;
        // Nobody waits for what it would say.
        drop(act(&state, &machine, Timing::Late));
    });
    tokio::time::sleep(UNANSWERED).await;
    settle(Err(Failure::Unknown))
}

#[handler]
async fn start_run(
    request: &Request,
    Json(order): Json<Order>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let named = named(request);
    let act = move |state: &Shared, machine: &Machine, timing| {
        start(state, machine, named, &order, timing)
    };
    answer(&state, &machine, act).await
}

fn start(
    state: &Shared,
    machine: &Machine,
    named: Option<String>,
    order: &Order,
    timing: Timing,
) -> Response {
    let mut state = state.lock().expect("no server of the site has failed");
    let now = state.now();
    let Some(run) = order.run() else {
        return settle(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    let step = state
        .jobs
        .get(&run.task.job)
        .and_then(|spec| spec.steps.get(usize::from(run.task.step)))
        .cloned();
    let Some(step) = step else {
        state.broken.push(format!("{} was started and nobody asked for it", run.task));
        return settle(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    let checkpoint = (!order.checkpoint.is_empty()).then(|| order.checkpoint.as_str().into());
    let start =
        Start { run, payload: "".into(), deadline: order.deadline_ms, checkpoint, ticket: None };
    let work = step.estimate;
    let worker = state.workers.get(&machine.0);
    let is_there = worker.is_some_and(|worker| worker.active.contains_key(&run));
    let outcome = meant(&mut state, machine, named.as_deref())
        .and_then(|worker| worker.start(order.fencing_token, &start, &step, work, now));
    if outcome.is_ok() && !is_there && timing == Timing::Prompt {
        let domain = state.workers[&machine.0].domain.clone();
        state.evacuations.start(run, &domain, now);
    }
    if outcome.is_ok() {
        state.started.insert(run.task.job);
        if state.acknowledged.contains(&run.task) {
            state.broken.push(format!("{} is started after its end was acknowledged", run.task));
        }
        let broken = state.crashes.start(run);
        state.broken.extend(broken);
    }
    settle(outcome)
}

/// Carries out an order about a run.
fn carry_out(
    named: Option<&str>,
    state: &Shared,
    machine: &Machine,
    order: &Order,
    act: impl FnOnce(&mut Worker, Run, Time) -> Result<Stamp, Failure>,
) -> Response {
    let mut state = state.lock().expect("no server of the site has failed");
    let now = state.now();
    let Some(run) = order.run() else {
        return settle(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    settle(meant(&mut state, machine, named).and_then(|worker| act(worker, run, now)))
}

#[handler]
async fn stop_run(
    request: &Request,
    Json(order): Json<Order>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let named = named(request);
    let stop = move |state: &Shared, machine: &Machine, _| {
        carry_out(named.as_deref(), state, machine, &order, |worker, run, now| {
            worker.stop(order.fencing_token, run, now)
        })
    };
    answer(&state, &machine, stop).await
}

#[handler]
fn pace_run(
    request: &Request,
    Json(order): Json<Order>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    carry_out(named(request).as_deref(), &state, &machine, &order, |worker, run, now| {
        worker.pace(order.fencing_token, run, order.percent, now)
    })
}

#[handler]
async fn hold_runs(
    request: &Request,
    Json(order): Json<HoldOrder>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let asked = Hold {
        deadline: order.deadline_ms,
        acknowledged: order.ack_seq,
        wait: Duration::from_millis(order.wait_ms),
    };
    let until = tokio::time::Instant::now() + asked.wait;
    loop {
        {
            let mut state = state.lock().expect("no server of the site has failed");
            let now = state.now();
            acknowledge(&mut state, &machine, &order);
            let outcome = meant(&mut state, &machine, named(request).as_deref())
                .and_then(|worker| worker.hold(order.fencing_token, &asked, now));
            match outcome {
                Ok(report) if report.ended.is_empty() && tokio::time::Instant::now() < until => {}
                Ok(report) => return reply(StatusCode::OK, &listing(report)),
                Err(failure) => return settle(Err(failure)),
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Remembers which ends a worker is told to forget, if it obeys: from then on they stand for good.
fn acknowledge(state: &mut State, machine: &Machine, order: &HoldOrder) {
    let obeys = |worker: &&Worker| worker.up && worker.epoch <= order.fencing_token;
    let Some(worker) = state.workers.get(&machine.0).filter(obeys) else { return };
    let told =
        worker.ended.iter().filter(|end| end.number <= order.ack_seq && end.how == How::Done);
    let told: Vec<TaskId> = told.map(|end| end.run.task).collect();
    state.acknowledged.extend(told);
}

fn listing(report: Report) -> Value {
    let running: Vec<Value> = report.running.iter().map(running).collect();
    let ended: Vec<Value> = report.ended.iter().take(LISTED).map(ended).collect();
    json!({ "born": report.born, "clock-ms": report.clock, "running": running, "finished": ended })
}

fn running(row: &Running) -> Value {
    let saved = row.checkpoint.as_deref().unwrap_or_default();
    json!([row.run.task.to_string(), row.run.attempt, saved, row.percent, row.figure])
}

fn ended(row: &Ended) -> Value {
    let how = match row.how {
        How::Done => "done",
        How::Failed => "failed",
        How::Stopped => "stopped",
        How::Lapsed => "lapsed",
        How::Broken => "broken",
        How::Alone => "alone",
    };
    let saved = row.checkpoint.as_deref().unwrap_or_default();
    json!([row.number, row.run.task.to_string(), row.run.attempt, how, saved])
}
