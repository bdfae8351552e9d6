//! The placement pass, which assigns waiting tasks to workers with free capacity in the order of
//! rank.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::deployment::Queue;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::JobId;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_ports::job::TaskId;
use foldhash::HashMap;

use crate::capacity::idle::Choice;
use crate::capacity::idle::Rooms;
use crate::capacity::idle::Spare;
use crate::capacity::reservation::Unplaced;
use crate::owner::rate_limit::START_RETRY;
use crate::placement::fit::Precedence;
use crate::placement::fit::Request;
use crate::placement::refused::Refused;
use crate::planner::Planner;
use crate::queue::bypass::Placement;
use crate::queue::task::Place;
use crate::service::decision::Decision;
use crate::service::decision::Gate;
use crate::service::decision::Outcome;
use crate::service::freed::Freed;
use crate::service::overdue::Urgency;
use crate::service::reclaim::Reclaim;
use crate::service::way::Way;
use crate::workers::command::Timer;
use crate::workers::host::Hosted;
use crate::workers::host::Stage;
use crate::workers::worker::WorkerId;

/// A cell counts as mostly free if less than this fraction of its CPU is reserved. Users expect one
/// half.
const MAX_RESERVED_FRACTION: f64 = 0.6;

/// Time for each open worker between two passes that place best-effort tasks, so that their cost to
/// the owner doesn't grow with the cell. A best-effort task runs for seconds and can wait a little
/// longer.
const BEST_EFFORT_INTERVAL: Duration = Duration::from_micros(100);

/// State of one placement pass.
struct Pass {
    refused: Vec<Refused>,
    /// Workers that accept new tasks, by service.
    open: Vec<(id::Service, Vec<WorkerId>)>,
    /// Whether less than [`MAX_RESERVED_FRACTION`] of their CPU is reserved.
    mostly_free: bool,
    /// Whether best-effort tasks are placed in this pass.
    places_best_effort: bool,
    /// Free capacity of each worker of a service, filled in when a service step first needs it.
    rooms: Rooms,
    /// Steps for which a worker may be reserved.
    unplaced: Vec<Unplaced>,
    /// Services whose jobs yield to service tasks ([`crate::service::reclaim`]).
    reclaiming: Vec<Reclaim>,
}

impl Planner {
    pub(crate) fn place(&mut self) {
        self.passes += 1;
        self.service_waits.begin_pass();
        self.begin_start_window();
        self.freed = Freed::default();
        let open = self.open_workers();
        let mostly_free = self.is_mostly_free(&open);
        let places_best_effort = self.now >= self.best_effort_due;
        if places_best_effort {
            self.begin_best_effort(&open);
        }
        self.update_quota(open.iter().flat_map(|(_, workers)| workers).copied());
        self.place_pinned();
        self.drop_reservations();
        self.update_watches();
        self.place_overdue();
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
        self.update_shares(&pass.open);
        for job in self.ranked() {
            if self.yields(job, &mut pass.reclaiming) {
                continue;
            }
            // Service steps are looked at in each pass, since their waits are followed.
            if self.start_window.admits(job) || self.jobs[&job].has_service_step() {
                self.place_job(job, &mut pass);
            }
            match self.jobs.get(&job).filter(|job| job.has_waiting()) {
                Some(job) => backlog += job.waiting_best_effort_work(),
                None => drop(self.waiting.remove(&job)),
            }
        }
        self.record_contention(&pass.unplaced);
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

    /// Records whether short tasks that can still finish before they count as lost found no worker.
    fn record_contention(&mut self, unplaced: &[Unplaced]) {
        let is_contended = unplaced.iter().any(|&Unplaced { step, .. }| {
            let job = &self.jobs[&step.job];
            !job.spec(step.step).long_running && !self.is_lost(job)
        });
        if is_contended {
            self.reserve.record_unplaced(self.now);
        }
    }

    /// Prepares a pass that places best-effort tasks, and sets the time of the next one.
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
        if spec.best_effort && !pass.places_best_effort {
            return;
        }
        let decision = self.decide_step(step, spec, pass);
        if spec.long_running {
            self.record_decision(step, decision);
            self.log_service_wait(step, spec);
        }
    }

