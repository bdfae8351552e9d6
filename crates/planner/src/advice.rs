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
use crate::fit::Request;
use crate::order::Timer;
use crate::planner::Planner;
use crate::worker::WorkerId;

/// Most workers that one question names; the users reckon with so many.
const ASKED: usize = 30;
/// Workers asked about for each task of the step.
const ASKED_PER_TASK: usize = 3;
/// A ticket isn't used this shortly before it ends, since a start takes its time.
const TICKET_SLACK: Duration = Duration::from_millis(250);
/// What a question may take beyond what the service says.
const ANSWER_SLACK: Duration = Duration::from_millis(1500);
/// Pause after a question that brought nothing.
const AGAIN: Duration = Duration::from_millis(300);

/// What the advisory service has said about a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Leave {
    tickets: HashMap<WorkerId, Ticket>,
    /// When the tickets end, or when to ask again where there are none.
    until: Time,
}

/// What the advisory service is being asked.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    step: StepId,
    /// How long its tickets last.
    validity: Duration,
    /// Whom it is asked about. A ticket is of no use to the next incarnation of a worker.
    workers: Vec<WorkerId>,
}

impl Leave {
    /// Adds the tickets of an answer before that are still valid.
    fn and(mut self, earlier: Option<Leave>) -> Leave {
        if let Some(earlier) = earlier {
            self.until =
                if self.tickets.is_empty() { earlier.until } else { self.until.min(earlier.until) };
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
    pub(crate) fn allowed(
        &mut self,
        step: StepId,
        spec: &Step,
        advice: Advice,
        open: Vec<WorkerId>,
    ) -> Vec<WorkerId> {
        let now = self.now;
        let leave = self.jobs[&step.job].step(step).and_then(|state| state.leave.as_ref());
        if let Some(leave) = leave.filter(|leave| leave.until > now) {
            return open.into_iter().filter(|id| leave.tickets.contains_key(id)).collect();
        }
        self.ask(step, spec, advice, &open);
        Vec::new()
    }

    /// Returns `true` if a step holds a valid ticket for a worker.
    pub(crate) fn has_ticket(&self, step: StepId, worker: WorkerId) -> bool {
        let leave = self.jobs[&step.job].step(step).and_then(|state| state.leave.as_ref());
        leave.is_some_and(|leave| leave.until > self.now && leave.tickets.contains_key(&worker))
    }

    pub(crate) fn ask(&mut self, step: StepId, spec: &Step, advice: Advice, open: &[WorkerId]) {
        if self.asking.is_some() {
            return;
        }
        let request = Request::new(&self.model, step.task(0), spec);
        let mut rated: Vec<(f64, WorkerId)> = open
            .iter()
            .filter_map(|&id| Some((self.rate(&self.workers[id], &request)?, id)))
            .collect();
        if rated.is_empty() {
            return;
        }
        rated.sort_by(|a, b| b.0.total_cmp(&a.0));
        rated.truncate(ASKED.min((spec.count as usize).saturating_mul(ASKED_PER_TASK)).max(1));
        let workers: Vec<id::Instance> =
            rated.iter().map(|&(_, id)| self.workers[id].name.clone()).collect();
        let within = advice.decision + advice.each * workers.len() as u32 + ANSWER_SLACK;
        let asked = rated.iter().map(|&(_, id)| id).collect();
        self.asking = Some(Question { step, validity: advice.validity, workers: asked });
        self.actions.push(Action::Advise { step, workers, within });
    }

    /// The advisory service answered, or did not.
    pub(crate) fn advised(
        &mut self,
        step: StepId,
        outcome: Result<Vec<(id::Instance, Ticket)>, Failure>,
    ) {
        let Some(question) = self.asking.take() else { return };
        self.room_changed = true;
        if question.step != step {
            return;
        }
        let rows = outcome.unwrap_or_default();
        let tickets: HashMap<WorkerId, Ticket> = rows
            .into_iter()
            .filter_map(|(name, ticket)| Some((*self.names.get(&name)?, ticket)))
            .filter(|(worker, _)| question.workers.contains(worker))
            .collect();
        let last =
            if tickets.is_empty() { AGAIN } else { question.validity.saturating_sub(TICKET_SLACK) };
        let now = self.now;
        let until = now + last;
        self.timers.insert((until, Timer::Place));
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            let valid = state.leave.take().filter(|leave| leave.until > now);
            state.leave = Some(Leave { tickets, until }.and(valid));
        }
    }

    /// A worker refused a ticket: it is not used again.
    pub(crate) fn drop_leave(&mut self, step: StepId) {
        let job = self.jobs.get_mut(&step.job);
        if let Some(state) = job.and_then(|job| job.step_mut(step)) {
            state.leave = None;
        }
    }
}
