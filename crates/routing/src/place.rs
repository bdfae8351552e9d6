//! Places requests: sends, queues or sheds them.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::entity::Id;
use cowslipchute_base::event as log;
use cowslipchute_base::id::Time;

use crate::action::Action;
use crate::admit;
use crate::admit::Load;
use crate::attempt::InFlight;
use crate::backend::Backend;
use crate::event::Attempt;
use crate::finish::End;
use crate::pool::Pool;
use crate::request::Request;
use crate::request::Stage;
use crate::router::Router;
use crate::router::Step;
use crate::timer::Timer;

/// Maximum number of queued retries that are bypassed because they wait for an untried backend
/// server.
const BYPASSED_MAX: usize = 8;
/// Divisor of the reserve; hedges leave the resulting fraction of it free.
const HEDGE_RESERVE_DIVISOR: u16 = 3;
/// Minimum time left for a request that has waited, as a multiple of the typical latency.
const REMAINING_MIN_FACTOR: f64 = 0.5;
/// Time that a paying request waits for a slot before a remote failure domain is used despite its
/// higher network latency.
const SPILL_WAIT: Duration = Duration::from_millis(2);

impl Router {
    /// Sends, queues or refuses an idle request.
    pub(crate) fn dispatch(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let request = &self.requests[id];
        if step.now >= request.deadline {
            self.expire(id, step);
            return;
        }
        let pool = &self.pools[request.pool];
        if pool.usable() == 0 {
            self.finish(id, End::Reply(Code::NoBackend), step);
            return;
        }
        if !self.admits(request) {
            self.shed(id, step);
            return;
        }
        let is_first_attempt = request.attempts == 0;
        let may_send = !is_first_attempt || !pool.queue.has_waiting(request.class);
        if may_send && self.place(id, step) {
            return;
        }
        self.enqueue(id, is_first_attempt, step);
    }

    fn admits(&self, request: &Request) -> bool {
        let pool = &self.pools[request.pool];
        let sum = pool.trial_locality().totals;
        let load = Load {
            slots_milli: sum.slots_milli,
            in_flight: sum.in_flight,
            has_higher_waiting: Class::ALL
                .into_iter()
                .any(|class| class < request.class && pool.queue.head(class).is_some()),
        };
        admit::admits(request.class, load, self.reserve_permille(request))
    }

    /// Refuses a request in favour of others.
    fn shed(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let request = &self.requests[id];
        let code = admit::shed(request.class);
        let service = &mut self.services[request.service];
        if service.shed_cooldown.start(step.now) {
            step.log(log::Event::TrialShed, &service.name);
        }
        self.finish(id, End::Reply(code), step);
    }

    /// Queues a request for a slot, if the queue of its service isn't full.
    fn enqueue(&mut self, id: Id<Request>, is_first_attempt: bool, step: &mut Step<'_>) {
        let request = &mut self.requests[id];
        let service = &mut self.services[request.service];
        let is_full = is_first_attempt && service.queued >= service.spec.queue;
        if is_full || service.spec.queue_wait.is_zero() {
            self.finish(id, End::Reply(Code::QueueFull), step);
            return;
        }
        let until = step.now + service.spec.queue_wait;
        service.queued += 1;
        request.stage = Stage::Queued(request.take_idle().queue(until));
        let pool = &mut self.pools[request.pool];
        pool.queue.insert(request.class, request.sequence, id);
        if until < request.deadline {
            self.timers.set(until, Timer::QueueWait(id));
        }
        let may_spill = request.class == Class::Paying && pool.remote.totals.usable > 0;
        if may_spill && !pool.spill.is_on() {
            self.timers.set(step.now + SPILL_WAIT, Timer::Spill(id));
        }
        if pool.queue.has_others(request.class) {
            // The requests before it may be waiting for an untried backend server.
            let pool = request.pool;
            self.mark_changed(pool);
        }
    }

    /// Removes a request from its queue.
    pub(crate) fn leave_queue(&mut self, id: Id<Request>) {
        let request = &mut self.requests[id];
        let Stage::Queued(queued) = request.take_stage() else {
            unreachable!("a request that leaves a queue is in it");
        };
        request.stage = Stage::Idle(queued.leave());
        self.pools[request.pool].queue.remove(request.class, request.sequence);
        let service = &mut self.services[request.service];
        assert!(service.queued > 0, "a request leaves a queue only once");
        service.queued -= 1;
    }

    /// Sends an idle request and returns `true`, if a backend server has a free slot.
    fn place(&mut self, id: Id<Request>, step: &mut Step<'_>) -> bool {
        let Some(backend) = self.pick(id, step) else { return false };
        self.send(id, backend, step);
        true
    }

    /// Starts an attempt of an idle request.
    fn send(&mut self, id: Id<Request>, backend: Id<Backend>, step: &mut Step<'_>) {
        let attempt = self.begin_attempt(id, backend, step);
        let hedge_at = self.hedge_at(id, step.now);
        let request = &mut self.requests[id];
        request.stage = Stage::Running(request.take_idle().send(attempt, hedge_at));
        if let Some(at) = hedge_at {
            self.timers.set(at, Timer::Hedge(id));
        }
    }

