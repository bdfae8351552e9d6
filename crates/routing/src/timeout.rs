//! Fires due timers: deadlines, queue waits, spills, retries, hedges and probes.

use cowslipchute_base::code::Code;
use cowslipchute_base::entity::Id;
use cowslipchute_base::event as log;
use cowslipchute_base::id::Time;

use crate::backend::Backend;
use crate::backend::Presence;
use crate::eject::Status;
use crate::finish::End;
use crate::request::Request;
use crate::request::Stage;
use crate::router::Router;
use crate::router::Step;
use crate::timer::Timer;

impl Router {
    /// Fires all due timers.
    pub(crate) fn run_due(&mut self, step: &mut Step<'_>) {
        while let Some(timer) = self.timers.pop_due(step.now) {
            self.fire(timer, step);
        }
    }

    fn fire(&mut self, timer: Timer, step: &mut Step<'_>) {
        match timer {
            Timer::Deadline(id) if self.requests.get(id).is_some() => self.expire(id, step),
            Timer::QueueWait(id) => self.end_queue_wait(id, step),
            Timer::Spill(id) => self.spill(id, step),
            Timer::Retry(id) => self.end_backoff(id, step),
            Timer::Hedge(id) => self.fire_hedge(id, step),
            Timer::Probe(id) => self.probe(id, step),
            Timer::Deadline(_) => {}
        }
    }

    /// Finishes a request whose deadline has passed.
    pub(crate) fn expire(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let request = &self.requests[id];
        let code = match &request.stage {
            Stage::Running(_) => Code::Timeout,
            // An earlier request with the key may have run, which only the key's owner knows.
            Stage::Claiming(_) => Code::KeyOwnerUnreachable,
            Stage::Queued(_) => Code::QueueTimeout,
            Stage::Idle(_) if request.attempts == 0 => Code::QueueTimeout,
            Stage::Backoff(_) | Stage::Idle(_) => request.last_failure,
        };
        self.finish(id, End::Reply(code), step);
    }

    fn end_queue_wait(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let Some(Stage::Queued(queued)) = self.requests.get(id).map(|request| &request.stage)
        else {
            return;
        };
        if queued.until <= step.now {
            self.finish(id, End::Reply(Code::QueueTimeout), step);
        }
    }

    /// Starts spilling to remote failure domains because a request has waited too long for the
    /// local one.
    fn spill(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let Some(request) = self.requests.get(id) else { return };
        if !matches!(request.stage, Stage::Queued(_)) {
            return;
        }
        let pool_id = request.pool;
        let pool = &mut self.pools[pool_id];
        if pool.remote.totals.usable == 0 {
            return;
        }
        if pool.spill.start(step.now) {
            step.log(log::Event::SpillStarted, &pool.name);
        }
        self.mark_changed(pool_id);
    }

    fn end_backoff(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if !matches!(&request.stage, Stage::Backoff(backoff) if backoff.until <= step.now) {
            return;
        }
        let Stage::Backoff(backoff) = request.take_stage() else {
            unreachable!("the stage was just checked");
        };
        request.stage = Stage::Idle(backoff.leave());
        self.dispatch(id, step);
    }

    fn fire_hedge(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let deadline = request.deadline;
        let Stage::Running(running) = &mut request.stage else { return };
        if running.hedge_at.is_none_or(|at| at > step.now) || step.now >= deadline {
            return;
        }
        running.hedge_at = None;
        self.hedge(id, step);
    }

    /// Ends an ejection; the backend server is then probed with one request at a time.
    fn probe(&mut self, id: Id<Backend>, step: &mut Step<'_>) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        let Status::Ejected { until } = backend.health.status() else { return };
        if backend.presence != Presence::Live || until > step.now {
            return;
        }
        backend.health.probe(step.now);
        step.log(log::Event::BackendProbed, &backend.instance);
        let pool_id = backend.pool;
        let pool = &mut self.pools[pool_id];
        pool.failures.ejected -= 1;
        pool.refresh(step.now, id, &mut self.backends);
        self.mark_changed(pool_id);
    }

    /// Removes stale timers, so that the next due timer is never a stale one.
    pub(crate) fn prune_timers(&mut self) {
        let requests = &self.requests;
        let backends = &self.backends;
        let stage = |id| requests.get(id).map(|request: &Request| &request.stage);
        let is_live = |at: Time, timer: Timer| match timer {
            Timer::Deadline(id) => requests.get(id).is_some(),
            Timer::QueueWait(id) => {
                matches!(stage(id), Some(Stage::Queued(queued)) if queued.until == at)
            }
            Timer::Spill(id) => matches!(stage(id), Some(Stage::Queued(_))),
            Timer::Retry(id) => {
                matches!(stage(id), Some(Stage::Backoff(backoff)) if backoff.until == at)
            }
            Timer::Hedge(id) => {
                matches!(stage(id), Some(Stage::Running(running)) if running.hedge_at == Some(at))
            }
            Timer::Probe(id) => backends
                .get(id)
                .is_some_and(|backend| backend.health.status() == Status::Ejected { until: at }),
        };
        self.timers.prune(is_live);
    }
}
