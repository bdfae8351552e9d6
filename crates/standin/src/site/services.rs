//! Service tasks that wait although there is room for two of their kind.
//!
//! From a time after its last run, or after its job was accepted, a service task may not wait for
//! long beside such room. Only the test knows when it disturbs the site, so it reports that here.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::TaskId;

use super::State;
use super::owners;
use super::worker::Worker;

/// Field of a step that bounds its tasks on one worker, as the platform's clients write it.
pub const MAX_PER_WORKER_FIELD: &str = "max-per-server";

/// Time after a task's last run, or after its job was accepted, in which its wait doesn't count.
const RETURN_TIME: Duration = Duration::from_secs(6);
/// Time without disturbance after which the site is calm.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Maximum time that a task may wait beside room for two of its kind.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Number of tasks for which there has to be room.
const MIN_SLOTS: u32 = 2;
/// The interval at which the tasks are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// After a longer pause between two samples, what happened in between is unknown.
const MAX_GAP: Duration = Duration::from_millis(250);

/// What doesn't change while the site is calm.
#[derive(Debug, Default)]
#[derive(PartialEq, Eq)]
struct Situation {
    /// The creation of the owner's entry.
    owner: Option<u64>,
    /// The evacuated failure domains.
    evacuated: BTreeSet<id::Domain>,
    /// Each machine's worker with its incarnation, and whether it is up.
    workers: BTreeMap<String, (id::Instance, id::Incarnation, bool)>,
}

/// The service tasks that should run, and for how long they have waited.
#[derive(Debug, Default)]
pub struct Services {
    /// The service jobs that were accepted, with the time of that.
    accepted: BTreeMap<JobId, Time>,
    last_runs: BTreeMap<TaskId, Time>,
    since: BTreeMap<TaskId, Time>,
    situation: Situation,
    disturbed_until: Time,
    sampled_at: Time,
    /// Whether a fault is active.
    pub is_faulty: bool,
    /// Whether all faults have ended long ago, so that waits count whatever happens.
    pub has_settled: bool,
    /// The time in which waits were counted.
    pub counted: Duration,
    /// The longest wait.
    pub longest: Duration,
}

impl Services {
    /// Records that a service job was accepted.
    pub fn accept(&mut self, job: JobId, now: Time) {
        self.accepted.entry(job).or_insert(now);
    }

    /// Records that the tasks of a job needn't run any more.
    pub fn dismiss(&mut self, job: JobId) {
        self.accepted.remove(&job);
    }

    /// Records a disturbance that lasts until a time.
    pub fn disturb(&mut self, until: Time) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    fn is_calm(&self, now: Time) -> bool {
        now >= self.disturbed_until + SETTLE_TIME
    }

    /// Returns `true` if a task's last run, or the acceptance of its job, is long enough ago.
    fn should_be_back(&self, task: TaskId, now: Time) -> bool {
        let last = self.last_runs.get(&task).or_else(|| self.accepted.get(&task.job));
        last.is_some_and(|&last| now >= last + RETURN_TIME)
    }
}

impl State {
    /// Records the service tasks that run, and samples those that don't.
    pub(super) fn watch_services(&mut self, now: Time) {
        for (run, active) in self.workers.values().flat_map(|worker| &worker.active) {
            if active.step.long_running {
                self.services.last_runs.insert(run.task, now);
            }
        }
        let elapsed = now.saturating_sub(self.services.sampled_at);
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        self.services.sampled_at = now;
        let situation = self.situation();
        if self.is_disturbed(&situation) || elapsed > MAX_GAP {
            self.services.disturb(now);
        }
        self.services.situation = situation;
        let counts = self.services.is_calm(now) || self.services.has_settled;
        if !counts || elapsed > MAX_GAP {
            self.services.since.clear();
            return;
        }
        self.services.counted += elapsed;
        self.sample_services(now);
    }

    fn situation(&self) -> Situation {
        let worker = |worker: &Worker| (worker.name.clone(), worker.start_time_ms, worker.up);
        let workers = self.workers.iter().map(|(machine, known)| (machine.clone(), worker(known)));
        Situation {
            owner: self.store.created(owners::KEY),
            evacuated: self.evacuations.domains().cloned().collect(),
            workers: workers.collect(),
        }
    }

    fn is_disturbed(&self, situation: &Situation) -> bool {
        let is_faulty = |worker: &Worker| worker.up != worker.listed;
        *situation != self.services.situation
            || situation.owner.is_none()
            || self.services.is_faulty
            || !self.lists_machines
            || self.workers.values().any(is_faulty)
    }

    fn sample_services(&mut self, now: Time) {
        let mut since = BTreeMap::new();
        for task in self.overdue_tasks(now) {
            let began = self.services.since.get(&task).copied().unwrap_or(now);
            let waited = now - began;
            let was_over = self.services.longest > MAX_WAIT;
            self.services.longest = self.services.longest.max(waited);
            if waited > MAX_WAIT && !was_over {
                let text = format!("{task} is to last and waits beside room for two");
                self.violations.push(text);
            }
            since.insert(task, began);
        }
        self.services.since = since;
    }

    /// Returns the service tasks that should run and don't although there is room for two.
    fn overdue_tasks(&self, now: Time) -> Vec<TaskId> {
        let mut overdue = Vec::new();
        for &job in self.services.accepted.keys() {
            let steps = self.jobs.get(&job).map_or(&[][..], |spec| &spec.steps);
            for (index, step) in steps.iter().enumerate() {
                let id = |task| TaskId { job, occurrence: 0, step: index as _, index: task };
                let waiting = (0..step.count).map(id).filter(|&task| {
                    !self.runs(task)
                        && self.services.should_be_back(task, now)
                        && self.slots(task, step) >= MIN_SLOTS
                });
                overdue.extend(waiting);
            }
        }
        overdue
    }

    fn runs(&self, task: TaskId) -> bool {
        let mut runs = self.workers.values().flat_map(|worker| worker.active.keys());
        runs.any(|run| run.task == task)
    }

    /// Returns how many tasks of a step fit on the workers that it may use.
    fn slots(&self, task: TaskId, step: &Step) -> u32 {
        let usable = self.workers.values().filter(|worker| {
            let evacuated = self.evacuations.domains().any(|domain| *domain == worker.domain);
            worker.up && worker.listed && !worker.draining && !evacuated
        });
        usable.map(|worker| slots_of(worker, task, step)).sum()
    }
}

fn slots_of(worker: &Worker, task: TaskId, step: &Step) -> u32 {
    let free = worker.free();
    let fitting = (free.cpu_milli / step.demand.cpu_milli.max(1))
        .min(free.memory_mib / step.demand.memory_mib.max(1));
    let of_step = worker.active.keys().filter(|run| run.task.step_id() == task.step_id());
    match step.max_per_worker {
        0 => fitting,
        most => fitting.min(most.saturating_sub(of_step.count() as u32)),
    }
}
