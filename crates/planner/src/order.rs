//! Orders to start and stop: when they are sent, and what their answers mean.
//!
//! An order without an answer may have been carried out, or may be later. A start is then repeated
//! for the same run, which is harmless; if the repeat is refused, a stop of that run makes sure
//! that the first start never takes effect.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Stamp;
use cowslipchute_ports::executor::Start;
use cowslipchute_ports::executor::Target;
use cowslipchute_ports::job::JobId;

use crate::action::Action;
use crate::crash::SURE_TIME;
use crate::host::Order;
use crate::host::Stage;
use crate::host::Why;
use crate::planner::Planner;
use crate::sending::SENDING_LOOK;
use crate::worker::WorkerId;

/// Pause before an unanswered order is repeated: its answer's own timeout has passed already.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Pause for a worker that refused a start for want of room: its account will show why.
const ROOM_PAUSE: Duration = Duration::from_millis(150);
/// Pause for a worker that could not be reached or says that it is unhealthy.
const UNREACHED_PAUSE: Duration = Duration::from_millis(500);

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A worker's hold.
    Hold(WorkerId),
    /// An order about a run.
    Order(WorkerId, Run),
    /// A look whether a silent worker's deadline has passed.
    Lapse(WorkerId),
    /// A look whether an occurrence of a job is due.
    Occurrence(JobId),
    /// A look at the waves of upkeep.
    Waves,
    /// A look whether something can be placed.
    Place,
}

