//! Handles the endings of attempts: health of the backend server, and retry or answer of the
//! request.

use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::entity::Id;
use cowslipchute_base::event as log;
use cowslipchute_base::id::Instance;
use cowslipchute_base::id::Time;

use crate::action::Action;
use crate::attempt::InFlight;
use crate::backend::Backend;
use crate::backend::Presence;
use crate::backoff;
use crate::eject::Signal;
use crate::event::Attempt;
use crate::event::Ending;
use crate::finish::End;
use crate::request::Request;
use crate::request::Stage;
use crate::router::Router;
use crate::router::Step;
use crate::timer::Timer;

/// Lowest HTTP status that reports a failure of the backend server.
const SERVER_ERROR: u16 = 500;
/// Multiple of the typical latency as which a failure counts, so that a fast failure doesn't make a
/// backend server look fast.
const PENALTY_FACTOR: f64 = 5.0;
/// Multiple of the pool's typical latency above which an answer is slow.
const SLOW_FACTOR: f64 = 5.0;
/// Multiple of the pool's typical latency above which a cancelled attempt counts against its
/// backend server.
const OVERDUE_FACTOR: f64 = 3.0;
/// Maximum latency that a failure counts as.
const PENALTY_MAX: Duration = Duration::from_secs(60);

impl Router {
    /// Handles the ending of an attempt.
    pub(crate) fn ended(&mut self, attempt: Attempt, ending: Ending, step: &mut Step<'_>) {
        let Some(ended) = self.attempts.end(attempt) else {
            self.ended_after_cancel(attempt, ending, step);
            return;
        };
        if reports_leaving(ending) {
            self.reported_leaving(ended.backend, step);
        }
        self.record_ending(&ended, ending, step);
        self.release(&ended, step);
        let id = ended.request;
        match ending {
            Ending::Answered { .. } => self.finish(id, End::Forward(attempt), step),
            Ending::TooLarge => {
                self.end_running(id, attempt);
                self.requests[id].may_have_run = Some(Code::AnswerTooLarge);
                self.finish(id, End::Reply(Code::AnswerTooLarge), step);
            }
            Ending::Broken => self.failed(id, attempt, Some(Code::Lost), Code::Lost, step),
            Ending::Truncated => {
                self.failed(id, attempt, Some(Code::Truncated), Code::Truncated, step);
            }
            Ending::Refused { .. } => self.failed(id, attempt, None, Code::Refused, step),
            Ending::Unsent => self.failed(id, attempt, None, Code::NoBackend, step),
        }
    }

    /// Drops the ending of a cancelled attempt, except for a report that the backend server is
    /// leaving. Its request has ended or has another attempt.
    fn ended_after_cancel(&mut self, attempt: Attempt, ending: Ending, step: &mut Step<'_>) {
        if !self.attempts.was_issued(attempt) {
            return;
        }
        let backend =
            self.attempts.cancelled_backend(attempt).filter(|&id| self.backends.get(id).is_some());
        let subject = match backend {
            Some(id) => self.backends[id].instance.clone(),
            None => Instance::from("unknown"),
        };
        step.log(log::Event::LateAnswer, &subject);
        if let Some(id) = backend.filter(|_| reports_leaving(ending)) {
            self.reported_leaving(id, step);
        }
    }

    /// Handles an attempt without an answer; retries the request unless another attempt runs.
    fn failed(
        &mut self,
        id: Id<Request>,
        attempt: Attempt,
        may_have_run: Option<Code>,
        code: Code,
        step: &mut Step<'_>,
    ) {
        let request = &mut self.requests[id];
        request.may_have_run = request.may_have_run.or(may_have_run);
        request.last_failure = code;
        self.end_running(id, attempt);
        if self.requests[id].running().is_empty() {
            self.retry(id, code, step);
        }
    }

    fn end_running(&mut self, id: Id<Request>, attempt: Attempt) {
        let request = &mut self.requests[id];
        let Stage::Running(running) = request.take_stage() else {
            unreachable!("a request with an attempt in flight is running");
        };
        request.stage = running.ended(attempt);
    }

