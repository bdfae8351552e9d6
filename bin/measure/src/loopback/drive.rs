//! Alternates load between the entry and the backend server.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context as _;
use anyhow::ensure;
use reqwest::Client;
use tokio::task::JoinSet;

use crate::loopback::connection;
use crate::loopback::connection::Results;
use crate::loopback::process;

/// Length of one turn.
const TURN_LENGTH: Duration = Duration::from_secs(1);
/// Length of the uncounted turn that warms up the connections.
const WARM_UP_LENGTH: Duration = Duration::from_millis(500);
/// Maximum length of a run. The machine is shared.
const SECONDS_MAX: u64 = 120;
/// Maximum connections to each side.
const CONNECTIONS_MAX: usize = 1_000;
/// Idle connections opened to measure the memory of one.
const IDLE_CONNECTIONS: usize = 400;
/// Time before the entry's memory is read, in which it settles.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// URL of the service at the entry.
    pub entry: String,
    /// URL of the service at the backend server.
    pub direct: String,
    /// Process id of the entry.
    pub pid: Option<u32>,
    /// Length of the run, both sides together.
    pub seconds: u64,
    /// Connections to each side.
    pub connections: usize,
    /// Requests per second to each side, or as fast as answers come.
    pub rate: Option<f64>,
}

/// Measurements of one side.
#[derive(Clone, Debug, Default)]
pub struct Side {
    /// Results of the requests.
    pub results: Results,
    /// Time in which requests were sent.
    pub elapsed: Duration,
    /// Processor time of the entry in that time.
    pub cpu_time: Duration,
}

/// Measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests through the entry.
    pub entry: Side,
    /// Requests directly to the backend server.
    pub direct: Side,
    /// Memory of one idle connection at the entry, in bytes.
    pub connection_bytes: Option<f64>,
    /// Resident memory of the entry at the end, in bytes.
    pub resident_bytes: Option<u64>,
}

/// Runs the plan.
///
/// # Errors
///
/// Returns an error if the plan exceeds a limit, a side can't be reached or the process has
/// exited.
pub async fn run(plan: &Plan) -> anyhow::Result<Outcome> {
    ensure!(plan.seconds <= SECONDS_MAX, "at most {SECONDS_MAX} seconds");
    let in_range = (1..=CONNECTIONS_MAX).contains(&plan.connections);
    ensure!(in_range, "1 to {CONNECTIONS_MAX} connections");
    let clients = (0..plan.connections).map(|_| connection::client());
    let clients: Vec<Client> = clients.collect::<Result<_, _>>()?;
    let mut outcome = Outcome::default();
    run_turn(plan, &plan.entry, &clients, WARM_UP_LENGTH, &mut Side::default()).await?;
    run_turn(plan, &plan.direct, &clients, WARM_UP_LENGTH, &mut Side::default()).await?;
    for _ in 0..plan.seconds.div_ceil(2) {
        run_turn(plan, &plan.direct, &clients, TURN_LENGTH, &mut outcome.direct).await?;
        run_turn(plan, &plan.entry, &clients, TURN_LENGTH, &mut outcome.entry).await?;
    }
    ensure!(outcome.entry.results.successes > 0, "the entry gave no good answer");
    ensure!(outcome.direct.results.successes > 0, "the backend server gave no good answer");
    if let Some(pid) = plan.pid {
        outcome.connection_bytes = Some(idle_connection_bytes(plan, pid).await?);
        outcome.resident_bytes = Some(process::resident_bytes(pid)?);
    }
    Ok(outcome)
}

async fn run_turn(
    plan: &Plan,
    url: &str,
    clients: &[Client],
    length: Duration,
    side: &mut Side,
) -> anyhow::Result<()> {
    let interval = plan.rate.map(|rate| Duration::from_secs_f64(clients.len() as f64 / rate));
    let cpu_used = |pid: Option<u32>| pid.map_or(Ok(Duration::ZERO), process::cpu_time);
    let before = cpu_used(plan.pid)?;
    let start = Instant::now();
    let mut callers = JoinSet::new();
    let end = start + length;
    for (number, client) in clients.iter().enumerate() {
        let (client, url) = (client.clone(), url.to_owned());
        // At a fixed rate, start times are spread; callers that start together would measure their
        // own burst.
        let fraction = number as f64 / clients.len() as f64;
        let first = start + interval.unwrap_or_default().mul_f64(fraction);
        callers.spawn(async move { connection::run(&client, &url, first, end, interval).await });
    }
    while let Some(results) = callers.join_next().await {
        side.results.add(&results?);
    }
    side.elapsed += start.elapsed();
    side.cpu_time += cpu_used(plan.pid)?.saturating_sub(before);
    Ok(())
}

/// Opens connections, uses each once and leaves it idle. Returns the entry's memory per connection
/// in bytes.
async fn idle_connection_bytes(plan: &Plan, pid: u32) -> anyhow::Result<f64> {
    let before = process::resident_bytes(pid)?;
    let mut clients = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let client = connection::client()?;
        let response = client.get(&plan.entry).send().await;
        response.context("the entry takes another connection")?.bytes().await?;
        clients.push(client);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let after = process::resident_bytes(pid)?;
    drop(clients);
    Ok(after.saturating_sub(before) as f64 / IDLE_CONNECTIONS as f64)
}
