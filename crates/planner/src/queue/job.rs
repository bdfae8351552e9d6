//! State of a job, as tracked by the owner of the cell.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id::Time;
use cowslipchute_base::size::Size;
use cowslipchute_ports::executor::Incarnation;
use cowslipchute_ports::job;
use cowslipchute_ports::job::Accepted;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::State;

use crate::queue::durations::Queue;
use crate::queue::policy::Policy;
use crate::queue::step::Occurrence;
use crate::queue::step::Step;
use crate::queue::task::Place;
use crate::queue::task::Task;
use crate::records::bound::Bound;
use crate::records::record::Record;
use crate::workers::worker::WorkerId;

/// A job that has not ended, or whose final state is not stored yet.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) accepted: Arc<Accepted>,
    pub(crate) policy: Policy,
    /// When this owner received it.
    pub(crate) since: Time,
    /// Position in the order of acceptance; later jobs have higher numbers.
    pub(crate) arrival: u64,
    /// Whether a task is known to have started.
    pub(crate) started: bool,
    /// When this owner first assigned a task of it, if no earlier owner had started it.
    pub(crate) placed_at: Option<Time>,
    /// Number of occurrences that have become due.
    pub(crate) opened: u32,
    /// Number of occurrences that may be open at once, so that the record can be stored. Further
    /// ones that are due are opened as earlier ones end.
    max_open: usize,
    /// The occurrences that have become due and aren't done.
    pub(crate) occurrences: Vec<Occurrence>,
    /// Core-seconds of one occurrence, by the client's estimate.
    pub(crate) work: f64,
    /// Critical path of one occurrence, by the client's estimate.
    pub(crate) critical_path: Duration,
    /// Increases with each change that has to be stored.
    pub(crate) version: u64,
    /// The latest version that is known to be stored.
    pub(crate) stored_version: u64,
    /// When its record is written again without a decision about it, if that is planned.
    pub(crate) rewrite_at: Option<Time>,
    /// Final state, once it is decided.
    pub(crate) end: Option<State>,
}

impl Job {
    /// Returns a job with the initial state of its tasks, whose record may have up to this many
    /// bytes.
    pub(crate) fn new(
        accepted: Arc<Accepted>,
        policy: Policy,
        max_record_bytes: usize,
        since: Time,
        arrival: u64,
    ) -> Job {
        let bound = Bound::of(&accepted.spec, policy.max_attempts);
        let mut job = Job {
            accepted,
            policy,
            since,
            arrival,
            started: false,
            placed_at: None,
            opened: 0,
            max_open: bound.max_open_occurrences(max_record_bytes),
            occurrences: Vec::new(),
            work: 0.0,
            critical_path: Duration::ZERO,
            version: 0,
            stored_version: 0,
            rewrite_at: None,
            end: None,
        };
        job.work = job.accepted.spec.work();
        job.critical_path = job.accepted.spec.critical_path();
        if job.accepted.spec.schedule.is_none() {
            job.open_occurrence(since);
        }
        job
    }

    /// Returns the time within which an occurrence should be done.
    pub(crate) fn objective(&self) -> Duration {
        self.critical_path.mul_f64(self.policy.slack) + self.policy.allowance
    }

    /// Returns the size of one occurrence.
    pub(crate) fn size(&self) -> Size {
        let steps = &self.accepted.spec.steps;
        Size {
            queue: self.accepted.queue.to_string(),
            tasks: steps.iter().map(|step| step.count).sum(),
            core_seconds: self.work,
            max_task_cpu_milli: steps.iter().map(|step| step.demand.cpu_milli).max().unwrap_or(0),
            critical_path: self.critical_path,
            objective: self.objective(),
        }
    }

    /// Returns the total number of occurrences.
    fn total(&self) -> u32 {
        self.accepted.spec.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns when the next occurrence is due that may be opened, as time since the Unix epoch,
    /// 1970.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let schedule = self.accepted.spec.schedule?;
        let open = self.end.is_none() && self.opened < schedule.count && !self.is_full();
        open.then(|| schedule.start + schedule.interval * self.opened)
    }

    pub(crate) fn open_occurrence(&mut self, now: Time) {
        let occurrence = Occurrence::new(&self.accepted.spec, self.opened, now);
        self.occurrences.push(occurrence);
        self.opened += 1;
    }