    /// Places the tasks of a step, as far as they can be. Returns what was decided about the rest.
    fn decide_step(&mut self, step: StepId, spec: &Step, pass: &mut Pass) -> Decision {
        let mut decision = Decision::open(self.now, pass.mostly_free);
        let advice = self.queue(step.job).and_then(|queue| queue.advice);
        let is_starving = pass.mostly_free && spec.best_effort && self.is_starving(step);
        let is_constrained = spec.max_per_worker > 0
            || spec.required_label.is_some()
            || spec.data_rack.is_some()
            || spec.same_rack
            || spec.gang
            || advice.is_some();
        let mut refused = pass.refused.iter();
        if !is_constrained
            && !is_starving
            && let Some(refused) = refused.find(|seen| seen.covers(spec))
        {
            decision.refuse(Gate::Covered(refused.demand));
            self.log_wait(step, spec);
            pass.unplaced.extend(Unplaced::of(self, step, spec));
            if spec.long_running {
                self.update_idle(step, 0);
            }
            return decision;
        }
        let service = self.service(step.job);
        let known = pass.open.iter().find(|(name, _)| *name == service);
        let mut open = known.map(|(_, open)| open.clone()).unwrap_or_default();
        decision.open = open.len();
        if let Some(advice) = advice {
            open = self.permitted_workers(step, spec, advice, open);
        }
        decision.permitted = open.len();
        let open = self.prefer_rack(step, spec, open);
        decision.near = open.len();
        if spec.gang {
            if let Some(gate) = self.place_gang(step, spec, &open, is_starving) {
                decision.refuse(gate);
                self.log_wait(step, spec);
                pass.unplaced.extend(Unplaced::of(self, step, spec));
            }
            return decision;
        }
        let choice = Choice { workers: &open, is_narrowed: decision.near < decision.open };
        let mut spare = self.spare(step, spec, choice, &mut pass.rooms);
        decision.outcome = self.place_tasks(step, spec, &open, &mut spare);
        if decision.outcome.gate != Some(Gate::NoWorker) {
            if let Some(since) = self.probation_since(step) {
                self.isolate_workers(step, spec, since, &open);
                self.log_wait(step, spec);
            }
        } else {
            self.log_wait(step, spec);
            if !is_constrained {
                pass.refused.push(Refused::new(spec));
            }
            if advice.is_none() {
                pass.unplaced.extend(Unplaced::of(self, step, spec));
            }
        }
        if is_starving {
            self.place_starving(step, spec, &open);
        }
        decision
    }

