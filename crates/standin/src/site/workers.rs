//! The workers' HTTP servers, one for each machine.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::EndReason;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Heartbeat;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Timestamp;
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

/// The interval at which a waiting heartbeat checks for new ends.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time for which a command without a response keeps its connection open: longer than any
/// caller waits.
const NO_RESPONSE_DELAY: Duration = Duration::from_secs(3);

/// The time at which a command is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timing {
    Prompt,
    /// Long after its sender has given up.
    Late,
}

/// The name of the machine that a route belongs to.
#[derive(Clone)]
struct Machine(String);

pub(super) fn routes(state: Shared, machine: String) -> Route {
    let routes = Route::new()
        .at("/v1/run-start", post(start_run))
        .at("/v1/run-stop", post(stop_run))
        .at("/v1/pace", post(set_speed_limit))
        .at("/v1/hold", post(renew_lease))
        .data(state)
        .data(Machine(machine));
    Route::new().nest("/", routes)
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Command {
    task: String,
    run_id: id::Attempt,
    fencing_token: id::Epoch,
    #[serde(default)]
    deadline_ms: Timestamp,
    #[serde(default)]
    checkpoint: String,
    #[serde(default)]
    percent: u8,
}

impl Command {
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
struct HeartbeatCommand {
    fencing_token: id::Epoch,
    ack_seq: u64,
    #[serde(default)]
    deadline_ms: Option<Timestamp>,
    #[serde(default)]
    wait_ms: u64,
}

fn reply(status: StatusCode, body: &Value) -> Response {
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

/// Renders an outcome like the platform's workers do.
fn render_outcome(outcome: Result<Timestamp, Failure>) -> Response {
    match outcome {
        Ok(clock) => reply(StatusCode::OK, &json!({ "clock-ms": clock })),
        Err(Failure::Refused(refusal, clock)) => {
            let reason = match refusal {
                Refusal::Fenced => "fence",
                Refusal::Stale => "old",
                Refusal::LeaseExpired => "late",
                Refusal::NoCapacity => "room",
                Refusal::TicketRequired => "ticket",
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

/// Returns the name of the worker that a request is intended for.
fn expected_instance(request: &Request) -> Option<String> {
    request.header("Expected-Instance").map(str::to_owned)
}

/// Returns the worker that a request is intended for, in whichever incarnation.
fn find_worker<'a>(
    state: &'a mut State,
    machine: &Machine,
    expected: Option<&str>,
) -> Result<&'a mut Worker, Failure> {
    let other = Failure::Refused(Refusal::OtherWorker, None);
    let worker = state.workers.get_mut(&machine.0).ok_or(other)?;
    if !worker.up {
        return Err(Failure::Unknown);
    }
    if expected.is_some_and(|name| *name != *worker.name) {
        return Err(other);
    }
    Ok(worker)
}

/// Returns the delay of the next command to a worker if it is to get no response, and counts it.
fn delay(state: &Shared, machine: &Machine) -> Option<Duration> {
    let mut state = state.lock().expect("no server of the site has panicked");
    let worker = state.workers.get_mut(&machine.0)?;
    worker.delayed_commands.0 = worker.delayed_commands.0.checked_sub(1)?;
    Some(worker.delayed_commands.1)
}

/// Carries out a command, either now or late and without a response.
async fn execute(
    state: &Shared,
    machine: &Machine,
    act: impl FnOnce(&Shared, &Machine, Timing) -> Response + Send + 'static,
) -> Response {
    let Some(lag) = delay(state, machine) else { return act(state, machine, Timing::Prompt) };
    let (state, machine) = (state.clone(), machine.clone());
    tokio::spawn(async move {
        tokio::time::sleep(lag).await;
        // The sender no longer waits for the response.
        drop(act(&state, &machine, Timing::Late));
    });
    tokio::time::sleep(NO_RESPONSE_DELAY).await;
    render_outcome(Err(Failure::Unknown))
}

#[handler]
async fn start_run(
    request: &Request,
    Json(command): Json<Command>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let expected = expected_instance(request);
    let act = move |state: &Shared, machine: &Machine, timing| {
        start(state, machine, expected, &command, timing)
    };
    execute(&state, &machine, act).await
}

fn start(
    state: &Shared,
    machine: &Machine,
    expected: Option<String>,
    command: &Command,
    timing: Timing,
) -> Response {
    let mut state = state.lock().expect("no server of the site has panicked");
    let now = state.now();
    let Some(run) = command.run() else {
        return render_outcome(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    let step = state
        .jobs
        .get(&run.task.job)
        .and_then(|spec| spec.steps.get(usize::from(run.task.step)))
        .cloned();
    let Some(step) = step else {
        state.violations.push(format!("{} was started but its job was never submitted", run.task));
        return render_outcome(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    let checkpoint = (!command.checkpoint.is_empty()).then(|| command.checkpoint.as_str().into());
    let start =
        Start { run, payload: "".into(), deadline: command.deadline_ms, checkpoint, ticket: None };
    let work = step.estimate;
    let worker = state.workers.get(&machine.0);
    let is_running = worker.is_some_and(|worker| worker.active.contains_key(&run));
    let outcome = find_worker(&mut state, machine, expected.as_deref())
        .and_then(|worker| worker.start(command.fencing_token, &start, &step, work, now));
    if outcome.is_ok() && !is_running && timing == Timing::Prompt {
        let domain = state.workers[&machine.0].domain.clone();
        state.evacuations.start(run, &domain, now);
    }
    if outcome.is_ok() {
        state.started.insert(run.task.job);
        if timing == Timing::Prompt {
            state.owners.start(command.fencing_token, now);
        }
        if timing == Timing::Prompt && !is_running && !step.long_running && !step.speculative {
            state.ends.start(run, now);
        }
        if state.acknowledged.contains(&run.task) {
            state
                .violations
                .push(format!("{} was started after its completion was acknowledged", run.task));
        }
        let broken = state.crashes.start(run);
        state.violations.extend(broken);
    }
    render_outcome(outcome)
}

/// Carries out a command on an active run.
fn execute_on_run(
    expected: Option<&str>,
    state: &Shared,
    machine: &Machine,
    command: &Command,
    act: impl FnOnce(&mut Worker, Run, Time) -> Result<Timestamp, Failure>,
) -> Response {
    let mut state = state.lock().expect("no server of the site has panicked");
    let now = state.now();
    let Some(run) = command.run() else {
        return render_outcome(Err(Failure::Refused(Refusal::Malformed, None)));
    };
    render_outcome(
        find_worker(&mut state, machine, expected).and_then(|worker| act(worker, run, now)),
    )
}

#[handler]
async fn stop_run(
    request: &Request,
    Json(command): Json<Command>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let expected = expected_instance(request);
    let stop = move |state: &Shared, machine: &Machine, _| {
        execute_on_run(expected.as_deref(), state, machine, &command, |worker, run, now| {
            worker.stop(command.fencing_token, run, now)
        })
    };
    execute(&state, &machine, stop).await
}

#[handler]
fn set_speed_limit(
    request: &Request,
    Json(command): Json<Command>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    execute_on_run(
        expected_instance(request).as_deref(),
        &state,
        &machine,
        &command,
        |worker, run, now| worker.set_speed_limit(command.fencing_token, run, command.percent, now),
    )
}

#[handler]
async fn renew_lease(
    request: &Request,
    Json(heartbeat): Json<HeartbeatCommand>,
    state: Data<&Shared>,
    machine: Data<&Machine>,
) -> Response {
    let hold = Heartbeat {
        deadline: heartbeat.deadline_ms,
        acknowledged: heartbeat.ack_seq,
        wait: Duration::from_millis(heartbeat.wait_ms),
    };
    let until = tokio::time::Instant::now() + hold.wait;
    loop {
        {
            let mut state = state.lock().expect("no server of the site has panicked");
            let now = state.now();
            acknowledge(&mut state, &machine, &heartbeat);
            let outcome = find_worker(&mut state, &machine, expected_instance(request).as_deref())
                .and_then(|worker| worker.heartbeat(heartbeat.fencing_token, &hold, now));
            match outcome {
                Ok(report) if report.ended.is_empty() && tokio::time::Instant::now() < until => {}
                Ok(report) => return reply(StatusCode::OK, &render_report(report)),
                Err(failure) => return render_outcome(Err(failure)),
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Records which completions a heartbeat acknowledges, if the worker accepts it. These are final.
fn acknowledge(state: &mut State, machine: &Machine, heartbeat: &HeartbeatCommand) {
    let accepts = |worker: &&Worker| worker.up && worker.epoch <= heartbeat.fencing_token;
    let Some(worker) = state.workers.get(&machine.0).filter(accepts) else { return };
    let acknowledged = worker
        .ended
        .iter()
        .filter(|end| end.number <= heartbeat.ack_seq && end.reason == EndReason::Done);
    let acknowledged: Vec<TaskId> = acknowledged.map(|end| end.run.task).collect();
    state.acknowledged.extend(acknowledged);
    let host = state.workers[&machine.0].host();
    let broken = state.ends.acknowledge(&host, heartbeat.ack_seq);
    state.violations.extend(broken);
}

fn render_report(report: Report) -> Value {
    let running: Vec<Value> = report.running.iter().map(render_running).collect();
    let ended: Vec<Value> = report.ended.iter().map(render_ended).collect();
    json!({ "born": report.started_at, "clock-ms": report.clock, "running": running, "finished": ended })
}

fn render_running(row: &Running) -> Value {
    let saved = row.checkpoint.as_deref().unwrap_or_default();
    json!([row.run.task.to_string(), row.run.attempt, saved, row.percent, row.measurement])
}

fn render_ended(row: &Ended) -> Value {
    let how = match row.reason {
        EndReason::Done => "done",
        EndReason::Failed => "failed",
        EndReason::Stopped => "stopped",
        EndReason::LeaseExpired => "lapsed",
        EndReason::GangEnded => "broken",
        EndReason::GangTimeout => "alone",
    };
    let saved = row.checkpoint.as_deref().unwrap_or_default();
    json!([row.number, row.run.task.to_string(), row.run.attempt, how, saved])
}
