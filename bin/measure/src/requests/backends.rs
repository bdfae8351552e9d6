//! Backend server side of the simulation.

use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_ports::list;
use cowslipchute_routing::event::Ending;

use crate::requests::case;
use crate::requests::case::Fault;
use crate::requests::listing::entry_member;
use crate::requests::listing::member;
use crate::requests::server::Admission;
use crate::requests::server::Call;
use crate::requests::server::Mode;
use crate::requests::server::Phase;
use crate::requests::sim_event::SimEvent;
use crate::requests::simulation::Simulation;

/// Time within which entries are expected to stop sending to a leaving executor.
const LEAVING_DETECTION_MAX: Duration = Duration::from_secs(4);
/// Interval between replacements in the rolling case.
const ROLLING_INTERVAL: Duration = Duration::from_millis(700);
/// Status of a successful answer.
pub(super) const OK_STATUS: u16 = 200;
/// Status of an answer from a failing executor.
const FAILURE_STATUS: u16 = 500;

impl Simulation<'_> {
    pub(super) fn deliver_attempt(
        &mut self,
        server: usize,
        incarnation: id::Incarnation,
        call: Call,
    ) {
        let overdue_before = self.queue.now().saturating_sub(LEAVING_DETECTION_MAX);
        if self.leaving_since[server] < overdue_before && self.servers[server].phase != Phase::Gone
        {
            self.figures.counts.late_to_leaving += 1;
        }
        match self.servers[server].admit(call, incarnation) {
            Admission::Accepted => self.start(server),
            Admission::NoConnection => self.answer(server, call, Ending::Unsent),
            Admission::Refused => self.answer(server, call, Ending::Refused { leaving: true }),
        }
    }

    pub(super) fn start(&mut self, server: usize) {
        while let Some(call) = self.servers[server].start() {
            let request = &mut self.requests[call.request];
            request.runs = request.runs.saturating_add(1);
            let status = if self.servers[server].mode == Mode::FailFast {
                FAILURE_STATUS
            } else {
                OK_STATUS
            };
            if let Some(duration) = self.servers[server].duration(request.demand) {
                self.queue.after(duration, SimEvent::AttemptFinished { server, call, status });
            }
        }
    }

    pub(super) fn finish_attempt(&mut self, server: usize, call: Call, status: u16) {
        if self.servers[server].finish(call) {
            let leaving = self.servers[server].phase != Phase::Live;
            self.answer(server, call, Ending::Answered { status, leaving });
        }
        self.start(server);
    }

    pub(super) fn answer(&mut self, server: usize, call: Call, ending: Ending) {
        let delay = self.network_delay(call.entry, server);
        self.queue.after(delay, SimEvent::AttemptEnded { call, ending });
    }

    pub(super) fn publish_list(&mut self) {
        let version = self.listed.len() as u64 + 1;
        let members = self.servers.iter().enumerate().filter(|(_, s)| s.phase != Phase::Gone);
        let backends = members.map(|(number, server)| member(number, server));
        // The list includes the entries: each counts those that share its domain's backend servers.
        let entries = self.entries.iter().enumerate();
        let entries = entries.map(|(number, state)| entry_member(number, state.domain));
        let members = entries.chain(backends).collect();
        self.listed.push((self.queue.now(), list::View { version, members }));
    }

    pub(super) fn inject_fault(&mut self) {
        let first = &mut self.servers[0];
        match self.case.fault {
            Fault::None => {}
            Fault::Slow => first.mode = Mode::Slow,
            Fault::FailFast => first.mode = Mode::FailFast,
            Fault::BlackHole => first.mode = Mode::BlackHole,
            Fault::Rolling => {
                for server in 0..self.servers.len() {
                    self.queue.after(ROLLING_INTERVAL * server as u32, SimEvent::Leave(server));
                }
            }
        }
    }

    pub(super) fn leave(&mut self, server: usize) {
        self.servers[server].phase = Phase::Leaving;
        self.leaving_since[server] = self.queue.now();
        self.publish_list();
        self.queue.after(case::LEAVING_GRACE, SimEvent::Refuse(server));
    }

    pub(super) fn shut_down(&mut self, server: usize) {
        if !self.servers[server].is_idle() {
            self.queue.after(case::CROSS_DOMAIN_DELAY, SimEvent::Shutdown(server));
            return;
        }
        self.servers[server].phase = Phase::Gone;
        self.publish_list();
        self.queue.after(case::RESTART_TIME, SimEvent::Restart(server));
    }
}
