//! Holds: a worker's deadline is extended, its account of its runs taken in, its ends acknowledged.

use std::time::Duration;

use cowslipchute_base::event::Event as Number;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::executor::Ended;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::How;
use cowslipchute_ports::executor::Refusal;
use cowslipchute_ports::executor::Report;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::executor::Running;
use cowslipchute_ports::executor::Target;

use crate::action::Action;
use crate::crash::PROBATION_HOLD;
use crate::host::Hosted;
use crate::host::Order;
use crate::host::Stage;
use crate::host::Why;
use crate::order::Timer;
use crate::planner::Planner;
use crate::takeover::LAPSE_CHECK;
use crate::worker::Contact;
use crate::worker::Hold;
use crate::worker::Reading;
use crate::worker::Unacknowledged;
use crate::worker::Worker;
use crate::worker::WorkerId;

/// The longest that a worker lets an answer wait; for one that runs nothing.
const IDLE_WAIT: Duration = Duration::from_millis(2000);
/// Pause before a worker that did not answer is asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(150);
/// How long a worker is not asked again while ends that it lists wait for the store: it would
/// answer at once with the same ends.
const ACKNOWLEDGE_PAUSE: Duration = Duration::from_millis(200);

impl Planner {
    pub(crate) fn send_hold(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        let Hold::Due(at) = state.hold else { return };
        if at > self.now {
            return;
        }
        let Some(target) = self.target(worker) else { return };
        // A deadline that may arrive later would have to be waited for: a silent worker is given
        // none until it answers. Nor is it told which ends it may forget: it may have started again, and
        // its next ends have the same numbers.
        let answers = self.workers[worker].answers();
        let deadline = if answers { self.grant(worker) } else { None };
        self.advance_acknowledged(worker);
        let wait = self.hold_wait(&self.workers[worker]);
        let state = &mut self.workers[worker];
        state.hold = Hold::Sent(self.now);
        let acknowledged = if answers { state.acknowledged } else { 0 };
        let hold = cowslipchute_ports::executor::Hold { deadline, acknowledged, wait };
        self.actions.push(Action::Hold { target, hold });
    }

    fn hold_wait(&self, worker: &Worker) -> Duration {
        if !worker.answers() {
            Duration::ZERO
        } else if let Some(since) = worker.absent_since() {
            // An account that is asked for once a stop would have ended settles it.
            (since + self.settings.stop_time).saturating_sub(self.now)
        } else if worker.runs.is_empty() {
            IDLE_WAIT
        } else if worker.has_probation() {
            PROBATION_HOLD
        } else if worker.suspects > 0 || (worker.serves() && worker.fills()) {
            self.settings.watch_wait
        } else {
            self.settings.hold_wait
        }
    }

    pub(crate) fn hold_at(&mut self, worker: WorkerId, at: Time) {
        self.workers[worker].hold = Hold::Due(at);
        self.timers.insert((at, Timer::Hold(worker)));
    }

    /// Moves the acknowledgement over the ends whose consequences the store holds.
    pub(crate) fn advance_acknowledged(&mut self, worker: WorkerId) {
        let state = &mut self.workers[worker];
        while let Some(&end) = state.unacknowledged.front() {
            let stored = self.jobs.get(&end.job).is_none_or(|job| job.stored >= end.version);
            if !stored {
                break;
            }
            state.acknowledged = end.number;
            state.unacknowledged.pop_front();
        }
    }

    /// A worker answered a hold, or did not.
    pub(crate) fn held(&mut self, target: &Target, outcome: Result<Report, Failure>) {
        let Some(worker) = self.find(target) else { return };
        let Hold::Sent(sent) = self.workers[worker].hold else { return };
        match outcome {
            Ok(report) if self.workers[worker].is_succeeded(&report) => {
                self.succeed_by(worker, &report);
            }
            Ok(report) => {
                self.take_report(worker, sent, report);
                let Some(state) = self.workers.get(worker) else { return };
                let waits = !state.unacknowledged.is_empty();
                let pause = if waits { ACKNOWLEDGE_PAUSE } else { Duration::ZERO };
                self.hold_at(worker, self.now + pause);
            }
            Err(Failure::Refused(Refusal::OtherWorker, _)) => self.end_incarnation(worker),
            Err(_) => {
                self.fall_silent(worker);
                self.hold_at(worker, self.now + SILENT_PAUSE);
            }
        }
    }

