//! Chooses the failure domain and the backend server for a request.

use cowslipchute_base::class::Class;
use cowslipchute_base::entity::Id;
use cowslipchute_base::event as log;

use crate::backend::Backend;
use crate::choice;
use crate::choice::Criteria;
use crate::choice::Draw;
use crate::pool::Pool;
use crate::request::Request;
use crate::router::Router;
use crate::router::Step;

impl Router {
    /// Chooses a backend server for a request, preferring those that it has not tried.
    pub(crate) fn pick(&mut self, id: Id<Request>, step: &mut Step<'_>) -> Option<Id<Backend>> {
        let draw = Draw::sample(&mut self.rng);
        let request = &self.requests[id];
        let pool = &self.pools[request.pool];
        let has_no_slots = pool.local.totals.slots_milli + pool.remote.totals.slots_milli == 0;
        let criteria = Criteria {
            draw,
            now: step.now,
            typical: pool.typical,
            exclude: &request.tried,
            may_probe: request.attempts == 0 && (request.idempotent || has_no_slots),
        };
        let found = self.pick_matching(request, criteria);
        let found = found.or_else(|| self.pick_tried(request, criteria));
        let pool_id = request.pool;
        if let Some(backend) = found {
            self.track_spill(pool_id, backend, step);
        }
        found
    }

    /// Returns `true` if there is a backend server that the request may use and has not tried.
    pub(crate) fn has_untried(&self, request: &Request) -> bool {
        let pool = &self.pools[request.pool];
        let local_usable = pool.local.totals.usable;
        let is_local_only = request.class != Class::Paying && local_usable > 0;
        let usable = if is_local_only { local_usable } else { pool.usable() };
        usable > self.tried_usable(request, is_local_only)
    }

    /// Returns the number of usable backend servers that a request has tried.
    fn tried_usable(&self, request: &Request, is_local_only: bool) -> usize {
        let counts =
            |backend: &Backend| backend.counted.usable > 0 && (backend.is_local || !is_local_only);
        let tried = request.tried.iter().enumerate();
        let first_tries = tried.filter(|(index, id)| !request.tried[..*index].contains(id));
        first_tries.filter(|(_, id)| self.backends.get(**id).is_some_and(counts)).count()
    }

    /// Chooses among backend servers that were all tried; the last one only if there is no other.
    fn pick_tried(&self, request: &Request, criteria: Criteria<'_>) -> Option<Id<Backend>> {
        if self.has_untried(request) {
            return None;
        }
        let last = request.tried.len().saturating_sub(1);
        let others = Criteria { exclude: &request.tried[last..], ..criteria };
        let any = Criteria { exclude: &[], ..criteria };
        self.pick_matching(request, others).or_else(|| self.pick_matching(request, any))
    }

    /// Chooses in the local failure domain first, and in a remote one when the local one lacks
    /// capacity. The last attempt goes to a remote one if none was tried.
    fn pick_matching(&self, request: &Request, criteria: Criteria<'_>) -> Option<Id<Backend>> {
        let pool = &self.pools[request.pool];
        let choose = |side| choice::choose(side, criteria, &self.backends);
        let is_paying = request.class == Class::Paying;
        let attempts = self.services[request.service].spec.attempts;
        let is_last = request.attempts > 0 && request.attempts + 1 >= attempts;
        let remote_first = is_paying && is_last && !request.tried_remote;
        let local_usable = pool.local.totals.usable;
        let is_local_tried = is_paying && local_usable <= self.tried_usable(request, true);
        let may_spill = local_usable == 0 || is_local_tried || (is_paying && pool.spill.is_on());
        let first = if remote_first { choose(&pool.remote) } else { None };
        let second = first.or_else(|| choose(&pool.local));
        second.or_else(|| if may_spill { choose(&pool.remote) } else { None })
    }

    /// Starts or stops the spilling of a pool's requests to remote failure domains.
    fn track_spill(&mut self, pool: Id<Pool>, backend: Id<Backend>, step: &mut Step<'_>) {
        let pool = &mut self.pools[pool];
        if self.backends[backend].is_local {
            if pool.spill.stop(step.now) {
                step.log(log::Event::SpillEnded, &pool.name);
            }
            return;
        }
        let is_short = pool.local.totals.usable == 0 || pool.spill.is_on();
        if is_short && pool.spill.start(step.now) {
            step.log(log::Event::SpillStarted, &pool.name);
        }
    }
}
