//! Commands in flight to workers, and their results.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_planner::action::Action;
use cowslipchute_planner::event::Event;
use cowslipchute_ports::executor::Failure;
use cowslipchute_ports::executor::Run;
use cowslipchute_ports::job::Step;
use cowslipchute_ports::job::StepId;
use cowslipchute_standin::site::worker::Worker;

use super::Arrival;
use super::TICK;
use super::TIMEOUT;
use super::World;
use super::workers::registration;

impl World {
    pub(super) fn receive(&mut self, term: u32, action: Action) {
        if let Action::Advise { step, workers, .. } = &action {
            self.advise(term, *step, workers);
            return;
        }
        if let Action::Start { target, start } = &action {
            // The sender checks once more before it sends.
            let planner = self.planner.as_ref().filter(|_| term == self.term);
            if planner.is_some_and(|planner| !planner.is_start_wanted(target, start.run)) {
                let event = failed(action, Failure::Unsent);
                self.answer(term, event);
                return;
            }
        }
        match action {
            Action::StartMaintenance { rollout, machine } => {
                return self.start_maintenance(term, rollout, &machine);
            }
            Action::SaveRollout { rollout, progress, started } => {
                if term == self.term {
                    self.store_rollout(rollout, progress, started);
                }
                return;
            }
            _ => {}
        }
        if let Action::Heartbeat { heartbeat, .. } = &action {
            let until = self.now + heartbeat.wait;
            self.wait_for_end(term, action, until);
            return;
        }
        self.deliver(term, action);
    }

    fn advise(&mut self, term: u32, step: StepId, workers: &[id::Instance]) {
        let tickets: Vec<_> = workers
            .iter()
            .filter(|name| self.allowed.contains(&***name))
            .map(|name| (name.clone(), Arc::from(format!("{step}@{name}"))))
            .collect();
        let at =
            self.now + Duration::from_millis(30) + Duration::from_millis(5) * workers.len() as u32;
        self.push(at, Arrival::Event(term, Event::AdviceResult { step, outcome: Ok(tickets) }));
    }

    /// Answers a heartbeat when something has ended, or when its wait has passed.
    pub(super) fn wait_for_end(&mut self, term: u32, action: Action, until: Time) {
        let Action::Heartbeat { target, heartbeat } = &action else { return };
        let acknowledged = heartbeat.acknowledged;
        let epoch = target.epoch;
        let worker = self.by_name(&target.name.clone());
        let ended = worker.is_none_or(|worker| {
            !worker.up
                || worker.partitioned
                || worker.epoch > epoch
                || worker.ended.iter().any(|end| end.number > acknowledged)
        });
        if ended || self.now >= until {
            self.deliver(term, action);
        } else {
            // It renews the lease from its arrival on, whenever it is answered.
            let (name, heartbeat) = (target.name.clone(), *heartbeat);
            let now = self.now;
            self.acknowledge(&name, epoch, acknowledged);
            if let Some(worker) = self.by_name(&name) {
                drop(worker.heartbeat(epoch, &heartbeat, now));
            }
            self.push(self.now + TICK, Arrival::Heartbeat(term, action, until));
        }
    }

    fn deliver(&mut self, term: u32, action: Action) {
        let now = self.now;
        let (Action::Start { target, .. }
        | Action::Stop { target, .. }
        | Action::Throttle { target, .. }
        | Action::Heartbeat { target, .. }) = &action
        else {
            return;
        };
        self.speed_limits += u64::from(matches!(action, Action::Throttle { .. }));
        let name = target.name.clone();
        let epoch = target.epoch;
        let spec = match &action {
            Action::Start { start, .. } => Some(self.spec(start.run)),
            _ => None,
        };
        let address = target.address;
        let Some(worker) = self.by_name(&name) else {
            let mut others = self.workers.values();
            let other_worker =
                others.any(|worker| registration(worker).address == address && worker.name != name);
            let refusal = cowslipchute_ports::executor::Refusal::OtherWorker;
            let failure =
                if other_worker { Failure::Refused(refusal, None) } else { Failure::Unknown };
            let event = failed(action, failure);
            self.answer(term, event);
            return;
        };
        if worker.partitioned || !worker.up {
            let event = failed(action, Failure::Unknown);
            self.push(now + TIMEOUT, Arrival::Event(term, event));
            return;
        }
        if worker.delayed_commands.0 > 0 && !matches!(action, Action::Heartbeat { .. }) {
            worker.delayed_commands.0 -= 1;
            let at = now + worker.delayed_commands.1;
            self.push(at, Arrival::DelayedCommand(action.clone()));
            let event = failed(action, Failure::Unknown);
            self.push(now + TIMEOUT, Arrival::Event(term, event));
            return;
        }
        if worker.delayed_heartbeats.0 > 0 && matches!(action, Action::Heartbeat { .. }) {
            worker.delayed_heartbeats.0 -= 1;
            let at = now + worker.delayed_heartbeats.1;
            self.push(at, Arrival::DelayedCommand(action.clone()));
            let event = failed(action, Failure::Unknown);
            self.push(now + TIMEOUT, Arrival::Event(term, event));
            return;
        }
        if let Action::Heartbeat { heartbeat, .. } = &action {
            self.acknowledge(&name, epoch, heartbeat.acknowledged);
        }
        let worker = self.by_name(&name).expect("the worker was found above");
        let lost = worker.lost_responses > 0 && !matches!(action, Action::Heartbeat { .. });
        if lost {
            worker.lost_responses -= 1;
        }
        let was_running = match &action {
            Action::Start { start, .. } => worker.active.contains_key(&start.run),
            _ => false,
        };
        let Some(event) = carry_out(worker, &action, spec, now) else { return };
        if let Event::StartResult { run, outcome: Ok(_), .. } = &event {
            self.starts += 1;
            self.record_start(run.task.job);
            self.record_service_start(run.task);
            self.check_start(*run);
            if !was_running {
                self.check_domain(&name, *run);
                let step = &self.specs[&run.task.job].spec.steps[usize::from(run.task.step)];
                if !step.long_running && !step.speculative {
                    self.run_ends.start(*run, self.now);
                }
            }
        }
        if lost {
            let event = failed(action, Failure::Unknown);
            self.push(now + TIMEOUT, Arrival::Event(term, event));
        } else {
            self.answer(term, event);
        }
    }

