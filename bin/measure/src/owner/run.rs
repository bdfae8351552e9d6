//! One run: opens the platform, waits for the processes, loads them and prints what the owner used.

use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context as _;
use cowslipchute_standin::scale::load;
use cowslipchute_standin::scale::load::Rates;
use cowslipchute_standin::scale::platform::Platform;

use super::usage;

/// Names of the processes, with their shares of a core and their ports for clients, readiness and
/// peers. The first gets the larger share and the second serves the clients.
const PROCESSES: [(&str, f64, [u16; 3]); 2] =
    [("owner", 1.0, [21_001, 21_002, 21_003]), ("entry", 0.1, [21_011, 21_012, 21_013])];
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a client's call.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Directory for the settings files; the processes' ids are read from there.
    pub directory: PathBuf,
    /// Number of workers.
    pub workers: usize,
    /// Jobs of short tasks a second.
    pub short: f64,
    /// Jobs of best-effort tasks a second.
    pub best_effort: f64,
    /// Time from the first job until the measurement.
    pub warm_up: Duration,
    /// Length of the measurement.
    pub length: Duration,
}

/// Runs the plan and prints its outcome.
///
/// # Errors
///
/// Returns an error if the platform can't be opened or a process ends.
pub async fn run(plan: &Plan) -> anyhow::Result<()> {
    let platform = Platform::open(plan.workers).await?;
    for (name, share, ports) in PROCESSES {
        let path = plan.directory.join(format!("{name}.json"));
        platform.write_settings(&path, name, ports, share)?;
    }
    eprintln!("settings written; waiting for the processes and {{owner,entry}}.pid");
    let client = reqwest::Client::builder().timeout(CLIENT_TIMEOUT).no_proxy().build()?;
    for (_, _, [_, readiness, _]) in PROCESSES {
        let url = format!("http://127.0.0.1:{readiness}/v1/readyz");
        while !client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    let pid = std::fs::read_to_string(plan.directory.join("owner.pid"))?;
    let pid = pid.trim().parse().context("owner.pid holds a process id")?;
    let entry = ([127, 0, 0, 1], PROCESSES[1].2[0]).into();
    let rates = Rates { short: plan.short, best_effort: plan.best_effort };
    load::spawn(client, entry, rates).await;
    tokio::time::sleep(plan.warm_up).await;
    eprintln!("measuring");
    let counts = &platform.counts;
    let counters = [
        ("starts", &counts.starts),
        ("stops", &counts.stops),
        ("speed limits", &counts.limits),
        ("heartbeats", &counts.heartbeats),
    ];
    let read = |(_, counter): (&str, &AtomicU64)| counter.load(Ordering::Relaxed);
    let (usage_before, before) = (usage::read(pid)?, counters.map(read));
    tokio::time::sleep(plan.length).await;
    let (usage_after, after) = (usage::read(pid)?, counters.map(read));
    let seconds = plan.length.as_secs_f64();
    let mut commands = 0;
    for (index, (name, _)) in counters.iter().enumerate() {
        let count = after[index] - before[index];
        commands += count;
        println!("{name}: {:.0} a second", count as f64 / seconds);
    }
    let mut processor = Duration::ZERO;
    for (name, usage) in &usage_after {
        let earlier = usage_before.get(name).copied().unwrap_or_default();
        let spent = usage.processor.saturating_sub(earlier.processor);
        let sleeps = usage.sleeps.saturating_sub(earlier.sleeps);
        processor += spent;
        println!(
            "thread {name}: {:.3} of a core, {:.0} sleeps a second",
            spent.as_secs_f64() / seconds,
            sleeps as f64 / seconds
        );
    }
    println!(
        "processor: {:.3} of a core, {:.1} µs a command",
        processor.as_secs_f64() / seconds,
        processor.as_secs_f64() * 1e6 / commands.max(1) as f64
    );
    Ok(())
}
