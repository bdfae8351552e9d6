//! The placing pass: what waits, in order, onto the workers that have room.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::event::Event as LogEvent;
use cowslipchute_base::id;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;
use foldhash::HashMap;

use crate::bypass::BYPASS_INTERVAL;
use crate::bypass::Placement;
use crate::command::Timer;
use crate::fit::Request;
use crate::host::Hosted;
use crate::host::Stage;
use crate::idle::Rooms;
use crate::idle::Spare;
use crate::job::Place;
use crate::job::Task;
use crate::planner::Planner;
use crate::rate_limit::START_RETRY;
use crate::reclaim::Reclaim;
use crate::reservation::Unplaced;
use crate::worker::WorkerId;

/// How long a job of tasks that fill has nothing at work, though most of the cell is free, until one
/// of its tasks goes where it costs the least: after three seconds the job counts as lost.
const STARVATION_DELAY: Duration = Duration::from_millis(1200);
/// Part of the processors that may be reserved then. The users speak of half.
const MAX_RESERVED_FRACTION: f64 = 0.6;

/// Time for each open worker between two placing passes that look at tasks which fill: their cost to the owner
/// doesn't grow with the cell, and a fill, which works for seconds, waits a little longer for its place.
const BEST_EFFORT_INTERVAL: Duration = Duration::from_micros(100);

/// A demand for which no room was found in this pass; a larger one of the same kind needs no second
/// look.
struct Refused {
    /// The image of a step that fills: where it finds room depends on whom it presses.
    best_effort_image: Option<Option<Arc<str>>>,
    /// Whether the step lasts.
    long_running: bool,
    demand: Amount,
}

/// What one placing pass knows.
struct Pass {
    refused: Vec<Refused>,
    /// The workers that take new tasks, by service.
    open: Vec<(id::Service, Vec<WorkerId>)>,
    /// Whether more of their processors is free than is reserved.
    mostly_free: bool,
    /// Whether tasks that fill are placed in this pass.
    places_best_effort: bool,
    /// What was free on each worker of a service, once a step that lasts has asked.
    rooms: Rooms,
    /// Steps for which a worker may be kept.
    unplaced: Vec<Unplaced>,
    /// Services whose jobs make way for service tasks ([`crate::reclaim`]).
    reclaiming: Vec<Reclaim>,
}

impl Refused {
    fn new(spec: &Step) -> Refused {
        let best_effort_image = spec.fills.then(|| spec.image.clone());
        Refused { best_effort_image, long_running: spec.long_running, demand: spec.demand }
    }

    fn covers(&self, spec: &Step) -> bool {
        let same = self.best_effort_image.as_ref() == spec.fills.then_some(&spec.image);
        same && self.long_running == spec.long_running && self.demand.fits(spec.demand)
    }
}

impl Planner {
    pub(crate) fn place(&mut self) {
        let open = self.open_workers();
        let mostly_free = self.is_mostly_free(&open);
        let places_best_effort = self.now >= self.best_effort_due;
        if places_best_effort {
            self.begin_best_effort(&open);
        }
        self.update_quota(open.iter().flat_map(|(_, workers)| workers).copied());
        self.place_pinned();
        self.drop_reservations();
        self.use_reservations();
        let mut pass = Pass {
            refused: Vec::new(),
            open,
            mostly_free,
            places_best_effort,
            rooms: Vec::new(),
            unplaced: Vec::new(),
            reclaiming: Vec::new(),
        };
        let mut backlog = 0.0;
        for job in self.ranked() {
            if self.yields(job, &mut pass.reclaiming) {
                continue;
            }
            self.place_job(job, &mut pass);
            match self.jobs.get(&job).filter(|job| job.has_waiting()) {
                Some(job) => backlog += job.waiting_best_effort_work(),
                None => drop(self.waiting.remove(&job)),
            }
        }
        self.place_returning(&pass.reclaiming, &pass.open, &pass.unplaced);
        for (service, open) in &pass.open {
            let own = |unplaced: &&Unplaced| self.service(unplaced.step.job) == *service;
            let unplaced = pass.unplaced.iter().filter(own).copied().collect();
            self.reserve_workers(unplaced, open);
        }
        let open = pass.open.iter().flat_map(|(_, workers)| workers);
        let milli: u64 = open.map(|&id| u64::from(self.workers[id].capacity.cpu_milli)).sum();
        self.best_effort_backlog = backlog * 1e3 / (milli.max(1) as f64);
        if !places_best_effort && backlog > 0.0 {
            self.timers.insert((self.best_effort_due, Timer::Place));
        }
    }

