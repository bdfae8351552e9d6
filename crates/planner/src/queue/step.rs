//! State of the steps of one occurrence of a job.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::job;

use crate::capacity::idle::Idle;
use crate::colocation::load::Load;
use crate::placement::advice::Permit;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::records::bound::MAX_CHECKPOINT_BYTES;
use crate::records::record;
use crate::service::decision::Decision;
use crate::service::overdue::Watch;
use crate::workers::worker::WorkerId;

/// A step of a job.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are `Place::Waiting`.
    pub(crate) waiting: u32,
    /// Number of tasks that are `Place::Done`.
    pub(crate) done: u32,
    /// Whether every step that it depends on is done.
    pub(crate) open: bool,
    /// Permit of the advisory service, if it was queried.
    pub(crate) permit: Option<Permit>,
    /// Capacity that has stayed idle while its tasks wait, for service tasks.
    pub(crate) idle: Idle,
    /// Capacity that an observer has seen beside its waiting tasks, for service tasks.
    pub(crate) watch: Watch,
    /// When it was last logged that its tasks found no worker.
    pub(crate) waiting_logged_at: Option<Time>,
    /// The last decision about its service tasks that left some waiting.
    pub(crate) decision: Option<Box<Decision>>,
    /// When it was last logged why its service tasks wait.
    pub(crate) service_wait_logged_at: Option<Time>,
    /// Duration of its longest run that has completed, if durations are learnt.
    pub(crate) longest_run: Duration,
    /// Load of a step of latency-critical tasks, once it was measured.
    pub(crate) load: Option<Load>,
}

impl Step {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// One occurrence of a job; a job without a schedule has exactly one.
#[derive(Clone, Debug)]
pub(crate) struct Occurrence {
    pub(crate) number: job::Occurrence,
    /// When this owner opened it.
    pub(crate) since: Time,
    pub(crate) steps: Vec<Step>,
}

impl Occurrence {
    pub(super) fn new(spec: &job::Spec, number: job::Occurrence, since: Time) -> Occurrence {
        let steps = spec.steps.iter().map(|step| Step {
            tasks: (0..step.count).map(|_| Task::new(since)).collect(),
            waiting: step.count,
            done: 0,
            open: false,
            permit: None,
            waiting_logged_at: None,
            decision: None,
            service_wait_logged_at: None,
            idle: Idle::default(),
            watch: Watch::default(),
            longest_run: Duration::ZERO,
            load: None,
        });
        let mut occurrence = Occurrence { number, since, steps: steps.collect() };
        occurrence.open_steps(spec);
        occurrence
    }

    pub(super) fn open_steps(&mut self, spec: &job::Spec) {
        for index in 0..self.steps.len() {
            let after = &spec.steps[index].after;
            let open = after.iter().all(|&earlier| self.steps[usize::from(earlier)].is_done());
            self.steps[index].open |= open;
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    pub(super) fn record(
        &self,
        incarnation: &impl Fn(WorkerId) -> Option<Incarnation>,
    ) -> record::Occurrence {
        let steps = self.steps.iter().map(|step| {
            if step.tasks.iter().all(|task| task.attempt == 0) {
                return Vec::new();
            }
            step.tasks.iter().map(|task| task_record(task, incarnation)).collect()
        });
        record::Occurrence { number: self.number, steps: steps.collect() }
    }

    /// Returns the crashes counted against its suspects, for the record.
    pub(super) fn crashes(&self) -> impl Iterator<Item = record::Crashes> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(move |(step, state)| {
            let tasks = state.tasks.iter().enumerate();
            let suspects =
                tasks.filter(|(_, task)| task.place != Place::Done && !task.crashed.is_empty());
            suspects.map(move |(index, task)| record::Crashes {
                occurrence: self.number,
                step: step as job::StepIndex,
                index: index as id::TaskIndex,
                attempts: task.crashed.clone(),
            })
        })
    }
}

fn task_record(
    task: &Task,
    incarnation: &impl Fn(WorkerId) -> Option<Incarnation>,
) -> record::Task {
    record::Task {
        attempt: task.attempt,
        done: task.place == Place::Done,
        failed: task.failed.clone(),
        worker: match task.place {
            Place::At(worker) => incarnation(worker),
            Place::Waiting | Place::Done => None,
        },
        checkpoint: task.checkpoint.clone().filter(|checkpoint| {
            task.place != Place::Done && checkpoint.len() <= MAX_CHECKPOINT_BYTES
        }),
    }
}