    fn fall_silent(&mut self, worker: WorkerId) {
        let state = &mut self.workers[worker];
        let Contact::Answering { at } = state.contact else { return };
        state.contact = Contact::Silent { at };
        let name = state.name.clone();
        self.timers.insert((self.now + LAPSE_CHECK, Timer::Lapse(worker)));
        self.note(Number::WorkerSuspect, None, None, Some(name), "a hold was not answered");
    }

    /// Looks whether a silent worker's deadline has passed; its tasks are free then.
    pub(crate) fn check_lapse(&mut self, worker: WorkerId) {
        let Some(state) = self.workers.get(worker) else { return };
        if state.answers() {
            return;
        }
        if state.has_lapsed(self.now, &self.settings) {
            if !state.runs.is_empty() {
                let name = state.name.clone();
                self.note(Number::WorkerLapsed, None, None, Some(name), "");
                self.end_all(worker);
            }
            // It has been silent for about as long as a start may take.
            self.unpin_worker(worker);
        }
        self.timers.insert((self.now + LAPSE_CHECK, Timer::Lapse(worker)));
        self.drop_if_needless(worker);
    }

    fn take_report(&mut self, worker: WorkerId, sent: Time, report: Report) {
        let now = self.now;
        let owned_for = now.saturating_sub(self.owned_at);
        let max_hold = self.settings.max_hold;
        let state = &mut self.workers[worker];
        let before = state.contact;
        state.born = state.born.or(report.born);
        state.reading = Some(Reading { stamp: report.clock, at: now });
        state.heard = Some(now);
        state.outlive_upkeep(sent);
        if let Contact::Unfenced { .. } = before {
            // Orders of this owner to an earlier incarnation were refused only from this answer on.
            let since = if state.rank > 0 { Duration::ZERO } else { owned_for };
            state.inherit_deadline(since, max_hold);
        }
        state.contact = Contact::Answering { at: now };
        let name = state.name.clone();
        match before {
            Contact::Unfenced { .. } => {
                self.note(Number::WorkerFenced, None, None, Some(name), "");
                self.end_predecessors(worker);
                self.room_changed = true;
                self.await_stops(worker);
            }
            Contact::Silent { .. } => {
                self.note(Number::WorkerHealthy, None, None, Some(name), "answers again");
                self.room_changed = true;
            }
            Contact::Answering { .. } => {}
        }
        for ended in report.ended {
            self.take_end(worker, ended);
        }
        let mut listed: Vec<Run> = Vec::with_capacity(report.running.len());
        for running in report.running {
            listed.push(running.run);
            self.take_running(worker, running);
        }
        self.settle_absent(worker, sent, &listed);
        self.clear_suspects(worker);
        self.guard_targets(worker);
        self.watch_progress(worker);
    }

    /// Keeps a worker that takes whatever it is given from new runs until those that an earlier
    /// owner was stopping are gone: their jobs may have ended and be forgotten, and the account
    /// doesn't list a run that is ending. A worker that refuses needs no such pause.
    fn await_stops(&mut self, worker: WorkerId) {
        if self.refuses_excess(&self.workers[worker].service) {
            return;
        }
        let until = self.now + self.settings.stop_time;
        let state = &mut self.workers[worker];
        state.closed_until = state.closed_until.max(until);
        self.timers.insert((until, Timer::Place));
    }

    /// Tells whether the workers of a service refuse what doesn't fit; not while nobody has said so.
    pub(crate) fn refuses_excess(&self, service: &id::Service) -> bool {
        let Some(config) = &self.config else { return false };
        config.services.iter().all(|known| known.name != *service || known.guarded)
    }