    /// Prepares a pass that places tasks which fill, and says when the next one may.
    fn begin_best_effort(&mut self, open: &[(id::Service, Vec<WorkerId>)]) {
        let mut count = 0;
        for &worker in open.iter().flat_map(|(_, workers)| workers) {
            self.refresh_colocation(worker);
            count += 1;
        }
        self.best_effort_due = self.now + BEST_EFFORT_INTERVAL * count;
    }

    fn place_job(&mut self, job: JobId, pass: &mut Pass) {
        for step in self.jobs[&job].waiting_steps(job) {
            self.place_step(step, pass);
            if !pass.mostly_free && self.jobs[&job].spec(step.step).long_running {
                self.add_reclaim(step, &mut pass.reclaiming);
            }
        }
    }

    fn place_step(&mut self, step: StepId, pass: &mut Pass) {
        let accepted = self.jobs[&step.job].accepted.clone();
        let spec = &accepted.spec.steps[usize::from(step.step)];
        if spec.fills && !pass.places_best_effort {
            return;
        }
        let advice = self.queue(step.job).and_then(|queue| queue.advice);
        let starves = pass.mostly_free && spec.fills && self.is_starving(step);
        let narrow = spec.max_per_worker > 0
            || spec.required_label.is_some()
            || spec.data_rack.is_some()
            || spec.same_rack
            || spec.gang
            || advice.is_some();
        if !narrow && !starves && pass.refused.iter().any(|seen| seen.covers(spec)) {
            self.log_wait(step, spec, &pass.open);
            pass.unplaced.extend(Unplaced::of(self, step, spec));
            if spec.long_running {
                self.update_idle(step, 0);
            }
            return;
        }
        let service = self.service(step.job);
        let known = pass.open.iter().find(|(name, _)| *name == service);
        let mut open = known.map(|(_, open)| open.clone()).unwrap_or_default();
        if let Some(advice) = advice {
            open = self.permitted_workers(step, spec, advice, open);
        }
        let open = self.prefer_rack(step, spec, open);
        if spec.gang {
            if !self.place_gang(step, spec, &open, starves) {
                self.log_wait(step, spec, &pass.open);
                pass.unplaced.extend(Unplaced::of(self, step, spec));
            }
            return;
        }
        let mut spare = self.spare(step, spec, &open, &mut pass.rooms);
        if self.place_tasks(step, spec, &open, &mut spare) {
            if let Some(since) = self.probation_since(step) {
                self.isolate_workers(step, spec, since, &open);
                self.log_wait(step, spec, &pass.open);
            }
        } else {
            self.log_wait(step, spec, &pass.open);
            if !narrow {
                pass.refused.push(Refused::new(spec));
            }
            if advice.is_none() {
                pass.unplaced.extend(Unplaced::of(self, step, spec));
            }
        }
        if starves {
            self.place_starving(step, spec, &open);
        }
    }

    fn open_workers(&self) -> Vec<(id::Service, Vec<WorkerId>)> {
        let mut services: Vec<(id::Service, Vec<WorkerId>)> = Vec::new();
        for (id, worker) in self.workers.iter() {
            if !self.is_open(worker) {
                continue;
            }
            match services.iter_mut().find(|(name, _)| *name == worker.service) {
                Some((_, workers)) => workers.push(id),
                None => services.push((worker.service.clone(), vec![id])),
            }
        }
        services
    }

    /// Tells that a step's tasks wait and what is free meanwhile, and from time to time that they still do.
    fn log_wait(&mut self, step: StepId, spec: &Step, open: &[(id::Service, Vec<WorkerId>)]) {
        let now = self.now;
        let state = self.jobs.get_mut(&step.job).and_then(|job| job.step_mut(step));
        let Some(state) = state else { return };
        if let Some(told) = state.waiting_logged_at {
            if now >= told + BYPASS_INTERVAL && !spec.fills {
                state.waiting_logged_at = Some(now);
                self.log_bypass(step, spec);
            }
            return;
        }
        state.waiting_logged_at = Some(now);
        let waiting = state.waiting;
        let on_probation = state.tasks.iter().filter(|task| task.is_on_probation());
        let probation = match on_probation.count() {
            0 => String::new(),
            count => format!("; {count} on probation"),
        };
        let workers = || open.iter().flat_map(|(_, ids)| ids).map(|&id| &self.workers[id]);
        let free: u64 = workers().map(|worker| u64::from(worker.room().cpu_milli)).sum();
        let most = workers().map(|worker| worker.room().cpu_milli).max().unwrap_or(0);
        let kind = if spec.fills { "filling" } else { "reserving" };
        let detail = format!(
            "step {}: {waiting} tasks, {kind} {} each; free {free} in all, {most} on one of {} workers{probation}",
            step.step,
            spec.demand.cpu_milli,
            workers().count()
        );
        self.note(LogEvent::StepWaits, Some(step.job), None, None, detail);
    }