impl Planner {
    /// Sends what is due.
    pub(crate) fn run_orders(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > self.now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Hold(worker) => self.send_hold(worker),
                Timer::Order(worker, run) => self.send_order(worker, run),
                Timer::Lapse(worker) => self.check_lapse(worker),
                Timer::Occurrence(job) => self.open_due(job),
                Timer::Waves => self.run_waves(),
                Timer::Place => self.room_changed = true,
            }
        }
    }

    pub(crate) fn order_due(&self) -> Option<cowslipchute_base::id::Time> {
        self.timers.first().map(|&(at, _)| at)
    }

    /// Returns the deadline to give a worker now, and remembers it: as far ahead as workers take. What
    /// runs on a worker that is cut off then works on until the cut heals, and outlasts a store that is
    /// away; a worker that is gone is told from one that is cut off by [`crate::incarnations`] long before.
    pub(crate) fn grant(&mut self, worker: WorkerId) -> Option<Stamp> {
        let max_hold = self.settings.max_hold;
        let state = &mut self.workers[worker];
        let deadline = state.clock(self.now)? + max_hold.as_millis() as Stamp;
        state.granted = state.granted.max(deadline);
        Some(deadline)
    }

    fn send_order(&mut self, worker: WorkerId, run: Run) {
        let Some(target) = self.target(worker) else { return };
        let answers = self.workers[worker].answers();
        if self.withdraw_start(worker, run) {
            return;
        }
        let Some(hosted) = self.workers[worker].runs.get(&run) else { return };
        if hosted.is_repeat() && answers && !self.may_repeat(run) {
            self.schedule(worker, run, SENDING_LOOK);
            return;
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let wants_pace = hosted.wants_pace();
        let wants_proof = hosted.wants_proof();
        match &mut hosted.stage {
            // A start gives a deadline too, and a silent worker is given none.
            Stage::Starting { unsettled: false, order: Order::Due(_) } if !answers => {
                self.end_run(worker, run, How::Stopped, None);
            }
            Stage::Starting { order: Order::Due(_), .. } if !answers => {
                self.schedule(worker, run, UNREACHED_PAUSE);
            }
            Stage::Starting { order: order @ Order::Due(_), .. } => {
                *order = Order::Sent;
                self.send_start(worker, run);
            }
            Stage::Stopping { order: order @ Order::Due(_), .. } => {
                *order = Order::Sent;
                self.actions.push(Action::Stop { target, run });
            }
            Stage::Running { .. } if wants_proof => {
                hosted.proven = true;
                self.send_start(worker, run);
            }
            Stage::Running { .. } if wants_pace => {
                hosted.pacing = true;
                let percent = hosted.pace;
                self.actions.push(Action::Pace { target, run, percent });
            }
            _ => {}
        }
    }

    /// Tells whether a start may be sent once more now, which takes as much of the link as the first time.
    fn may_repeat(&mut self, run: Run) -> bool {
        let allowed = self.sending.allows(self.now);
        if allowed {
            let job = self.jobs.get(&run.task.job);
            self.sending.spend(job.map_or(0, |job| job.accepted.spec.payload.len()));
        }
        allowed
    }

    fn send_start(&mut self, worker: WorkerId, run: Run) {
        let Some(deadline) = self.grant(worker) else { return };
        let Some(target) = self.target(worker) else { return };
        let Some(job) = self.jobs.get(&run.task.job) else { return };
        let Some(task) = job.task(run.task) else { return };
        let start = Start {
            run,
            payload: job.accepted.spec.payload.clone(),
            deadline,
            checkpoint: task.checkpoint.clone(),
            ticket: job
                .step(run.task.step_id())
                .and_then(|step| step.leave.as_ref())
                .and_then(|leave| leave.ticket(worker)),
        };
        self.actions.push(Action::Start { target, start });
        let state = &mut self.workers[worker];
        state.newest = self.now;
        if let Some(hosted) = state.runs.get_mut(&run) {
            hosted.ordered.get_or_insert(self.now);
            hosted.starts_out += 1;
            hosted.last_start = self.now;
        }
    }

    /// Repeats an order at a time, or sends it for the first time.
    pub(crate) fn schedule(&mut self, worker: WorkerId, run: Run, pause: Duration) {
        self.timers.insert((self.now + pause, Timer::Order(worker, run)));
    }

    /// Returns whom orders to a worker are meant for.
    pub(crate) fn target(&self, worker: WorkerId) -> Option<Target> {
        let state = self.workers.get(worker)?;
        let epoch = state.order_epoch(self.epoch?);
        Some(Target { name: state.name.clone(), address: state.address?, epoch })
    }

    /// Finds the incarnation that an order was meant for, if it isn't over. An answer to an order to an earlier one
    /// tells nothing of it.
    pub(crate) fn find(&self, target: &Target) -> Option<WorkerId> {
        let worker = *self.names.get(&target.name)?;
        let epoch = self.workers.get(worker)?.order_epoch(self.epoch?);
        (epoch == target.epoch).then_some(worker)
    }

    /// Finds the worker that an answer is of, and notes that it lives.
    fn answered(&mut self, target: &Target, outcome: Result<Stamp, Failure>) -> Option<WorkerId> {
        let worker = self.find(target)?;
        if outcome.is_ok() {
            self.workers[worker].heard = Some(self.now);
        }
        Some(worker)
    }

    /// A worker answered a start, or did not.
    pub(crate) fn started(&mut self, target: &Target, run: Run, outcome: Result<Stamp, Failure>) {
        let Some(worker) = self.answered(target, outcome) else { return };
        let name = &target.name;
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let stage = hosted.stage;
        if outcome == Err(Failure::Unknown) {
            hosted.unanswered = true;
            self.touch(run.task.job);
        } else {
            hosted.starts_out = hosted.starts_out.saturating_sub(1);
        }
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let Stage::Starting { order: Order::Sent, unsettled } = stage else {
            // It is being stopped; that settles it.
            return;
        };
        match outcome {
            Ok(_) => {
                hosted.stage = Stage::Running { since: now };
                hosted.moved = now;
                let (ordered, wants_proof) = (hosted.ordered, hosted.wants_proof());
                if wants_proof {
                    self.schedule(worker, run, SURE_TIME);
                }
                if let Some(ordered) = ordered {
                    self.workers[worker].outlive_upkeep(ordered);
                }
                self.begin(run.task.job);
                self.note(
                    Number::RunStarted,
                    Some(run.task.job),
                    Some(run),
                    Some(name.clone()),
                    "",
                );
            }
            Err(Failure::Refused(Refusal::OtherWorker, _)) => {
                if !unsettled {
                    // The incarnation that is over never had it.
                    self.end_run(worker, run, How::Stopped, None);
                }
                self.end_incarnation(worker);
            }
            Err(Failure::Unknown | Failure::Refused(Refusal::Fenced, _)) => {
                let order = Order::Due(now + REPEAT_PAUSE);
                hosted.stage = Stage::Starting { order, unsettled: true };
                self.schedule(worker, run, REPEAT_PAUSE);
                self.note(
                    Number::RunUnsettled,
                    Some(run.task.job),
                    Some(run),
                    Some(name.clone()),
                    "start",
                );
            }
            Err(Failure::Unsent) if unsettled => {
                let order = Order::Due(now + UNREACHED_PAUSE);
                hosted.stage = Stage::Starting { order, unsettled };
                self.schedule(worker, run, UNREACHED_PAUSE);
            }
            Err(failure) => self.refused(worker, run, unsettled, failure),
        }
    }

    /// A task of a job has surely started: it waits no more.
    pub(crate) fn begin(&mut self, job: JobId) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.started = true;
        }
    }

    /// A start was surely not carried out by this order.
    fn refused(&mut self, worker: WorkerId, run: Run, unsettled: bool, failure: Failure) {
        let name = self.workers[worker].name.clone();
        let (text, pause) = match failure {
            Failure::Refused(Refusal::Old, _) => ("an ended or stopped run is as high", None),
            Failure::Refused(Refusal::Late, _) => ("the deadline had passed", Some(ROOM_PAUSE)),
            Failure::Refused(Refusal::Room, _) => ("no room", Some(ROOM_PAUSE)),
            Failure::Refused(Refusal::Ticket, _) => ("no ticket", Some(UNREACHED_PAUSE)),
            Failure::Refused(Refusal::Unhealthy, _) => ("unhealthy", Some(UNREACHED_PAUSE)),
            Failure::Unsent => ("not reached", Some(UNREACHED_PAUSE)),
            _ => ("not understood", Some(UNREACHED_PAUSE)),
        };
        if matches!(failure, Failure::Refused(Refusal::Ticket, _)) {
            self.drop_leave(run.task.step_id());
        }
        self.note(Number::RunRefused, Some(run.task.job), Some(run), Some(name), text);
        if let Some(pause) = pause {
            let until = self.now + pause;
            let state = &mut self.workers[worker];
            state.closed_until = state.closed_until.max(until);
            self.timers.insert((until, Timer::Place));
        }
        if matches!(failure, Failure::Refused(Refusal::Unhealthy, _)) {
            self.strike(worker);
        }
        if unsettled {
            self.stop_run(worker, run, Why::Unsettled);
        } else {
            self.end_run(worker, run, How::Stopped, None);
        }
    }

    /// A worker answered a stop, or did not.
    pub(crate) fn stopped(&mut self, target: &Target, run: Run, outcome: Result<Stamp, Failure>) {
        let Some(worker) = self.answered(target, outcome) else { return };
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        let Stage::Stopping { why, order: Order::Sent } = hosted.stage else { return };
        match outcome {
            Ok(_) => hosted.stage = Stage::Stopping { why, order: Order::Done(now) },
            Err(Failure::Refused(Refusal::OtherWorker, _)) => self.end_incarnation(worker),
            Err(_) => {
                let order = Order::Due(now + REPEAT_PAUSE);
                hosted.stage = Stage::Stopping { why, order };
                self.schedule(worker, run, REPEAT_PAUSE);
            }
        }
    }

    /// A worker answered a change of pace, or did not.
    pub(crate) fn paced(
        &mut self,
        target: &Target,
        run: Run,
        percent: u8,
        outcome: Result<Stamp, Failure>,
    ) {
        let Some(worker) = self.find(target) else { return };
        let name = &target.name;
        let Some(hosted) = self.workers[worker].runs.get_mut(&run) else { return };
        hosted.pacing = false;
        hosted.paced = outcome.ok().map(|_| percent);
        // From its new pace on it is told anew whether it stands still.
        hosted.moved = self.now;
        if hosted.wants_pace() {
            self.schedule(worker, run, REPEAT_PAUSE);
        }
        let detail = format!("{percent} percent");
        self.note(Number::RunPaced, Some(run.task.job), Some(run), Some(name.clone()), detail);
    }
}
