//! Handles service declarations and arriving requests, and refuses requests that can't be served.

use std::sync::Arc;

use cowslipchute_base::class::Class;
use cowslipchute_base::code::Code;
use cowslipchute_base::entity::Id;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_resource::service::Spec;
use smallvec::SmallVec;

use crate::action::Action;
use crate::action::Settled;
use crate::backoff;
use crate::event::Arrival;
use crate::finish::End;
use crate::pool::Pool;
use crate::request::Request;
use crate::request::Stage;
use crate::router::Router;
use crate::router::Step;
use crate::service::Service;
use crate::timer::Timer;

impl Router {
    /// Adds a declared service or updates its declaration.
    pub(crate) fn declare(&mut self, name: id::Service, spec: Arc<Spec>) {
        self.is_ready = true;
        let pool_name = match &spec.backends_of {
            Some(other) => id::Service::from(other.as_str()),
            None => name.clone(),
        };
        let pool = self.pool_id(&pool_name);
        match self.service_ids.get(&name) {
            Some(&known) => self.services[known].redeclare(spec, pool),
            None => {
                let service = self.services.insert(Service::open(name.clone(), spec, pool));
                self.service_ids.insert(name, service);
            }
        }
    }

    /// Removes the declaration of a service; answers its waiting requests and lets running ones
    /// finish.
    pub(crate) fn withdraw(&mut self, name: &id::Service, step: &mut Step<'_>) {
        let Some(service) = self.service_ids.remove(name) else { return };
        self.services[service].declared = false;
        let waits = |request: &Request| request.service == service && request.running().is_empty();
        let waiting: Vec<Id<Request>> = self
            .requests
            .iter()
            .filter(|(_, request)| waits(request))
            .map(|(request, _)| request)
            .collect();
        for request in waiting {
            self.finish(request, End::Reply(Code::NoService), step);
        }
        self.remove_unused_service(service);
    }

    /// Returns the pool of a service name; creates it if there is none.
    pub(crate) fn pool_id(&mut self, name: &id::Service) -> Id<Pool> {
        if let Some(&pool) = self.pool_ids.get(name) {
            return pool;
        }
        let pool = self.pools.insert(Pool::open(name.clone()));
        self.pool_ids.insert(name.clone(), pool);
        pool
    }

    /// Handles the arrival of a request.
    pub(crate) fn arrived(&mut self, number: id::Request, arrival: Arrival, step: &mut Step<'_>) {
        match self.admit(number, arrival, step.now) {
            Ok(request) => self.begin(request, step),
            Err(code) => {
                let retry_after = backoff::retry_after(code, true, &mut self.rng);
                step.act(Action::Reply { request: number, code, retry_after });
            }
        }
    }

    /// Applies the checks that don't depend on load of the backend servers, and stores the request.
    fn admit(
        &mut self,
        number: id::Request,
        arrival: Arrival,
        now: Time,
    ) -> Result<Id<Request>, Code> {
        if self.is_draining {
            return Err(Code::Stopping);
        }
        if !self.is_ready {
            return Err(Code::NotReady);
        }
        if self.requests.len() + self.ended_claims.len() >= self.settings.requests_max {
            return Err(Code::Busy);
        }
        let service = *self.service_ids.get(&arrival.service).ok_or(Code::NoService)?;
        let Service { spec, pool, .. } = &self.services[service];
        let time_limit = arrival.deadline.unwrap_or(spec.deadline);
        if time_limit.is_zero() || time_limit > spec.deadline_max {
            return Err(Code::BadDeadline);
        }
        self.last_sequence += 1;
        let request = Request {
            number,
            service,
            pool: *pool,
            class: arrival.class.unwrap_or_default().max(spec.class),
            idempotent: arrival.idempotent,
            key: if arrival.idempotent { None } else { arrival.key },
            claimed: false,
            deadline: now + time_limit,
            sequence: self.last_sequence,
            attempts: 0,
            hedged: false,
            may_have_run: None,
            last_failure: Code::NoBackend,
            tried: SmallVec::new(),
            tried_remote: false,
            stage: Request::arrived(),
        };
        let id = self.requests.insert(request);
        let old = self.request_ids.insert(number, id);
        assert!(old.is_none(), "the number of a request in progress is unique");
        let service = &mut self.services[service];
        service.requests += 1;
        service.budget.earn();
        Ok(id)
    }

    /// Claims the request's key, or dispatches a request without one.
    fn begin(&mut self, id: Id<Request>, step: &mut Step<'_>) {
        let request = &self.requests[id];
        if self.pools[request.pool].usable() == 0 {
            self.finish(id, End::Reply(Code::NoBackend), step);
            return;
        }
        let deadline = request.deadline;
        match request.key.clone() {
            Some(key) => self.claim(id, key, step),
            None => self.dispatch(id, step),
        }
        if self.requests.get(id).is_some() {
            self.timers.set(deadline, Timer::Deadline(id));
        }
    }

    /// Asks the owner of the key whether the request may run.
    fn claim(&mut self, id: Id<Request>, key: id::IdempotencyKey, step: &mut Step<'_>) {
        let request = &self.requests[id];
        let service = self.services[request.service].name.clone();
        step.act(Action::Claim { request: request.number, service, key });
        let request = &mut self.requests[id];
        request.stage = Stage::Claiming(request.take_idle().claim());
    }

    /// Handles the answer of a key's owner.
    pub(crate) fn claimed(&mut self, number: id::Request, verdict: Claimed, step: &mut Step<'_>) {
        let Some(&id) = self.request_ids.get(&number) else {
            self.release_ended_claim(number, &verdict, step);
            return;
        };
        let request = &mut self.requests[id];
        if !matches!(request.stage, Stage::Claiming(_)) {
            return;
        }
        let Stage::Claiming(claiming) = request.take_stage() else {
            unreachable!("the stage was just checked");
        };
        request.stage = Stage::Idle(claiming.granted());
        let end = match verdict {
            Claimed::Granted => {
                request.claimed = true;
                self.dispatch(id, step);
                return;
            }
            Claimed::Ran(Some(answer)) => End::Replay(answer),
            Claimed::Ran(None) => End::Reply(Code::KeyAlreadyRun),
            Claimed::InDoubt => End::Reply(Code::KeyInProgress),
            Claimed::NotOwner => End::Reply(Code::KeyOwnerUnreachable),
        };
        self.finish(id, end, step);
    }

    /// Releases a key that was granted to a request which has already ended.
    fn release_ended_claim(&mut self, number: id::Request, verdict: &Claimed, step: &mut Step<'_>) {
        let Some(claim) = self.ended_claims.remove(&number) else { return };
        if *verdict != Claimed::Granted {
            return;
        }
        step.act(Action::Settle {
            request: number,
            service: claim.service,
            key: claim.key,
            settled: Settled::NotRun,
        });
    }

    /// Finishes a request whose caller disconnected.
    pub(crate) fn abandoned(&mut self, number: id::Request, step: &mut Step<'_>) {
        let Some(&id) = self.request_ids.get(&number) else { return };
        self.finish(id, End::Abandoned, step);
    }

    /// Returns the thousandths of a pool's slots that are reserved for paying requests. The service
    /// that owns the pool sets them, or the request's own service if that one isn't declared.
    pub(crate) fn reserve_permille(&self, request: &Request) -> u16 {
        if request.class == Class::Paying {
            return 0;
        }
        let pool_service = self.service_ids.get(&self.pools[request.pool].name);
        let service = pool_service.copied().unwrap_or(request.service);
        self.services[service].spec.reserve_permille
    }
}