    fn is_mostly_free(&self, open: &[(id::Service, Vec<WorkerId>)]) -> bool {
        let workers = || open.iter().flat_map(|(_, ids)| ids).map(|&id| &self.workers[id]);
        let capacity: u64 = workers().map(|worker| u64::from(worker.capacity.cpu_milli)).sum();
        let reserved: u64 = workers().map(|worker| u64::from(worker.reserved.cpu_milli)).sum();
        (reserved as f64) < capacity as f64 * MAX_RESERVED_FRACTION
    }

    /// Tells whether a step's job has had nothing at work for a while.
    fn is_starving(&self, step: StepId) -> bool {
        let job = &self.jobs[&step.job];
        let mut tasks = job.steps(step.job).flat_map(|(_, state)| &state.tasks);
        if tasks.any(|task| matches!(task.place, Place::At(_))) {
            return false;
        }
        let waiting = job.step(step).into_iter().flat_map(|state| &state.tasks);
        let waiting = waiting.filter(|task| task.place == Place::Waiting);
        waiting
            .map(|task| task.waiting_since)
            .min()
            .is_some_and(|since| self.now >= since + STARVATION_DELAY)
    }

    /// Places one task of a step that found no worker on which it pays, where it costs the least.
    fn place_starving(&mut self, step: StepId, spec: &Step, open: &[WorkerId]) {
        if !self.is_starving(step) {
            return;
        }
        let Some(state) = self.jobs[&step.job].step(step) else { return };
        let free = |index: u32| !self.is_pinned(step.task(index));
        let ready = |&(index, task): &(u32, &Task)| task.is_ready(self.now) && free(index);
        let tasks = || (0..).zip(&state.tasks).filter(ready);
        let trusted = tasks().find(|(_, task)| !task.is_on_probation());
        let Some((index, task)) = trusted.or_else(|| tasks().next()) else { return };
        let quiet =
            task.is_on_probation().then(|| self.probation_workers(task.waiting_since, open));
        let open = quiet.as_deref().unwrap_or(open);
        let id = step.task(index);
        if let Some(worker) =
            self.least_cost_worker(&Request::new(&self.interference, id, spec), open)
        {
            self.assign(id, worker);
            self.refresh_colocation(worker);
        }
    }

    /// Returns the worker with room for a task that fills on which it costs the least, whether or not it pays there.
    pub(crate) fn least_cost_worker(
        &self,
        request: &Request<'_>,
        open: &[WorkerId],
    ) -> Option<WorkerId> {
        let roomy = open.iter().filter(|&&id| self.has_room(&self.workers[id], request));
        let cost = |id: WorkerId| self.interference_cost(&self.workers[id], request);
        roomy.min_by(|&&a, &&b| cost(a).total_cmp(&cost(b))).copied()
    }

