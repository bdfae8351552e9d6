//! Runs the soak over a range of seeds and prints what each found.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_e2e::soak;
use cowslipchute_e2e::soak::Plan;
use cowslipchute_e2e::soak::Report;
use cowslipchute_e2e::soak::overload;

/// Plays faults on real processes and checks the promises
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
struct Settings {
    /// First seed
    #[bpaf(long("seed"), argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// How many seeds
    #[bpaf(long("seeds"), argument("NUMBER"), fallback(1), display_fallback)]
    seeds: u64,
    /// How long faults come, in seconds
    #[bpaf(long("seconds"), argument("S"), fallback(15), display_fallback)]
    seconds: u64,
    /// Our processes
    #[bpaf(long("members"), argument("NUMBER"), fallback(4), display_fallback)]
    members: usize,
    /// Workers; 4, or 300 for a soak of overload
    #[bpaf(long("workers"), argument("NUMBER"), optional)]
    workers: Option<usize>,
    /// Plays overload: processes with a share of a core, at the limit of what they carry
    #[bpaf(long("overload"))]
    has_overload: bool,
    /// Share of a core that each process has, in an overload
    #[bpaf(long("share"), argument("PART"), fallback(0.1), display_fallback)]
    share: f64,
    /// Jobs a second, in an overload
    #[bpaf(long("rate"), argument("NUMBER"), fallback(50.0), display_fallback)]
    rate: f64,
    /// Jobs of a burst, in an overload
    #[bpaf(long("burst"), argument("NUMBER"), fallback(100), display_fallback)]
    burst: usize,
    /// Times that all triggers are played, in an overload
    #[bpaf(long("rounds"), argument("NUMBER"), fallback(2), display_fallback)]
    rounds: usize,
    /// Seconds for which a cell that doesn't keep up is watched, in an overload
    #[bpaf(long("watched"), argument("S"), fallback(60), display_fallback)]
    watched: u64,
}

/// Workers of a soak without and with overload.
const WORKERS: usize = 4;
const OVERLOAD_WORKERS: usize = 300;
/// Time for which starts are checked in a soak of overload, before and after the triggers.
const CHECKED: Duration = Duration::from_secs(4);
/// By then after the triggers of a soak of overload the cell keeps up again.
const SETTLED: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let settings = settings().run();
    let mut failed = 0;
    for seed in settings.seed..settings.seed + settings.seeds {
        let report = if settings.has_overload {
            play_overload(&settings, seed).await?
        } else {
            play(&settings, seed).await?
        };
        for broken in &report.broken {
            println!("    {broken}");
        }
        if let Some(logs) = &report.logs {
            println!("    logs: {}", logs.display());
        }
        if !report.broken.is_empty() {
            failed += 1;
            println!("    faults: {}", report.faults.join("; "));
        }
    }
    println!("{failed} of {} seeds failed", settings.seeds);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn play(settings: &Settings, seed: u64) -> anyhow::Result<Report> {
    let plan = Plan {
        seed,
        span: Duration::from_secs(settings.seconds),
        members: settings.members,
        workers: settings.workers.unwrap_or(WORKERS),
        has_service_tasks: true,
    };
    let report = soak::run(plan).await?;
    println!(
        "seed {seed}: {} jobs, {} taken in, {} refused, {} faults, {:.1} s calm, service tasks waited {:.1} s, {} broken",
        report.jobs,
        report.accepted,
        report.refused,
        report.faults.len(),
        report.calm.as_secs_f64(),
        report.longest_wait.as_secs_f64(),
        report.broken.len()
    );
    Ok(report)
}

async fn play_overload(settings: &Settings, seed: u64) -> anyhow::Result<Report> {
    let plan = overload::Plan {
        seed,
        members: settings.members,
        workers: settings.workers.unwrap_or(OVERLOAD_WORKERS),
        share: settings.share,
        rate: settings.rate,
        burst: settings.burst,
        rounds: settings.rounds,
        settled: SETTLED,
        checked: CHECKED,
        watched: Duration::from_secs(settings.watched),
    };
    let report = overload::run(plan).await?;
    println!("seed {seed}: {report}");
    Ok(report.soak)
}
