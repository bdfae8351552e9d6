//! The settings of this process.

use std::time::Duration;

use bpaf::Bpaf;
use cowslipchute_base::amount::Amount;
use cowslipchute_standin::Plan;
use cowslipchute_standin::backend::plan::Plan as BackendPlan;
use cowslipchute_standin::backend::plan::ServiceTime;
use cowslipchute_standin::plan;
use cowslipchute_standin::worker::behavior::Behavior;
use cowslipchute_standin::worker::timing::Timing;
use thiserror::Error;

/// Platform stand-ins for cowslipchute: store, list of instances, backend servers and workers
#[derive(Clone, Debug)]
#[derive(Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// First of the consecutive ports [default: chosen by the system]
    #[bpaf(long("base-port"), env("COWSLIPCHUTE_STANDIN_BASE_PORT"), argument("PORT"), optional)]
    pub base_port: Option<u16>,
    /// File that receives the addresses as JSON once all servers accept connections
    #[bpaf(long("ready-file"), env("COWSLIPCHUTE_STANDIN_READY_FILE"), argument("PATH"), optional)]
    pub ready_file: Option<String>,
    /// Server threads
    #[bpaf(long("threads"), argument("COUNT"), fallback(2), display_fallback)]
    pub threads: usize,
    /// Seed of all random draws
    #[bpaf(long("seed"), argument("NUMBER"), fallback(1), display_fallback)]
    pub seed: u64,
    /// A failure domain; may be repeated [default: a and b]
    #[bpaf(long("domain"), argument("NAME"))]
    pub domains: Vec<String>,
    /// A service; may be repeated [default: web]
    #[bpaf(long("service"), argument("NAME"))]
    pub services: Vec<String>,
    /// Backend servers of each service in each failure domain
    #[bpaf(long("backends"), argument("COUNT"), fallback(2), display_fallback)]
    pub backends: u16,
    /// Requests that a backend server runs concurrently
    #[bpaf(long("slots"), argument("COUNT"), fallback(8), display_fallback)]
    pub slots: u16,
    /// Requests that may wait for a slot of a backend server
    #[bpaf(long("queue"), argument("COUNT"), fallback(8), display_fallback)]
    pub queue: u16,
    /// Open connections that a backend server accepts
    #[bpaf(long("connections"), argument("COUNT"), fallback(60), display_fallback)]
    pub connections: u16,
    /// Fixed part of a request's service time, in microseconds
    #[bpaf(long("fixed-time-us"), argument("US"), fallback(1000), display_fallback)]
    pub fixed_time_us: u64,
    /// Mean of the drawn part of a request's service time, in microseconds
    #[bpaf(long("drawn-time-us"), argument("US"), fallback(1000), display_fallback)]
    pub drawn_time_us: u64,
    /// Workers in each failure domain
    #[bpaf(long("workers"), argument("COUNT"), fallback(2), display_fallback)]
    pub workers: u16,
    /// Workers in each rack
    #[bpaf(long("workers-per-rack"), argument("COUNT"), fallback(8), display_fallback)]
    pub per_rack: u16,
    /// Processors of a worker, in thousandths
    #[bpaf(long("worker-cpu-milli"), argument("MILLI"), fallback(32_000), display_fallback)]
    pub cpu_milli: u32,
    /// Memory of a worker, in mebibytes
    #[bpaf(long("worker-memory-mib"), argument("MIB"), fallback(128_000), display_fallback)]
    pub memory_mib: u32,
    /// Accelerators of a worker
    #[bpaf(long("worker-accelerators"), argument("COUNT"), fallback(0), display_fallback)]
    pub accelerators: u16,
    /// Time that a worker takes to write a checkpoint, in milliseconds
    #[bpaf(long("checkpoint-ms"), argument("MS"), fallback(200), display_fallback)]
    pub checkpoint_ms: u64,
    /// Lag of the workers' measurements, in milliseconds
    #[bpaf(long("usage-lag-ms"), argument("MS"), fallback(2000), display_fallback)]
    pub usage_lag_ms: u64,
    /// Maximum slowdown of one task by another, in thousandths
    #[bpaf(long("pair-permille"), argument("PERMILLE"), fallback(0), display_fallback)]
    pub pair_permille: u32,
    /// Maximum factor by which the usage of tasks differs from the declared one
    #[bpaf(long("size-spread"), argument("TIMES"), fallback(1), display_fallback)]
    pub size_spread: u32,
    /// Maximum factor by which the duration of tasks differs from the declared one
    #[bpaf(long("time-spread"), argument("TIMES"), fallback(1), display_fallback)]
    pub time_spread: u32,
    /// A job all of whose runs fail; may be repeated
    #[bpaf(long("failing-job"), argument("NAME"))]
    pub failing_jobs: Vec<String>,
    /// Lag of the list of instances, in milliseconds
    #[bpaf(long("list-lag-ms"), argument("MS"), fallback(200), display_fallback)]
    pub list_lag_ms: u64,
    /// Reads that the store admits in each second [default: no limit]
    #[bpaf(long("store-reads"), argument("COUNT"), fallback(u64::MAX))]
    pub store_reads: u64,
    /// Writes and lease calls that the store admits in each second [default: no limit]
    #[bpaf(long("store-writes"), argument("COUNT"), fallback(u64::MAX))]
    pub store_writes: u64,
    /// Interval between progress messages of a watch, in milliseconds
    #[bpaf(long("watch-progress-ms"), argument("MS"), fallback(1000), display_fallback)]
    pub watch_progress_ms: u64,
}