    fn take_end(&mut self, worker: WorkerId, ended: Ended) {
        let state = &mut self.workers[worker];
        if ended.number <= state.seen {
            return;
        }
        state.seen = ended.number;
        let name = state.name.clone();
        let hosted = state.runs.get(&ended.run).cloned();
        if ended.how == How::Failed {
            let blamed =
                hosted.as_ref().is_some_and(|hosted| self.blames_worker(ended.run, hosted));
            if blamed {
                self.strike(worker);
            }
        }
        if let (How::Done, Some(hosted)) = (ended.how, &hosted) {
            self.learn_speed(hosted);
        }
        let job = ended.run.task.job;
        self.begin(job);
        let detail = how_text(ended.how);
        self.note(Number::RunEnded, Some(job), Some(ended.run), Some(name), detail);
        self.end_run(worker, ended.run, ended.how, ended.checkpoint);
        let version = self.jobs.get(&job).map_or(0, |job| job.version);
        let end = Unacknowledged { number: ended.number, job, version };
        self.workers[worker].unacknowledged.push_back(end);
    }

    fn take_running(&mut self, worker: WorkerId, running: Running) {
        let now = self.now;
        let Some(hosted) = self.workers[worker].runs.get_mut(&running.run) else {
            self.take_stray(worker, running.run);
            return;
        };
        let known = matches!(hosted.stage, Stage::Running { .. });
        match hosted.stage {
            Stage::Starting { .. } | Stage::Inherited => {
                if matches!(hosted.stage, Stage::Inherited) {
                    // One of its starts has been carried out.
                    hosted.starts_out = hosted.starts_out.saturating_sub(1);
                }
                hosted.stage = Stage::Running { since: now };
                hosted.moved = now;
                hosted.first_percent = running.percent;
            }
            // The order was lost with an earlier owner or is on its way; it is listed all the same.
            Stage::Intended { .. } | Stage::Running { .. } | Stage::Stopping { .. } => {}
        }
        hosted.carried_over = false;
        if running.checkpoint.is_some() {
            hosted.checkpoint = running.checkpoint;
        }
        if running.percent != hosted.percent {
            hosted.percent = running.percent;
            hosted.moved = now;
        }
        hosted.figure = running.figure;
        if !known {
            self.begin(running.run.task.job);
        }
    }

    /// Stops a run that is in no place we know of: its job has ended, or an older order was carried
    /// out late.
    fn take_stray(&mut self, worker: WorkerId, run: Run) {
        let stage = Stage::Running { since: self.now };
        let hosted = match self.jobs.get(&run.task.job).filter(|job| job.task(run.task).is_some()) {
            Some(job) => Hosted::new(job.spec(run.task.step), stage, self.now),
            None => Hosted::stray(self.workers[worker].capacity, stage, self.now),
        };
        self.workers[worker].host(run, hosted);
        self.pin_stray(worker, run);
        self.stop_run(worker, run, Why::Needless);
    }

    /// Settles runs that the worker's account holds neither as running nor as ended, though the
    /// hold was sent after they must have been there. One that is ending is in neither list for as
    /// long as a stop takes, so only a run that stays away for longer is gone.
    fn settle_absent(&mut self, worker: WorkerId, sent: Time, listed: &[Run]) {
        let now = self.now;
        let stop_time = self.settings.stop_time;
        let mut gone: Vec<(Run, Stage)> = Vec::new();
        for (run, hosted) in &mut self.workers[worker].runs {
            let settled = match hosted.stage {
                Stage::Inherited => true,
                Stage::Running { since } => since < sent,
                Stage::Stopping { order: Order::Done(at), .. } => at < sent,
                Stage::Intended { .. } | Stage::Starting { .. } | Stage::Stopping { .. } => false,
            };
            if listed.contains(run) || !settled {
                hosted.absent_since = None;
                continue;
            }
            let since = *hosted.absent_since.get_or_insert(now);
            if sent >= since + stop_time {
                gone.push((*run, hosted.stage));
            }
        }
        for (run, stage) in gone {
            match stage {
                Stage::Inherited => self.end_run(worker, run, How::Lapsed, None),
                Stage::Running { .. } => self.stop_run(worker, run, Why::Missing),
                _ => self.end_run(worker, run, How::Stopped, None),
            }
        }
    }
}

fn how_text(how: How) -> &'static str {
    match how {
        How::Done => "done",
        How::Failed => "failed",
        How::Stopped => "stopped",
        How::Lapsed => "its deadline passed",
        How::Broken => "another member of its gang ended",
        How::Alone => "the rest of its gang did not come",
    }
}