    /// Replaces the initial state with that of a stored record.
    pub(crate) fn restore(&mut self, record: &Record) {
        self.started = record.started;
        self.opened = record.opened;
        let numbers = record.occurrences.iter().map(|occurrence| occurrence.number);
        let spec = &self.accepted.spec;
        let since = self.since;
        self.occurrences = numbers.map(|number| Occurrence::new(spec, number, since)).collect();
    }

    /// Returns the specification of a step.
    pub(crate) fn spec(&self, step: job::StepIndex) -> &job::Step {
        &self.accepted.spec.steps[usize::from(step)]
    }

    /// Opens the steps whose dependencies are done.
    pub(crate) fn open_steps(&mut self) {
        for occurrence in &mut self.occurrences {
            occurrence.open_steps(&self.accepted.spec);
        }
    }

    /// Removes the occurrences that are done. Returns `true` if others may be opened that had to
    /// wait for that.
    pub(crate) fn drop_done_occurrences(&mut self) -> bool {
        let was_full = self.is_full();
        self.occurrences.retain(|occurrence| !occurrence.is_done());
        was_full && !self.is_full()
    }

    /// Returns `true` if as many occurrences are open as its record can hold.
    fn is_full(&self) -> bool {
        self.occurrences.len() >= self.max_open
    }

    pub(crate) fn step(&self, step: job::StepId) -> Option<&Step> {
        let mut occurrences = self.occurrences.iter();
        let occurrence = occurrences.find(|occurrence| occurrence.number == step.occurrence)?;
        occurrence.steps.get(usize::from(step.step))
    }

    pub(crate) fn step_mut(&mut self, step: job::StepId) -> Option<&mut Step> {
        let mut occurrences = self.occurrences.iter_mut();
        let occurrence = occurrences.find(|occurrence| occurrence.number == step.occurrence)?;
        occurrence.steps.get_mut(usize::from(step.step))
    }

    pub(crate) fn task(&self, task: job::TaskId) -> Option<&Task> {
        self.step(task.step_id())?.tasks.get(task.index as usize)
    }

    /// Returns a task that is known to exist.
    pub(crate) fn task_mut(&mut self, task: job::TaskId) -> &mut Task {
        let step = self.step_mut(task.step_id()).expect("the task was looked up before");
        &mut step.tasks[task.index as usize]
    }

    /// Changes the placement of a task that is known to exist, and updates the step's counts.
    pub(crate) fn move_task(&mut self, task: job::TaskId, to: Place) {
        let step = self.step_mut(task.step_id()).expect("the task was looked up before");
        let place = &mut step.tasks[task.index as usize].place;
        debug_assert!(*place != Place::Done, "a finished task stays finished");
        match *place {
            Place::Waiting => step.waiting -= 1,
            Place::Done => step.done -= 1,
            Place::At(_) => {}
        }
        *place = to;
        match to {
            Place::Waiting => step.waiting += 1,
            Place::Done => step.done += 1,
            Place::At(_) => {}
        }
    }