/// An error in the values of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Problem {
    /// A count must not be zero.
    #[error("{0} must be at least 1")]
    Zero(&'static str),
    /// There are too few ports from the first port on.
    #[error("--base-port {base} leaves fewer than {needed} ports")]
    Ports {
        /// The first port.
        base: u16,
        /// Ports needed.
        needed: usize,
    },
}

/// Number of ports for servers other than backend servers and workers: control server, store and
/// list.
const PLATFORM_PORTS: usize = 3;

impl Settings {
    /// Returns the plan of the stand-in.
    pub fn plan(&self) -> Result<Plan, Problem> {
        let counts = [("--slots", self.slots), ("--connections", self.connections)];
        if let Some((name, _)) = counts.into_iter().find(|(_, count)| *count == 0) {
            return Err(Problem::Zero(name));
        }
        let plan = Plan {
            base_port: self.base_port,
            threads: self.threads,
            seed: self.seed,
            domains: names(&self.domains, &["a", "b"]),
            services: self.services(),
            workers: self.workers(),
            behavior: self.behavior(),
            list_lag: Duration::from_millis(self.list_lag_ms),
            store_limits: plan::Limits { reads: self.store_reads, writes: self.store_writes },
            watch_progress: Duration::from_millis(self.watch_progress_ms.max(1)),
        };
        let needed = PLATFORM_PORTS + plan.backends().len() + plan.workers().len();
        match self.base_port {
            Some(base) if usize::from(base) + needed > usize::from(u16::MAX) => {
                Err(Problem::Ports { base, needed })
            }
            _ => Ok(plan),
        }
    }

    fn services(&self) -> Vec<plan::Service> {
        let service_time = ServiceTime {
            fixed: Duration::from_micros(self.fixed_time_us),
            drawn: Duration::from_micros(self.drawn_time_us),
        };
        let backend = BackendPlan {
            slots: self.slots,
            queue: self.queue,
            connections: self.connections,
            service_time,
            seed: self.seed,
        };
        let names = names(&self.services, &["web"]).into_iter();
        names.map(|name| plan::Service { name, per_domain: self.backends, backend }).collect()
    }

    fn workers(&self) -> plan::Workers {
        plan::Workers {
            per_domain: self.workers,
            per_rack: self.per_rack,
            capacity: Amount {
                cpu_milli: self.cpu_milli,
                memory_mib: self.memory_mib,
                accelerators: self.accelerators,
            },
            timing: Timing {
                checkpoint: Duration::from_millis(self.checkpoint_ms),
                measure_lag: Duration::from_millis(self.usage_lag_ms),
                ..Timing::default()
            },
        }
    }

    fn behavior(&self) -> Behavior {
        Behavior {
            seed: self.seed,
            pair_permille: self.pair_permille,
            size_spread: self.size_spread,
            time_spread: self.time_spread,
            failing: self.failing_jobs.iter().map(|job| job.as_str().into()).collect(),
        }
    }
}

fn names(given: &[String], default: &[&str]) -> Vec<std::sync::Arc<str>> {
    if given.is_empty() {
        return default.iter().copied().map(Into::into).collect();
    }
    given.iter().map(|name| name.as_str().into()).collect()
}
