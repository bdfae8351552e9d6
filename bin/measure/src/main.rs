//! Prints measurements of the shipped decisions. `docs/MEASUREMENTS.md` has results and commands.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;
use cowslipchute_measure::capacity;
use cowslipchute_measure::decisions;
use cowslipchute_measure::loopback;
use cowslipchute_measure::loopback::drive;
use cowslipchute_measure::owner;
use cowslipchute_measure::passes;
use cowslipchute_measure::requests;
use cowslipchute_measure::tasks;

/// Measure the shipped decisions in virtual time, and the shipped entry over loopback.
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Request decisions beside simple baselines
    #[bpaf(command)]
    Requests {
        /// Seed of a run; may be given several times
        #[bpaf(long, argument("N"), some("give at least one --seed"))]
        seed: Vec<u64>,
        /// Only this case
        #[bpaf(long, argument("NAME"))]
        case: Option<String>,
        /// Print JSON
        #[bpaf(long)]
        json: bool,
    },
    /// Slopes of each role's cost, and what they come to at the size of two years from now
    #[bpaf(command)]
    Capacity,
    /// What an owner's turns cost by the size of its cell
    #[bpaf(command)]
    Passes,
    /// What each kind of decision and a takeover cost an owner
    #[bpaf(command)]
    Decisions,
    /// Load on a running owner: opens a platform, writes the settings of two scheduler processes
    /// and waits for them
    #[bpaf(command)]
    Owner {
        /// Directory for owner.json and entry.json; holds the owner's process id in owner.pid
        #[bpaf(long, argument("DIR"))]
        directory: PathBuf,
        /// Workers
        #[bpaf(long, argument("N"), fallback(1100), display_fallback)]
        workers: usize,
        /// Jobs of short tasks a second
        #[bpaf(long, argument("R"), fallback(24.0), display_fallback)]
        short: f64,
        /// Jobs of best-effort tasks a second
        #[bpaf(long, argument("R"), fallback(6.0), display_fallback)]
        best_effort: f64,
        /// Seconds from the first of these jobs until the measurement
        #[bpaf(long, argument("S"), fallback(8), display_fallback)]
        warm_up: u64,
        /// Length of the measurement
        #[bpaf(long, argument("S"), fallback(20), display_fallback)]
        seconds: u64,
    },
    /// Load over loopback against the running entry and its backend server, in turns
    #[bpaf(command)]
    Entry {
        /// URL of the service at the entry
        #[bpaf(long, argument("URL"))]
        entry: String,
        /// The same at the backend server
        #[bpaf(long, argument("URL"))]
        direct: String,
        /// Process id of the entry, for its processor time and memory
        #[bpaf(long, argument("PID"))]
        pid: Option<u32>,
        /// Length of the run, at most 120
        #[bpaf(long, argument("S"), fallback(20), display_fallback)]
        seconds: u64,
        /// Connections to each side, at most 1000
        #[bpaf(long, argument("C"), fallback(32), display_fallback)]
        connections: usize,
        /// Requests a second to each side [default: as fast as answers come]
        #[bpaf(long, argument("R"))]
        rate: Option<f64>,
    },
    /// Declare a service for a loopback run in the store of the stand-ins
    #[bpaf(command)]
    Declare {
        /// URL of the store
        #[bpaf(long, argument("URL"))]
        store: String,
        /// Name of the service
        #[bpaf(long, argument("NAME"))]
        service: String,
    },
    /// Task decisions beside first fit, best fit and the same policy without its guard
    #[bpaf(command)]
    Tasks {
        /// Seed of a run; may be given several times
        #[bpaf(long, argument("N"), some("give at least one --seed"))]
        seed: Vec<u64>,
        /// Only this deployment
        #[bpaf(long, argument("NAME"))]
        fleet: Option<String>,
        /// Print JSON
        #[bpaf(long)]
        json: bool,
    },
}

/// Seed of the run in which urgent start latencies are measured.
const CAPACITY_SEED: u64 = 1;

/// Threads that generate load, few because the machine is shared.
const LOAD_THREADS: usize = 3;

fn main() -> anyhow::Result<()> {
    match command().run() {
        Command::Requests { seed, case, json } => print_requests(&seed, case.as_deref(), json),
        Command::Capacity => print_capacity(),
        Command::Passes => {
            print!("{}", passes::report::markdown());
            Ok(())
        }
        Command::Decisions => {
            print!("{}", decisions::report::markdown());
            Ok(())
        }
        Command::Entry { entry, direct, pid, seconds, connections, rate } => {
            print_entry(&drive::Plan { entry, direct, pid, seconds, connections, rate })
        }
        Command::Owner { directory, workers, short, best_effort, warm_up, seconds } => {
            let (warm_up, length) = (Duration::from_secs(warm_up), Duration::from_secs(seconds));
            let plan = owner::run::Plan { directory, workers, short, best_effort, warm_up, length };
            runtime()?.block_on(owner::run::run(&plan))
        }
        Command::Declare { store, service } => {
            runtime()?.block_on(loopback::declare::service(&store, &service))
        }
        Command::Tasks { seed, fleet, json } => print_tasks(&seed, fleet.as_deref(), json),
    }
}

fn print_requests(seeds: &[u64], name: Option<&str>, json: bool) -> anyhow::Result<()> {
    let cases = match name {
        Some(name) => {
            let case = requests::case::find(name);
            std::slice::from_ref(case.with_context(|| format!("there is no case {name:?}"))?)
        }
        None => requests::case::ALL,
    };
    let tables: Vec<_> = cases.iter().map(|case| requests::report::measure(case, seeds)).collect();
    if json {
        println!("{}", serde_json::to_string_pretty(&tables)?);
    } else {
        print!("{}", requests::report::markdown(&tables));
    }
    Ok(())
}

fn print_tasks(seeds: &[u64], name: Option<&str>, json: bool) -> anyhow::Result<()> {
    let fleets = match name {
        Some(name) => {
            let fleet = tasks::fleet::find(name);
            std::slice::from_ref(fleet.with_context(|| format!("there is no fleet {name:?}"))?)
        }
        None => tasks::fleet::ALL,
    };
    let kinds = tasks::policy::Kind::ALL;
    let tables: Vec<_> =
        fleets.iter().map(|fleet| tasks::report::measure(fleet, &kinds, seeds)).collect();
    if json {
        println!("{}", serde_json::to_string_pretty(&tables)?);
    } else {
        print!("{}", tasks::report::markdown(&tables));
    }
    Ok(())
}

fn print_capacity() -> anyhow::Result<()> {
    let costs = capacity::load::Costs::measure()?;
    let domain = tasks::fleet::find("domain").context("the domain's size is gone")?;
    let urgent = tasks::simulation::run(domain, tasks::policy::Kind::Shipped, CAPACITY_SEED);
    print!("{}", capacity::report::markdown(&costs, &urgent));
    Ok(())
}

fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread().worker_threads(LOAD_THREADS).enable_all().build()
}

fn print_entry(plan: &drive::Plan) -> anyhow::Result<()> {
    let outcome = runtime()?.block_on(drive::run(plan))?;
    print!("{}", loopback::report::markdown(plan, &outcome));
    Ok(())
}
