//! Placement of steps in queues that need permission from an advisory service for each worker.
//!
//! An answer takes time for each worker named in the query, and the service answers one query of a
//! process at a time. So a query names the workers with the highest scores, enough for the step's
//! tasks and for those that will be refused, and steps send queries in the order of their rank.

use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::deployment::Advice;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Ticket;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;

use crate::action::Action;
use crate::placement::fit::Request;
use crate::planner::Planner;
use crate::workers::command::Timer;
use crate::workers::worker::WorkerId;

/// Maximum number of workers in one query; users rely on this limit.
const MAX_WORKERS_PER_QUERY: usize = 30;
/// Workers named in a query for each task of the step.
const WORKERS_PER_TASK: usize = 3;
/// A ticket isn't used this shortly before it expires, since a start takes time.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// Time allowed for an answer beyond what the service states.
const REPLY_MARGIN: Duration = Duration::from_millis(1500);
/// Delay before the next query after one that returned no tickets.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Tickets that the advisory service has issued for a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permit {
    tickets: HashMap<WorkerId, Ticket>,
    /// When the tickets expire, or when to send the next query if there are none.
    expires: Time,
}

/// A query that the advisory service hasn't answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    step: StepId,
    /// Validity of the tickets.
    validity: Duration,
    /// Workers named in the query. A ticket is of no use to the next incarnation of a worker.
    workers: Vec<WorkerId>,
}

impl Permit {
    /// Adds the tickets of an earlier answer that are still valid.
    fn merge(mut self, earlier: Option<Permit>) -> Permit {
        if let Some(earlier) = earlier {
            self.expires = if self.tickets.is_empty() {
                earlier.expires
            } else {
                self.expires.min(earlier.expires)
            };
            self.tickets.extend(earlier.tickets);
        }
        self
    }

    pub(crate) fn ticket(&self, worker: WorkerId) -> Option<Ticket> {
        self.tickets.get(&worker).cloned()
    }
}

impl Planner {
    /// Narrows the open workers down to those that a step has tickets for. Sends a query if it has
    /// no tickets.
    pub(crate) fn permitted_workers(
        &mut self,
        step: StepId,
        spec: &Step,
        advice: Advice,
        open: Vec<WorkerId>,
    ) -> Vec<WorkerId> {
        let now = self.now;
        let permit = self.jobs[&step.job].step(step).and_then(|state| state.permit.as_ref());
        if let Some(permit) = permit.filter(|permit| permit.expires > now) {
            return open.into_iter().filter(|id| permit.tickets.contains_key(id)).collect();
        }
        self.query_advice(step, spec, advice, &open);
        Vec::new()
    }

    /// Returns `true` if a step holds a valid ticket for a worker.
    pub(crate) fn has_ticket(&self, step: StepId, worker: WorkerId) -> bool {
        let permit = self.jobs[&step.job].step(step).and_then(|state| state.permit.as_ref());
        permit
            .is_some_and(|permit| permit.expires > self.now && permit.tickets.contains_key(&worker))
    }

    pub(crate) fn query_advice(
        &mut self,
        step: StepId,
        spec: &Step,
        advice: Advice,
        open: &[WorkerId],
    ) {
        if self.pending_query.is_some() {
            return;
        }
        let request = Request::new(&self.interference, step.task(0), spec);
        let mut candidates: Vec<(f64, WorkerId)> = open
            .iter()
            .filter_map(|&id| Some((self.score(&self.workers[id], &request)?, id)))
            .collect();
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0));
        candidates.truncate(
            MAX_WORKERS_PER_QUERY
                .min((spec.count as usize).saturating_mul(WORKERS_PER_TASK))
                .max(1),
        );
        let workers: Vec<id::Instance> =
            candidates.iter().map(|&(_, id)| self.workers[id].name.clone()).collect();
        let timeout =
            advice.base_latency + advice.latency_per_worker * workers.len() as u32 + REPLY_MARGIN;
        let queried = candidates.iter().map(|&(_, id)| id).collect();
        self.pending_query =
            Some(Query { step, validity: advice.ticket_validity, workers: queried });
        self.actions.push(Action::Advise { step, workers, timeout });
    }

    /// Handles the answer of the advisory service, or its failure.
    pub(crate) fn handle_advice(
        &mut self,
        step: StepId,
        outcome: Result<Vec<(id::Instance, Ticket)>, Failure>,
    ) {
        let Some(query) = self.pending_query.take() else { return };
        self.room_changed = true;
        if query.step != step {
            return;
        }
        let rows = outcome.unwrap_or_default();
        let tickets: HashMap<WorkerId, Ticket> = rows
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.workers_by_name.get(&name)?, ticket)))
            .filter(|(worker, _)| query.workers.contains(worker))
            .collect();
        let last = if tickets.is_empty() {
            RETRY_PAUSE
        } else {
            query.validity.saturating_sub(TICKET_MARGIN)
        };
        let now = self.now;
        let expires = now + last;
        self.timers.insert((expires, Timer::Place));
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            let valid = state.permit.take().filter(|permit| permit.expires > now);
            state.permit = Some(Permit { tickets, expires }.merge(valid));
        }
    }

    /// Drops the tickets of a step after a worker has refused one, so that none is used again.
    pub(crate) fn drop_permit(&mut self, step: StepId) {
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            state.permit = None;
        }
    }
}