    fn begin_attempt(
        &mut self,
        id: Id<Request>,
        backend_id: Id<Backend>,
        step: &mut Step<'_>,
    ) -> Attempt {
        let request = &mut self.requests[id];
        let backend = &mut self.backends[backend_id];
        assert!(
            request.may_repeat(),
            "a request that may have run is sent again only if idempotent"
        );
        assert!(step.now < request.deadline, "nothing is sent after the deadline");
        assert!(backend.in_flight < backend.connections, "attempts stay within this entry's share");
        request.attempts += 1;
        request.tried.push(backend_id);
        request.tried_remote |= !backend.is_local;
        if backend.in_flight == 0 {
            backend.last_progress = step.now;
        }
        backend.in_flight += 1;
        let attempt = self.attempts.begin(InFlight {
            request: id,
            backend: backend_id,
            sent: step.now,
            at_limit: backend.in_flight >= backend.concurrency_limit(step.now),
        });
        step.act(Action::Send {
            request: request.number,
            attempt,
            instance: backend.instance.clone(),
            incarnation: backend.incarnation,
            address: backend.address,
            remaining: request.deadline - step.now,
        });
        self.pools[request.pool].refresh(step.now, backend_id, &mut self.backends);
        attempt
    }

    /// Returns the time at which to hedge the attempt sent now, if the request may be hedged.
    fn hedge_at(&self, id: Id<Request>, now: Time) -> Option<Time> {
        let request = &self.requests[id];
        let service = &self.services[request.service];
        let may_hedge = service.spec.hedge
            && request.idempotent
            && request.class == Class::Paying
            && !request.hedged
            && request.attempts < service.spec.attempts
            && self.has_untried(request);
        if !may_hedge {
            return None;
        }
        let at = now + service.latencies.delay()?;
        (at < request.deadline).then_some(at)
    }

    /// Sends a hedge, if the budget and the load allow it.
    pub(crate) fn hedge(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let request = &self.requests[id];
        let allows_hedge = self.services[request.service].budget.allows_hedge();
        if !allows_hedge || !self.has_hedge_capacity(request) {
            return;
        }
        let Some(backend) = self.pick(id, step) else { return };
        if self.requests[id].tried.contains(&backend) {
            return;
        }
        let spent = self.services[self.requests[id].service].budget.spend();
        assert!(spent, "a budget that allows a hedge has a token");
        let attempt = self.begin_attempt(id, backend, step);
        let request = &mut self.requests[id];
        request.hedged = true;
        match &mut request.stage {
            Stage::Running(running) => running.hedge(attempt),
            other => unreachable!("a request that is hedged is running, not {other:?}"),
        }
    }

    /// Returns `true` if there is spare capacity for a hedge. Hedges may use two thirds of the
    /// reserve, because trials can fill all slots outside it and paying requests should still be
    /// hedged then.
    fn has_hedge_capacity(&self, request: &Request) -> bool {
        let sum = self.pools[request.pool].trial_locality().totals;
        let load = Load {
            slots_milli: sum.slots_milli,
            in_flight: sum.in_flight,
            has_higher_waiting: false,
        };
        let reserve = self.services[request.service].spec.reserve_permille;
        admit::admits(Class::Trial, load, reserve / HEDGE_RESERVE_DIVISOR)
    }

    /// Marks a pool for [`Router::place_waiting`].
    pub(crate) fn mark_changed(&mut self, pool: Id<Pool>) {
        if !self.changed_pools.contains(&pool) {
            self.changed_pools.push(pool);
        }
    }

    /// Places the waiting requests of all marked pools.
    pub(crate) fn place_waiting(&mut self, step: &mut Step<'_>) {
        while let Some(pool) = self.changed_pools.pop() {
            if self.pools.get(pool).is_none() {
                continue;
            }
            for class in Class::ALL {
                self.place_queued(pool, class, step);
            }
        }
    }

    /// Returns `true` if a request that has waited can't be answered before its deadline any more;
    /// sending it would only change its outcome from "not run" to "unknown".
    fn is_too_late(&self, request: &Request, now: Time) -> bool {
        let remaining = request.deadline.saturating_sub(now);
        let typical = self.pools[request.pool].typical.seconds();
        remaining.is_zero() || remaining.as_secs_f64() < REMAINING_MIN_FACTOR * typical
    }

    /// Places the waiting requests of one class until one has to continue waiting. Bypasses a few
    /// retries that wait for an untried backend server.
    fn place_queued(&mut self, pool: Id<Pool>, class: Class, step: &mut Step<'_>) {
        let mut bypassed = 0;
        while let Some(id) = self.pools[pool].queue.nth(class, bypassed) {
            let request = &self.requests[id];
            if self.is_too_late(request, step.now) {
                self.expire(id, step);
                continue;
            }
            if self.pools[pool].usable() == 0 {
                self.finish(id, End::Reply(Code::NoBackend), step);
                continue;
            }
            if !self.admits(request) {
                return;
            }
            let is_retry = !request.tried.is_empty();
            match self.pick(id, step) {
                Some(backend) => {
                    self.leave_queue(id);
                    self.send(id, backend, step);
                }
                None if is_retry && bypassed < BYPASSED_MAX => bypassed += 1,
                None => return,
            }
        }
    }
}
