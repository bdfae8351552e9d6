//! Entry side of the simulation: performs the actions of the policies.

use std::collections::BTreeMap;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;

use crate::requests::backends::OK_STATUS;
use crate::requests::caller::Completion;
use crate::requests::case;
use crate::requests::policy::Policy;
use crate::requests::server::Call;
use crate::requests::sim_event::SimEvent;
use crate::requests::simulation::DRAIN_TIME;
use crate::requests::simulation::Simulation;

/// Minimum time between two ticks, so that a policy that is always due can't stop virtual time.
const TICK_INTERVAL_MIN: Duration = Duration::from_micros(10);

/// State of an entry.
pub(super) struct Entry {
    pub(super) domain: usize,
    pub(super) policy: Box<dyn Policy>,
    pub(super) next_tick: Option<Time>,
    pub(super) calls: BTreeMap<Attempt, InFlight>,
}

/// An attempt in progress at an entry.
pub(super) struct InFlight {
    pub(super) server: usize,
    pub(super) call: Call,
    pub(super) status: u16,
}

impl Simulation<'_> {
    pub(super) fn step(&mut self, entry: usize, event: Event) {
        let now = self.queue.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.entries[entry].policy.step(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(entry, action);
        }
        self.actions = actions;
        self.schedule_tick(entry, now);
    }

    pub(super) fn schedule_tick(&mut self, entry: usize, earliest: Time) {
        let state = &mut self.entries[entry];
        let Some(due) = state.policy.next_due() else { return };
        let due = due.max(earliest);
        if state.next_tick.is_none_or(|known| due < known) {
            state.next_tick = Some(due);
            self.queue.at(due, SimEvent::Tick(entry));
        }
    }

    pub(super) fn tick(&mut self, entry: usize) {
        let now = self.queue.now();
        if self.entries[entry].next_tick != Some(now) {
            return;
        }
        // `next_tick` stays set during the step, so that the step schedules no second tick for the
        // same time.
        self.step(entry, Event::Tick);
        let state = &mut self.entries[entry];
        state.next_tick = None;
        if state.policy.next_due().is_some_and(|due| due <= now) {
            self.figures.counts.spins += 1;
        }
        self.schedule_tick(entry, now + TICK_INTERVAL_MIN);
    }

    pub(super) fn perform(&mut self, entry: usize, action: Action) {
        match action {
            Action::Send { request, attempt, instance, incarnation, .. } => {
                self.send(entry, request, attempt, &instance, incarnation);
            }
            Action::Cancel { attempt } => self.cancel(entry, attempt),
            Action::Forward { request, attempt } => self.forward(entry, request, attempt),
            Action::Replay { request, .. } => self.complete_request(request, Completion::Success),
            Action::Reply { request, code, .. } => {
                self.complete_request(request, Completion::of(code))
            }
            Action::Claim { request, .. } => {
                self.queue
                    .after(case::SAME_DOMAIN_DELAY * 2, SimEvent::ClaimGranted { entry, request });
            }
            Action::Announce { instance, incarnation } => {
                self.announce(entry, &instance, incarnation);
            }
            Action::Settle { .. } | Action::Note { .. } => {}
        }
    }

    pub(super) fn network_delay(&self, entry: usize, server: usize) -> Duration {
        let same = self.entries[entry].domain == self.servers[server].domain;
        if same { case::SAME_DOMAIN_DELAY } else { case::CROSS_DOMAIN_DELAY }
    }

    pub(super) fn send(
        &mut self,
        entry: usize,
        request: id::Request,
        attempt: Attempt,
        instance: &id::Instance,
        incarnation: id::Incarnation,
    ) {
        let number = request as usize;
        let server = self.names[instance];
        let call = Call { entry, attempt, request: number };
        let tries = &mut self.requests[number].attempts;
        *tries = tries.saturating_add(1);
        self.figures.counts.extra_attempts += u64::from(*tries > 1);
        self.entries[entry].calls.insert(attempt, InFlight { server, call, status: 0 });
        let delay = self.network_delay(entry, server);
        self.queue.after(delay, SimEvent::AttemptArrived { server, incarnation, call });
    }

    pub(super) fn cancel(&mut self, entry: usize, attempt: Attempt) {
        let Some(in_flight) = self.entries[entry].calls.remove(&attempt) else { return };
        let (server, call) = (in_flight.server, in_flight.call);
        let delay = self.network_delay(entry, server);
        self.queue.after(delay, SimEvent::ConnectionClosed { server, call });
    }

    pub(super) fn end_attempt(&mut self, call: Call, ending: Ending) {
        let calls = &mut self.entries[call.entry].calls;
        match ending {
            Ending::Answered { status, .. } => {
                let Some(in_flight) = calls.get_mut(&call.attempt) else { return };
                in_flight.status = status;
            }
            _ => {
                if calls.remove(&call.attempt).is_none() {
                    return;
                }
            }
        }
        self.step(call.entry, Event::Ended { attempt: call.attempt, ending });
        self.entries[call.entry].calls.remove(&call.attempt);
    }

    pub(super) fn forward(&mut self, entry: usize, request: id::Request, attempt: Attempt) {
        let in_flight = self.entries[entry].calls.get(&attempt);
        let in_flight = in_flight.expect("only an attempt that has just answered is forwarded");
        assert_eq!(
            in_flight.call.request as id::Request, request,
            "an answer goes to its own caller"
        );
        let result =
            if in_flight.status == OK_STATUS { Completion::Success } else { Completion::Failed };
        self.complete_request(request, result);
    }

    pub(super) fn announce(
        &mut self,
        from: usize,
        instance: &id::Instance,
        incarnation: id::Incarnation,
    ) {
        for entry in (0..self.entries.len()).filter(|&entry| entry != from) {
            let same = self.entries[entry].domain == self.entries[from].domain;
            let delay = if same { case::SAME_DOMAIN_DELAY } else { case::CROSS_DOMAIN_DELAY };
            let instance = instance.clone();
            self.queue.after(delay, SimEvent::LeavingAnnounced { entry, instance, incarnation });
        }
    }

    pub(super) fn read_list(&mut self, entry: usize) {
        let visible_at = self.queue.now().saturating_sub(case::LIST_LAG);
        let view = self.listed.iter().rev().find(|(time, _)| *time <= visible_at);
        let (_, view) = view.expect("the first list stands from time zero");
        let view = view.clone();
        self.step(entry, Event::Listed { view });
        let now = self.queue.now();
        // Entries started at different times, so their reads are offset.
        let offset =
            if now == Time::ZERO { case::LIST_INTERVAL / 10 * entry as u32 } else { Time::ZERO };
        if now < self.case.length + DRAIN_TIME {
            self.queue.after(case::LIST_INTERVAL + offset, SimEvent::ListRead(entry));
        }
    }
}