    /// Carries out a command that its sender has given up long before.
    pub(super) fn carry_out_late(&mut self, action: &Action) {
        let now = self.now;
        let (Action::Start { target, .. }
        | Action::Stop { target, .. }
        | Action::Throttle { target, .. }
        | Action::Heartbeat { target, .. }) = action
        else {
            return;
        };
        let name = target.name.clone();
        let epoch = target.epoch;
        let spec = match action {
            Action::Start { start, .. } => Some(self.spec(start.run)),
            _ => None,
        };
        if let Action::Heartbeat { heartbeat, .. } = action {
            self.acknowledge(&name, epoch, heartbeat.acknowledged);
        }
        let machine = self.workers.iter().find(|(_, worker)| worker.name == name && worker.up);
        let Some(machine) = machine.map(|(machine, _)| machine.clone()) else { return };
        let demand = spec.as_ref().map(|(step, _)| step.demand);
        let worker = self.workers.get_mut(&machine).expect("the worker was found above");
        // Its response reaches nobody.
        let event = carry_out(worker, action, spec, now);
        let started = matches!(event, Some(Event::StartResult { outcome: Ok(_), .. }));
        if let Some(Event::StartResult { run, outcome: Ok(_), .. }) = &event {
            self.record_service_start(run.task);
            self.record_late_start(&name, *run);
        }
        if let (true, Some(demand), Some(bound)) = (started, demand, self.bounds.get_mut(&machine))
        {
            bound.allow_late_start(demand);
        }
    }

    fn spec(&self, run: Run) -> (Step, Duration) {
        let accepted = self.specs.get(&run.task.job).expect("only submitted jobs are started");
        let step = accepted.spec.steps[usize::from(run.task.step)].clone();
        let work = self.actual_work.get(&run.task.job).copied().unwrap_or(step.estimate);
        let tail = self.tails.get(&run.task.job);
        (step, tail.map_or(work, |tail| work * tail.factor(run.task)))
    }
}

/// Carries out a command on a worker, for a start with the step that it runs and its work; returns
/// the event with the result, or `None` if the action is no command to a worker.
fn carry_out(
    worker: &mut Worker,
    action: &Action,
    spec: Option<(Step, Duration)>,
    now: Time,
) -> Option<Event> {
    Some(match action {
        Action::Start { target, start } => {
            let (step, work) = spec.expect("a start has a spec");
            let outcome = worker.start(target.epoch, start, &step, work, now);
            Event::StartResult { target: target.clone(), run: start.run, outcome }
        }
        Action::Stop { target, run } => {
            let outcome = worker.stop(target.epoch, *run, now);
            Event::StopResult { target: target.clone(), run: *run, outcome }
        }
        Action::Throttle { target, run, percent } => {
            let outcome = worker.set_speed_limit(target.epoch, *run, *percent, now);
            Event::ThrottleResult { target: target.clone(), run: *run, percent: *percent, outcome }
        }
        Action::Heartbeat { target, heartbeat } => {
            let outcome = worker.heartbeat(target.epoch, heartbeat, now);
            Event::HeartbeatResult { target: target.clone(), outcome }
        }
        Action::Advise { .. }
        | Action::Write { .. }
        | Action::StartMaintenance { .. }
        | Action::SaveRollout { .. }
        | Action::Note(_) => return None,
    })
}

/// Returns the event of a command that failed.
pub(super) fn failed(action: Action, failure: Failure) -> Event {
    match action {
        Action::Start { target, start } => {
            Event::StartResult { target, run: start.run, outcome: Err(failure) }
        }
        Action::Stop { target, run } => Event::StopResult { target, run, outcome: Err(failure) },
        Action::Throttle { target, run, percent } => {
            Event::ThrottleResult { target, run, percent, outcome: Err(failure) }
        }
        Action::Heartbeat { target, .. } => {
            Event::HeartbeatResult { target, outcome: Err(failure) }
        }
        Action::Advise { .. }
        | Action::Write { .. }
        | Action::StartMaintenance { .. }
        | Action::SaveRollout { .. }
        | Action::Note(_) => Event::Tick,
    }
}