    /// Places a step's tasks one by one; tells whether each found room.
    fn place_tasks(
        &mut self,
        step: StepId,
        spec: &Step,
        open: &[WorkerId],
        spare: &mut Spare,
    ) -> bool {
        let Some(state) = self.jobs[&step.job].step(step) else { return true };
        // A task that lasts and has run before is given its room back, so those come first.
        let mut tasks: Vec<(u32, bool)> = state
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| (index as u32, task))
            .filter(|(index, task)| task.is_ready(self.now) && !self.is_pinned(step.task(*index)))
            .map(|(index, task)| (index, task.attempt > 0))
            .collect();
        tasks.sort_by_key(|&(_, ran)| !ran);
        let back = tasks.first().is_some_and(|&(_, ran)| ran);
        if spec.long_running && !self.may_place_service_task(spec, spare, back) {
            return self.wait_for_spare();
        }
        let mut request = Request::new(&self.interference, step.task(0), spec);
        self.ratings += open.len() as u64;
        let mut rated = self.candidates(&request, open);
        for (index, ran) in tasks {
            let waits = !self.sending.allows(self.now);
            if waits && !(self.is_starving(step) && self.sending.allows_starved(self.now)) {
                self.timers.insert((self.now + START_RETRY, Timer::Place));
                return true;
            }
            if spec.long_running && !self.may_place_service_task(spec, spare, ran) {
                return self.wait_for_spare();
            }
            let bound = spec.long_running && !(ran && self.share.allows(spec));
            let task = step.task(index);
            request.set_task(task);
            let state = self.jobs[&task.job].task(task);
            let shunned = state.and_then(|task| task.avoided_worker);
            let suspected = state.is_some_and(|task| !task.crashed.is_empty());
            let probation =
                state.filter(|task| task.is_on_probation()).map(|task| task.waiting_since);
            let chosen = match probation {
                Some(since) => match self.choose_for_probation(&request, since, open) {
                    None => continue,
                    chosen => chosen,
                },
                None => suspected
                    .then(|| self.choose_without_suspect(&request, &rated))
                    .flatten()
                    .or_else(|| self.choose_candidate(&request, shunned, &mut rated)),
            };
            let Some(worker) = chosen else { return false };
            self.assign(task, worker);
            if waits {
                self.sending.shift_to_starved(self.jobs[&task.job].accepted.spec.payload.len());
            }
            if bound && spare.take(spec) {
                self.record_reserve_override(step);
            }
            if spec.fills {
                self.refresh_colocation(worker);
            }
        }
        true
    }

    pub(crate) fn queue(&self, job: JobId) -> Option<&Queue> {
        let config = self.config.as_ref()?;
        config.queue(&self.jobs[&job].accepted.queue)
    }

    /// Returns the service whose workers run a job: what the operator says now, or said last.
    pub(crate) fn service(&self, job: JobId) -> id::Service {
        let queue = self.queue(job).map(|queue| queue.service.clone());
        queue.unwrap_or_else(|| self.jobs[&job].accepted.service.clone())
    }

    pub(crate) fn choose(&self, task: TaskId, spec: &Step, open: &[WorkerId]) -> Option<WorkerId> {
        let shunned = self.jobs[&task.job].task(task).and_then(|task| task.avoided_worker);
        let request = Request::new(&self.interference, task, spec);
        let mut best: Option<(bool, f64, WorkerId)> = None;
        for &id in open {
            let Some(rate) = self.score(&self.workers[id], &request) else { continue };
            let welcome = shunned != Some(id);
            let better = best.is_none_or(|(was_welcome, was, _)| {
                (welcome && !was_welcome) || (welcome == was_welcome && rate > was)
            });
            if better {
                best = Some((welcome, rate, id));
            }
        }
        best.map(|(_, _, id)| id)
    }

    /// Gives a task its place; the start is ordered once the store holds it.
    pub(crate) fn assign(&mut self, task: TaskId, worker: WorkerId) {
        let now = self.now;
        self.mark_dirty(task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        self.sending.charge(job.accepted.spec.payload.len());
        if job.spec(task.step).long_running {
            self.share.take(job.spec(task.step));
        }
        let state = job.task_mut(task);
        state.attempt += 1;
        let run = Run { task, attempt: state.attempt };
        let checkpoint = state.checkpoint.clone();
        let crashes = state.crashed.len();
        let stage = Stage::Intended { version: job.version };
        let spec = job.spec(task.step);
        if !spec.fills {
            self.placements.push(Placement {
                at: now,
                order: job.arrival,
                milli: spec.demand.cpu_milli,
                long_running: spec.long_running,
            });
        }
        let mut hosted = Hosted::new(spec, stage, now);
        hosted.checkpoint = checkpoint;
        hosted.crashes = crashes;
        job.move_task(task, Place::At(worker));
        self.workers[worker].add_run(run, hosted);
        self.workers[worker].isolated_for.take_if(|quiet| quiet.step == task.step_id());
        self.writes.add_intent(worker, run);
    }

    /// Returns the mean work of a queue's jobs as far as they are known, in core-seconds.
    pub(crate) fn mean_work(&self, queue: &str) -> Option<f64> {
        self.mean_work.get(queue).copied()
    }

    /// Learns the size of one more job of a queue.
    pub(crate) fn learn_work(works: &mut HashMap<Arc<str>, f64>, queue: &Arc<str>, work: f64) {
        /// Weight of one job: a few dozen jobs make up the mean.
        const WEIGHT: f64 = 0.03;
        let mean = works.entry(queue.clone()).or_insert(work);
        *mean += WEIGHT * (work - *mean);
    }
}
