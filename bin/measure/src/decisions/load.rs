//! Open jobs of a cell: short jobs, jobs of best-effort tasks and services.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Spec;
use cowslipchute_ports::job::Step;

/// Number of images of each kind of job.
const IMAGES: u64 = 16;
/// Latency target of a service task.
const LATENCY_TARGET: Duration = Duration::from_millis(150);
/// Number of tasks of a service.
const SERVICE_TASKS: usize = 24;

/// Kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Many short tasks that reserve their CPU.
    Short,
    /// Best-effort tasks.
    BestEffort,
    /// Tasks that run on, with a latency target.
    Service,
}

/// Number of open jobs of each kind.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Short jobs.
    pub short: usize,
    /// Jobs of best-effort tasks.
    pub best_effort: usize,
    /// Services.
    pub services: usize,
}

impl Load {
    /// Returns two service tasks a worker and as many other jobs as there are to be, more than fit.
    pub fn full(workers: usize, jobs: usize) -> Load {
        let services = workers * 2 / SERVICE_TASKS;
        let short = (jobs - services) / 2;
        Load { short, best_effort: jobs - services - short, services }
    }

    /// Returns one service task a worker and jobs that leave about half of the cell free.
    pub fn partly_free(workers: usize) -> Load {
        Load { short: workers / 20, best_effort: workers / 50, services: workers / SERVICE_TASKS }
    }
}

impl Kind {
    /// Returns how long a task runs, unless it runs on.
    pub fn duration(self) -> Option<Duration> {
        match self {
            Kind::Short => Some(Duration::from_millis(640)),
            Kind::BestEffort => Some(Duration::from_millis(2700)),
            Kind::Service => None,
        }
    }

    /// Returns the kind of a job; its number tells it.
    pub fn of(job: JobId) -> Kind {
        match job % 3 {
            0 => Kind::Short,
            1 => Kind::BestEffort,
            _ => Kind::Service,
        }
    }

    /// Returns the number of the `index`th job of this kind.
    pub fn job(self, index: u64) -> JobId {
        index * 3
            + match self {
                Kind::Short => 0,
                Kind::BestEffort => 1,
                Kind::Service => 2,
            }
    }

    /// Returns a job of this kind as it is accepted.
    pub fn accepted(self, job: JobId) -> Arc<Accepted> {
        let image = |name: &str| Some(format!("{name}-{}", job / 3 % IMAGES).as_str().into());
        let (queue, step) = match self {
            Kind::Short => ("short", Step { count: 13, demand: amount(6_400), ..Step::default() }),
            Kind::BestEffort => (
                "filling",
                Step {
                    count: 40,
                    demand: amount(3_500),
                    best_effort: true,
                    checkpointing: true,
                    image: image("filling"),
                    ..Step::default()
                },
            ),
            Kind::Service => (
                "serving",
                Step {
                    count: SERVICE_TASKS as u32,
                    demand: amount(11_000),
                    long_running: true,
                    image: image("serving"),
                    latency_target: Some(LATENCY_TARGET),
                    ..Step::default()
                },
            ),
        };
        let estimate = self.duration().unwrap_or(Duration::from_millis(500));
        let steps = vec![Step { estimate, ..step }];
        let spec = Spec { payload: "payload".into(), steps, schedule: None };
        let (queue, service) = (queue.into(), "desk".into());
        Arc::new(Accepted { queue, service, spec, cancelled: false })
    }
}

fn amount(cpu_milli: u32) -> Amount {
    Amount { cpu_milli, memory_mib: cpu_milli, accelerators: 0 }
}