    /// Retries a request if that is safe, within budget and before the deadline; otherwise finishes
    /// it.
    fn retry(&mut self, id: Id<Request>, code: Code, step: &mut Step<'_>) {
        let Some(delay) = self.retry_delay(id, step) else {
            self.finish(id, End::Reply(code), step);
            return;
        };
        if delay.is_zero() {
            self.dispatch(id, step);
            return;
        }
        let until = step.now + delay;
        let request = &mut self.requests[id];
        request.stage = Stage::Backoff(request.take_idle().back_off(until));
        self.timers.set(until, Timer::Retry(id));
    }

    /// Takes a retry from the budget and returns its delay, or `None` if there is no retry.
    fn retry_delay(&mut self, id: Id<Request>, step: &mut Step<'_>) -> Option<Duration> {
        let request = &self.requests[id];
        let has_untried = self.has_untried(request);
        let service = &mut self.services[request.service];
        let usable = self.pools[request.pool].usable();
        let is_allowed = request.may_repeat()
            && request.attempts < service.spec.attempts
            && service.declared
            && usable > 0;
        if !is_allowed {
            return None;
        }
        let delay = backoff::delay(request.attempts, has_untried, &mut self.rng);
        if step.now + delay >= request.deadline {
            return None;
        }
        if service.budget.spend() {
            return Some(delay);
        }
        if service.budget_cooldown.start(step.now) {
            step.log(log::Event::RetryBudgetSpent, &service.name);
        }
        None
    }

    /// Cancels an attempt; an ending that arrives later is dropped.
    pub(crate) fn cancel(&mut self, attempt: Attempt, step: &mut Step<'_>) {
        let ended = self.attempts.cancel(attempt);
        step.act(Action::Cancel { attempt });
        let latency = step.now - ended.sent;
        let backend = &mut self.backends[ended.backend];
        let typical = self.pools[backend.pool].typical;
        let is_overdue = latency.as_secs_f64() > OVERDUE_FACTOR * typical.seconds();
        let is_silent = backend.last_progress <= ended.sent;
        if is_overdue && ended.sent >= self.stall_ended {
            backend.latency.observe(step.now, latency, typical);
            let signal = if is_silent { Signal::Failure } else { Signal::Slow };
            self.record_signal(ended.backend, signal, step);
        }
        self.release(&ended, step);
    }

    /// Frees the slot of an attempt at its backend server.
    fn release(&mut self, ended: &InFlight, step: &mut Step<'_>) {
        let backend = &mut self.backends[ended.backend];
        let pool = backend.pool;
        assert!(backend.in_flight > 0, "an attempt ends only once");
        backend.in_flight -= 1;
        let is_unused = backend.presence == Presence::Gone && backend.in_flight == 0;
        self.pools[pool].refresh(step.now, ended.backend, &mut self.backends);
        if is_unused {
            self.remove_backend(ended.backend);
        }
        self.mark_changed(pool);
    }

    /// Records an ending in the statistics of the backend server and its pool. Ignores those of
    /// leaving backend servers, which say nothing about the others, and of attempts that were in
    /// flight during a stall of this process.
    fn record_ending(&mut self, ended: &InFlight, ending: Ending, step: &mut Step<'_>) {
        let is_live = self.backends[ended.backend].presence == Presence::Live;
        if !is_live || ended.sent < self.stall_ended {
            return;
        }
        let latency = step.now - ended.sent;
        match ending {
            Ending::Answered { status, .. } if status < SERVER_ERROR => {
                self.record_answer(ended, latency, step);
            }
            Ending::TooLarge => self.backends[ended.backend].last_progress = step.now,
            Ending::Answered { .. } => {
                self.backends[ended.backend].last_progress = step.now;
                self.record_failure(ended.backend, latency, Signal::Failure, step);
            }
            Ending::Refused { .. } => {
                let backend = &mut self.backends[ended.backend];
                backend.last_progress = step.now;
                backend.limit.decrease(step.now);
                self.record_failure(ended.backend, latency, Signal::Failure, step);
            }
            Ending::Unsent => {
                self.record_failure(ended.backend, latency, Signal::Unreachable, step);
            }
            Ending::Broken | Ending::Truncated => {
                self.record_failure(ended.backend, latency, Signal::Failure, step);
            }
        }
    }

