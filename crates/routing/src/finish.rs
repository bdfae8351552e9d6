//! Finishes requests, each with one final action and no state left behind.

use cowslipchute_base::code::Code;
use cowslipchute_base::code::Outcome;
use cowslipchute_base::entity::Id;
use cowslipchute_ports::peer::Answer;
use smallvec::SmallVec;

use crate::action::Action;
use crate::action::Settled;
use crate::backoff;
use crate::event::Attempt;
use crate::request::Closed;
use crate::request::Request;
use crate::request::Stage;
use crate::router::Claim;
use crate::router::Router;
use crate::router::Step;
use crate::service::Service;

/// Reason and answer with which a request ends.
#[derive(Debug)]
pub(crate) enum End {
    /// The answer of this attempt.
    Forward(Attempt),
    /// The stored answer of an earlier run.
    Replay(Answer),
    /// An answer made by this entry.
    Reply(Code),
    /// No answer, because the caller disconnected.
    Abandoned,
}

impl Router {
    /// Finishes a request: cancels its other attempts, settles its key and answers.
    pub(crate) fn finish(&mut self, id: Id<Request>, end: End, step: &mut Step<'_>) {
        if matches!(self.requests[id].stage, Stage::Queued(_)) {
            self.leave_queue(id);
        }
        let running: SmallVec<[Attempt; 2]> = self.requests[id].running().into();
        for attempt in running {
            if !matches!(end, End::Forward(answered) if answered == attempt) {
                self.cancel(attempt, step);
            }
        }
        let request = self.requests.remove(id).expect("a request that ends is in its table");
        self.request_ids.remove(&request.number);
        let closed = request.close();
        let end = match end {
            End::Reply(code) => End::Reply(closed.final_code(code)),
            other => other,
        };
        self.settle(&closed, &end, step);
        let service = closed.request.service;
        self.answer(closed, end, step);
        self.services[service].requests -= 1;
        self.remove_unused_service(service);
    }

    /// Reports the outcome to the owner of the request's key; if its claim is still open, that is
    /// done when the owner answers.
    fn settle(&mut self, closed: &Closed, end: &End, step: &mut Step<'_>) {
        let request = &closed.request;
        let Some(key) = &request.key else { return };
        let service = self.services[request.service].name.clone();
        let key = key.clone();
        if matches!(request.stage, Stage::Claiming(_)) {
            self.ended_claims.insert(request.number, Claim { service, key });
            return;
        }
        if !request.claimed {
            return;
        }
        let settled = closed.settled(end);
        step.act(Action::Settle { request: request.number, service, key, settled });
    }

    fn answer(&mut self, closed: Closed, end: End, step: &mut Step<'_>) {
        let request = closed.request.number;
        match end {
            End::Forward(attempt) => step.act(Action::Forward { request, attempt }),
            End::Replay(answer) => step.act(Action::Replay { request, answer }),
            End::Reply(code) => {
                let repeatable = closed.request.is_repeatable();
                let retry_after = backoff::retry_after(code, repeatable, &mut self.rng);
                step.act(Action::Reply { request, code, retry_after });
            }
            End::Abandoned => {}
        }
    }

    /// Removes a service that is no longer declared and has no request left.
    pub(crate) fn remove_unused_service(&mut self, id: Id<Service>) {
        let is_unused = |service: &Service| !service.declared && service.requests == 0;
        if self.services.get(id).is_some_and(is_unused) {
            self.services.remove(id);
        }
    }
}

impl Closed {
    /// Returns the outcome to report to the owner of the request's key.
    fn settled(&self, end: &End) -> Settled {
        let may_have_run =
            self.request.may_have_run.is_some() || !self.request.running().is_empty();
        match end {
            End::Forward(attempt) => Settled::Ran { attempt: *attempt },
            End::Reply(code) if code.outcome() == Outcome::NotRun => Settled::NotRun,
            End::Abandoned if !may_have_run => Settled::NotRun,
            End::Reply(_) | End::Abandoned | End::Replay(_) => Settled::Unknown,
        }
    }
}
