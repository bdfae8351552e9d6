//! Deployments on which the task policies are measured.

use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_resource::policy;

/// A deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Workers per rack.
    pub rack: usize,
    /// Capacity of a worker.
    pub capacity: Amount,
    /// Paying services, which run until the end.
    pub services: &'static [Service],
    /// Mean actual CPU use of a batch task, in thousandths of a processor.
    pub batch_cpu: f64,
    /// Mean actual memory use of a batch task, in mebibytes.
    pub batch_memory: f64,
    /// Mean run time of a batch task in seconds, at full speed and without interference.
    pub batch_seconds: f64,
    /// Tasks per batch job.
    pub batch_tasks: u32,
    /// Batch load as a share of the CPU that paying services leave.
    pub offered: f64,
    /// Mean time between urgent tasks.
    pub urgent_interval: Duration,
    /// Workers that crash, one at a time, spread evenly over the run.
    pub crashes: usize,
    /// Workers on which every run fails, from a fifth of the run on.
    pub failing: usize,
    /// Length of the run.
    pub length: Duration,
    /// Profile of the policy settings.
    pub profile: fn() -> policy::Spec,
}

/// A paying service.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of a task.
    pub amount: Amount,
}

const fn service(tasks: u32, cpu_milli: u32, memory_mib: u32) -> Service {
    Service { tasks, amount: Amount { cpu_milli, memory_mib, accelerators: 0 } }
}

/// Warm-up time before measurements are recorded, in which the workers fill up.
pub const WARM_UP: Duration = Duration::from_secs(60);

/// Mebibytes in 125 GB.
const MIB_125_GB: u32 = 119_209;

/// All deployments.
///
/// Memory limits how many paying tasks share a worker: one in today's deployments, at most four in
/// the domain planned for two years from now. Batch tasks therefore have to run beside them.
pub const ALL: &[Fleet] = &[
    Fleet {
        name: "evictions-first",
        workers: 50,
        rack: 8,
        capacity: Amount { cpu_milli: 32_000, memory_mib: MIB_125_GB, accelerators: 0 },
        services: &[service(30, 12_000, 64_000), service(20, 12_000, 64_000)],
        batch_cpu: 2_000.0,
        batch_memory: 2_000.0,
        batch_seconds: 120.0,
        batch_tasks: 40,
        offered: 1.4,
        urgent_interval: Duration::from_secs(8),
        crashes: 3,
        failing: 1,
        length: Duration::from_secs(900),
        profile: policy::Spec::evictions_first,
    },
    Fleet {
        name: "latency-first",
        workers: 50,
        rack: 6,
        capacity: Amount { cpu_milli: 64_000, memory_mib: 2 * MIB_125_GB, accelerators: 0 },
        services: &[service(30, 24_000, 130_000), service(20, 24_000, 130_000)],
        batch_cpu: 3_000.0,
        batch_memory: 3_000.0,
        batch_seconds: 120.0,
        batch_tasks: 60,
        offered: 1.4,
        urgent_interval: Duration::from_secs(8),
        crashes: 3,
        failing: 1,
        length: Duration::from_secs(900),
        profile: policy::Spec::latency_first,
    },
    Fleet {
        name: "domain",
        workers: 1_000,
        rack: 40,
        capacity: Amount { cpu_milli: 64_000, memory_mib: 2 * MIB_125_GB, accelerators: 0 },
        services: &[
            service(900, 8_000, 50_000),
            service(900, 8_000, 50_000),
            service(800, 8_000, 50_000),
            service(678, 6_000, 50_000),
        ],
        batch_cpu: 1_500.0,
        batch_memory: 800.0,
        batch_seconds: 60.0,
        batch_tasks: 400,
        offered: 1.3,
        urgent_interval: Duration::from_millis(500),
        crashes: 5,
        failing: 5,
        length: Duration::from_secs(240),
        profile: policy::Spec::default,
    },
];

/// Finds a deployment by name.
pub fn find(name: &str) -> Option<&'static Fleet> {
    ALL.iter().find(|fleet| fleet.name == name)
}

impl Fleet {
    /// Returns the CPU that paying services leave, in thousandths of a processor.
    pub fn available_cpu(&self) -> f64 {
        let all = self.workers as f64 * f64::from(self.capacity.cpu_milli);
        let paying = self
            .services
            .iter()
            .map(|service| f64::from(service.tasks) * f64::from(service.amount.cpu_milli));
        all - paying.sum::<f64>()
    }

    /// Returns the arrival rate of batch jobs, per second.
    pub fn jobs_per_second(&self) -> f64 {
        let task = self.batch_cpu * self.batch_seconds;
        self.offered * self.available_cpu() / (task * f64::from(self.batch_tasks))
    }
}