    fn record_answer(&mut self, ended: &InFlight, latency: Duration, step: &mut Step<'_>) {
        let backend = &mut self.backends[ended.backend];
        let pool = &mut self.pools[backend.pool];
        let request = &self.requests[ended.request];
        backend.last_progress = step.now;
        backend.latency.observe(step.now, latency, pool.typical);
        let cap = backend.concurrency_max();
        backend.limit.observe(step.now, latency, ended.at_limit, cap);
        let typical = pool.typical.seconds();
        let is_slow = typical > 0.0 && latency.as_secs_f64() > SLOW_FACTOR * typical;
        pool.typical.observe(latency);
        if request.class == Class::Paying {
            self.services[request.service].latencies.observe(latency);
        }
        let signal = if is_slow { Signal::Slow } else { Signal::Success };
        self.record_signal(ended.backend, signal, step);
    }

    fn record_failure(
        &mut self,
        id: Id<Backend>,
        latency: Duration,
        signal: Signal,
        step: &mut Step<'_>,
    ) {
        let backend = &mut self.backends[id];
        let typical = self.pools[backend.pool].typical;
        let penalty = (PENALTY_FACTOR * typical.seconds()).min(PENALTY_MAX.as_secs_f64());
        let counted = latency.max(Duration::from_secs_f64(penalty));
        backend.latency.observe(step.now, counted, typical);
        self.record_signal(id, signal, step);
    }

    /// Records a health signal, which may eject or restore the backend server.
    fn record_signal(&mut self, id: Id<Backend>, signal: Signal, step: &mut Step<'_>) {
        let backend = &mut self.backends[id];
        let pool = &mut self.pools[backend.pool];
        let is_bad = backend.health.observe(signal, &pool.failures);
        pool.failures.observe(signal);
        if backend.presence != Presence::Live {
            return;
        }
        if is_bad && (signal != Signal::Slow || self.has_other_answering(id)) {
            self.eject(id, signal, step);
            return;
        }
        let backend = &mut self.backends[id];
        let is_passed = signal == Signal::Success && backend.health.probe_succeeded(step.now);
        if is_passed {
            backend.latency.reset();
        }
        if backend.health.end_slow_start(step.now) {
            step.log(log::Event::BackendRestored, &backend.instance);
        }
    }

    /// Returns `true` if another usable backend server of the pool answers.
    ///
    /// Without one, a backend server is slow only compared with its own earlier answers, and its
    /// ejection would leave requests to those that refuse or fail.
    fn has_other_answering(&self, id: Id<Backend>) -> bool {
        let pool = self.backends[id].pool;
        let answers = |other: &Backend| {
            other.pool == pool && other.counted.usable > 0 && other.health.is_answering()
        };
        self.backends.iter().any(|(other_id, other)| other_id != id && answers(other))
    }

    fn eject(&mut self, id: Id<Backend>, signal: Signal, step: &mut Step<'_>) {
        let backend = &mut self.backends[id];
        let pool_id = backend.pool;
        let until: Time = backend.health.eject(signal, step.now);
        let pool = &mut self.pools[pool_id];
        pool.failures.ejected += 1;
        step.log(log::Event::BackendEjected, &backend.instance);
        pool.refresh(step.now, id, &mut self.backends);
        self.timers.set(until, Timer::Probe(id));
        self.mark_changed(pool_id);
    }
}

fn reports_leaving(ending: Ending) -> bool {
    matches!(ending, Ending::Answered { leaving: true, .. } | Ending::Refused { leaving: true })
}