    /// Returns every step with its id.
    pub(crate) fn steps(&self, id: JobId) -> impl Iterator<Item = (job::StepId, &Step)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            let number = occurrence.number;
            let steps = occurrence.steps.iter().enumerate();
            steps.map(move |(index, step)| {
                let index = index as job::StepIndex;
                (job::StepId { job: id, occurrence: number, step: index }, step)
            })
        })
    }

    /// Returns the open steps that have a waiting task.
    pub(crate) fn waiting_steps(&self, id: JobId) -> Vec<job::StepId> {
        if self.end.is_some() {
            return Vec::new();
        }
        let waiting = self.steps(id).filter(|(_, step)| step.open && step.waiting > 0);
        waiting.map(|(step, _)| step).collect()
    }

    /// Returns `true` if a step consists of service tasks.
    pub(crate) fn has_service_step(&self) -> bool {
        self.accepted.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns `true` if an open step has a waiting task.
    pub(crate) fn has_waiting(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        self.end.is_none() && steps.any(|step| step.open && step.waiting > 0)
    }

    /// Returns the core-seconds of waiting best-effort tasks in open steps.
    pub(crate) fn waiting_best_effort_work(&self) -> f64 {
        let steps = self
            .occurrences
            .iter()
            .flat_map(|occurrence| occurrence.steps.iter().zip(&self.accepted.spec.steps));
        let open = steps.filter(|(state, step)| state.open && step.best_effort);
        open.map(|(state, step)| f64::from(state.waiting) * step.task_work()).sum()
    }

    /// Returns the core-seconds of the tasks that aren't placed, in open steps and later ones.
    pub(crate) fn waiting_work(&self) -> f64 {
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let specs = self.accepted.spec.steps.iter().cycle();
        steps.zip(specs).map(|(state, step)| f64::from(state.waiting) * step.task_work()).sum()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.opened == self.total() && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns the state that a client may see: one that the store holds, or that the next owner
    /// will derive.
    pub(crate) fn state(&self) -> State {
        match self.started {
            true => State::Active,
            false => State::Queued,
        }
    }

    /// Returns since when its oldest open occurrence has been due.
    pub(crate) fn due_since(&self) -> Time {
        self.occurrences.first().map_or(self.since, |occurrence| occurrence.since)
    }

    /// Returns the remaining core-seconds of its oldest open occurrence, by the client's estimate.
    pub(crate) fn remaining_work(&self) -> f64 {
        let Some(occurrence) = self.occurrences.first() else { return 0.0 };
        let steps = occurrence.steps.iter().zip(&self.accepted.spec.steps);
        steps.map(|(state, step)| f64::from(step.count - state.done) * step.task_work()).sum()
    }

    /// Returns the remaining critical path of its oldest open occurrence, by the client's estimate.
    pub(crate) fn remaining_critical_path(&self) -> Duration {
        match self.occurrences.first() {
            Some(occurrence) if occurrence.steps.iter().any(Step::is_done) => {
                self.critical_path_without(|index| occurrence.steps[index].is_done())
            }
            _ => self.critical_path,
        }
    }

    /// Returns the expected remaining critical path of its oldest open occurrence, from the learnt
    /// durations of its queue. Tasks that are done no longer count for the longest of a step.
    pub(crate) fn expected_remaining_path(&self, learnt: &Queue) -> Duration {
        let occurrence = self.occurrences.first();
        self.accepted.spec.critical_path_by(|index, step| {
            let done = occurrence.map_or(0, |occurrence| occurrence.steps[index].done);
            expected_duration(step, step.count.saturating_sub(done), learnt)
        })
    }

    /// Returns the expected critical path of an occurrence.
    pub(crate) fn expected_path(&self, learnt: &Queue) -> Duration {
        self.accepted.spec.critical_path_by(|_, step| expected_duration(step, step.count, learnt))
    }

    /// Returns the critical path of its oldest occurrence by the durations of its runs, if some of
    /// each step were followed.
    pub(crate) fn actual_path(&self) -> Option<Duration> {
        let steps = &self.occurrences.first()?.steps;
        let is_known = steps.iter().all(|step| !step.longest_run.is_zero());
        is_known.then(|| self.accepted.spec.critical_path_by(|index, _| steps[index].longest_run))
    }

    /// Returns the expected time within which an occurrence should be done: clients compute it from
    /// the actual critical path.
    pub(crate) fn expected_objective(&self, learnt: &Queue) -> Duration {
        self.expected_path(learnt).mul_f64(self.policy.slack) + self.policy.allowance
    }

    /// Returns the critical path, leaving out the steps for which `is_done` returns `true`.
    fn critical_path_without(&self, is_done: impl Fn(usize) -> bool) -> Duration {
        let duration = |index, step: &job::Step| match is_done(index) {
            true => Duration::ZERO,
            false => step.estimate,
        };
        self.accepted.spec.critical_path_by(duration)
    }

    pub(crate) fn record(&self, incarnation: impl Fn(WorkerId) -> Option<Incarnation>) -> Record {
        let unfinished = || self.occurrences.iter().filter(|occurrence| !occurrence.is_done());
        Record {
            started: self.started,
            opened: self.opened,
            occurrences: unfinished().map(|occurrence| occurrence.record(&incarnation)).collect(),
            crashes: unfinished().flat_map(Occurrence::crashes).collect(),
            outstanding: Vec::new(),
            waits: Vec::new(),
            settled: Vec::new(),
        }
    }
}

/// Returns the expected duration of a step of which this many tasks are left.
fn expected_duration(step: &job::Step, left: u32, learnt: &Queue) -> Duration {
    match learnt.of(step.best_effort) {
        _ if left == 0 => Duration::ZERO,
        Some(distribution) if !step.long_running => {
            step.estimate.mul_f64(distribution.longest_of(left))
        }
        _ => step.estimate,
    }
}