    pub(crate) fn open_workers(&self) -> Vec<(id::Service, Vec<WorkerId>)> {
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

    fn is_mostly_free(&self, open: &[(id::Service, Vec<WorkerId>)]) -> bool {
        let workers = || open.iter().flat_map(|(_, ids)| ids).map(|&id| &self.workers[id]);
        let capacity: u64 = workers().map(|worker| u64::from(worker.capacity.cpu_milli)).sum();
        let reserved: u64 = workers().map(|worker| u64::from(worker.reserved.cpu_milli)).sum();
        (reserved as f64) < capacity as f64 * MAX_RESERVED_FRACTION
    }

    /// Places a step's tasks one by one, until one has to wait for anything but its probation.
    fn place_tasks(
        &mut self,
        step: StepId,
        spec: &Step,
        open: &[WorkerId],
        spare: &mut Spare,
    ) -> Outcome {
        let mut outcome = Outcome::default();
        let Some(state) = self.jobs[&step.job].step(step) else { return outcome };
        // A service task that has run before may get its capacity back, so those come first.
        let mut tasks: Vec<(u32, Urgency, Time)> = state
            .tasks
            .iter()
            .enumerate()
            .map(|(index, task)| (index as u32, task))
            .filter(|(index, task)| task.is_ready(self.now) && !self.is_pinned(step.task(*index)))
            .map(|(index, task)| (index, self.urgency(task), task.waiting_since))
            .collect();
        tasks.sort_by_key(|&(_, urgency, since)| (urgency, since));
        let first = tasks.first().map_or(Urgency::New, |&(_, urgency, _)| urgency);
        if spec.long_running && self.service_way(spec, spare, first).is_none() {
            self.wait_for_spare();
            return outcome.refused(Gate::Reserve(*spare));
        }
        let mut request = Request::new(&self.interference, step.task(0), spec);
        self.scores += open.len() as u64;
        let mut candidates = self.candidates(&request, open);
        for (index, urgency, _) in tasks {
            if !self.start_window.admits(step.job) {
                return outcome.refused(Gate::StartWindow);
            }
            let is_rate_limited = !self.start_limiter.allows(self.now);
            if is_rate_limited
                && !(self.is_starving(step) && self.start_limiter.allows_starved(self.now))
            {
                self.timers.insert((self.now + START_RETRY, Timer::Place));
                return outcome.refused(Gate::RateLimit);
            }
            let way = if spec.long_running { self.service_way(spec, spare, urgency) } else { None };
            if spec.long_running && way.is_none() {
                self.wait_for_spare();
                return outcome.refused(Gate::Reserve(*spare));
            }
            let is_limited_to_spare = spec.long_running && way != Some(Way::Quota);
            let task = step.task(index);
            request.set_task(task);
            let state = self.jobs[&task.job].task(task);
            let shares_probation = state.is_some_and(|state| self.shares_probation(spec, state));
            request = request.with(Precedence { shares_probation, ..Precedence::default() });
            let avoided = state.and_then(|task| task.avoided_worker);
            let suspected = state.is_some_and(|task| !task.crashed.is_empty());
            let probation =
                state.filter(|task| task.is_on_probation()).map(|task| task.waiting_since);
            let chosen = match probation {
                Some(since) => match self.choose_for_probation(&request, since, open) {
                    None => {
                        outcome.on_probation.push(index);
                        continue;
                    }
                    chosen => chosen,
                },
                None => suspected
                    .then(|| self.choose_without_suspect(&request, &candidates))
                    .flatten()
                    .or_else(|| self.choose_candidate(&request, avoided, &mut candidates)),
            };
            let Some(worker) = chosen else { return outcome.refused(Gate::NoWorker) };
            self.assign(task, worker);
            outcome.placed += 1;
            if let Some(way) = way {
                self.log_service_placement(task, worker, way);
            }
            if is_rate_limited {
                self.start_limiter
                    .shift_to_starved(self.jobs[&task.job].accepted.spec.payload.len());
            }
            if is_limited_to_spare && spare.take(spec) {
                self.record_reserve_override(step);
            }
            if spec.best_effort {
                self.refresh_colocation(worker);
            }
        }
        outcome
    }

    pub(crate) fn queue(&self, job: JobId) -> Option<&Queue> {
        let config = self.config.as_ref()?;
        config.queue(&self.jobs[&job].accepted.queue)
    }

    /// Returns the service whose workers run a job, from the current configuration or else from the
    /// time when the job was accepted.
    pub(crate) fn service(&self, job: JobId) -> id::Service {
        let queue = self.queue(job).map(|queue| queue.service.clone());
        queue.unwrap_or_else(|| self.jobs[&job].accepted.service.clone())
    }

    pub(crate) fn choose(&self, task: TaskId, spec: &Step, open: &[WorkerId]) -> Option<WorkerId> {
        let avoided = self.jobs[&task.job].task(task).and_then(|task| task.avoided_worker);
        let request = Request::new(&self.interference, task, spec);
        let mut best: Option<(bool, f64, WorkerId)> = None;
        for &id in open {
            let Some(score) = self.score(&self.workers[id], &request) else { continue };
            let preferred = avoided != Some(id);
            let better = best.is_none_or(|(was_preferred, best_score, _)| {
                (preferred && !was_preferred) || (preferred == was_preferred && score > best_score)
            });
            if better {
                best = Some((preferred, score, id));
            }
        }
        best.map(|(_, _, id)| id)
    }

    /// Assigns a task to a worker. The start command is sent once the store holds the assignment.
    pub(crate) fn assign(&mut self, task: TaskId, worker: WorkerId) {
        let now = self.now;
        self.mark_dirty(task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        self.start_limiter.charge(job.accepted.spec.payload.len());
        if job.spec(task.step).long_running {
            self.quota.take(job.spec(task.step));
        }
        let state = job.task_mut(task);
        debug_assert!(state.place == Place::Waiting, "a placed task isn't assigned again");
        state.attempt += 1;
        let run = Run { task, attempt: state.attempt };
        let checkpoint = state.checkpoint.clone();
        let crashes = state.crashed.len();
        let was_moved = state.avoided_worker.is_some();
        let stage = Stage::Intended { version: job.version };
        let spec = job.spec(task.step);
        if !spec.best_effort {
            self.placements.push(Placement {
                at: now,
                arrival: job.arrival,
                milli: spec.demand.cpu_milli,
                long_running: spec.long_running,
            });
        }
        let is_short = !spec.best_effort && !spec.long_running;
        let learns = self.settings.features.learned_durations;
        let mut hosted = Hosted::new(spec, stage, now);
        hosted.is_whole = checkpoint.is_none();
        hosted.was_moved = learns && was_moved;
        hosted.checkpoint = checkpoint;
        hosted.crashes = crashes;
        hosted.queue = learns.then(|| job.accepted.queue.clone());
        if !job.started {
            job.placed_at.get_or_insert(now);
        }
        job.move_task(task, Place::At(worker));
        self.workers[worker].add_run(run, hosted);
        self.workers[worker].isolated_for.take_if(|isolation| isolation.step == task.step_id());
        self.writes.add_intent(worker, run);
        self.start_window.push(worker, run);
        if is_short {
            self.reserve.record_placed(now);
            self.record_short_start(worker, run);
        }
    }

    /// Returns the mean work of a queue's jobs in core-seconds, if any is known.
    pub(crate) fn mean_work(&self, queue: &str) -> Option<f64> {
        self.mean_work.get(queue).copied()
    }

    /// Updates a queue's mean work with the work of one more job.
    pub(crate) fn learn_work(mean_work: &mut HashMap<Arc<str>, f64>, queue: &Arc<str>, work: f64) {
        /// Weight of one job: a few dozen jobs make up the mean.
        const WEIGHT: f64 = 0.03;
        let mean = mean_work.entry(queue.clone()).or_insert(work);
        *mean += WEIGHT * (work - *mean);
    }
}
