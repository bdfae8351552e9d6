//! Queues whose policy lets a step run on some workers only, which an advisory service knows.
//!
//! Pattern answered: an answer takes a while for each worker that is asked about, and the service
//! answers one question of a process at a time. So one question names the workers with the most
//! room, enough for the step's tasks with those that will be refused, and steps ask in their rank.

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
use crate::command::Timer;
use crate::fit::Request;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// Most workers that one question names; the users reckon with so many.
const MAX_WORKERS_PER_QUERY: usize = 30;
/// Workers asked about for each task of the step.
const WORKERS_PER_TASK: usize = 3;
/// A ticket isn't used this shortly before it ends, since a start takes its time.
const TICKET_MARGIN: Duration = Duration::from_millis(250);
/// What a question may take beyond what the service says.
const REPLY_MARGIN: Duration = Duration::from_millis(1500);
/// Pause after a question that brought nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What the advisory service has said about a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Permit {
    tickets: HashMap<WorkerId, Ticket>,
    /// When the tickets end, or when to ask again where there are none.
    expires: Time,
}

/// What the advisory service is being asked.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    step: StepId,
    /// How long its tickets last.
    validity: Duration,
    /// Whom it is asked about. A ticket is of no use to the next incarnation of a worker.
    workers: Vec<WorkerId>,
}

impl Permit {
    /// Adds the tickets of an answer before that are still valid.
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
    /// Narrows the open workers down to those that a step has tickets for; asks for some if it
    /// has none.
    pub(crate) fn permitted_workers(
        &mut self,
        step: StepId,
        spec: &Step,
        advice: Advice,
        open: Vec<WorkerId>,
    ) -> Vec<WorkerId> {
        let now = self.now;
        let leave = self.jobs[&step.job].step(step).and_then(|state| state.permit.as_ref());
        if let Some(leave) = leave.filter(|leave| leave.expires > now) {
            return open.into_iter().filter(|id| leave.tickets.contains_key(id)).collect();
        }
        self.query_advice(step, spec, advice, &open);
        Vec::new()
    }

    /// Returns `true` if a step holds a valid ticket for a worker.
    pub(crate) fn has_ticket(&self, step: StepId, worker: WorkerId) -> bool {
        let leave = self.jobs[&step.job].step(step).and_then(|state| state.permit.as_ref());
        leave.is_some_and(|leave| leave.expires > self.now && leave.tickets.contains_key(&worker))
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
        let mut rated: Vec<(f64, WorkerId)> = open
            .iter()
            .filter_map(|&id| Some((self.score(&self.workers[id], &request)?, id)))
            .collect();
        if rated.is_empty() {
            return;
        }
        rated.sort_by(|a, b| b.0.total_cmp(&a.0));
        rated.truncate(
            MAX_WORKERS_PER_QUERY
                .min((spec.count as usize).saturating_mul(WORKERS_PER_TASK))
                .max(1),
        );
        let workers: Vec<id::Instance> =
            rated.iter().map(|&(_, id)| self.workers[id].name.clone()).collect();
        let timeout = advice.decision + advice.each * workers.len() as u32 + REPLY_MARGIN;
        let asked = rated.iter().map(|&(_, id)| id).collect();
        self.pending_query = Some(Query { step, validity: advice.validity, workers: asked });
        self.actions.push(Action::Advise { step, workers, timeout });
    }

    /// The advisory service answered, or did not.
    pub(crate) fn handle_advice(
        &mut self,
        step: StepId,
        outcome: Result<Vec<(id::Instance, Ticket)>, Failure>,
    ) {
        let Some(question) = self.pending_query.take() else { return };
        self.room_changed = true;
        if question.step != step {
            return;
        }
        let rows = outcome.unwrap_or_default();
        let tickets: HashMap<WorkerId, Ticket> = rows
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.workers_by_name.get(&name)?, ticket)))
            .filter(|(worker, _)| question.workers.contains(worker))
            .collect();
        let last = if tickets.is_empty() {
            RETRY_PAUSE
        } else {
            question.validity.saturating_sub(TICKET_MARGIN)
        };
        let now = self.now;
        let expires = now + last;
        self.timers.insert((expires, Timer::Place));
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            let valid = state.permit.take().filter(|leave| leave.expires > now);
            state.permit = Some(Permit { tickets, expires }.merge(valid));
        }
    }

    /// A worker refused a ticket: it is not used again.
    pub(crate) fn drop_permit(&mut self, step: StepId) {
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            state.permit = None;
        }
    }
}
