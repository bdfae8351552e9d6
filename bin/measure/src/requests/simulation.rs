//! Simulation of callers, entries and backend servers, on one queue of virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::class::Class;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_ports::peer;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Settings;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::event_queue::Queue;
use crate::requests::caller::Completion;
use crate::requests::caller::Request;
use crate::requests::caller::TRIAL;
use crate::requests::caller::WEB;
use crate::requests::caller::services;
use crate::requests::case;
use crate::requests::case::Case;
use crate::requests::entries::Entry;
use crate::requests::figures::Figures;
use crate::requests::listing::domain_name;
use crate::requests::listing::server_name;
use crate::requests::policy::Kind;
use crate::requests::server::Phase;
use crate::requests::server::Server;
use crate::requests::sim_event::SimEvent;
use crate::sample::Lognormal;
use crate::sample::interval;

/// Maximum requests at one entry, far above the expected number.
const REQUESTS_MAX: usize = 100_000;
/// Time for outstanding answers after the callers stop, longer than the longest deadline.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(15);

/// Simulation of one case under one policy.
pub struct Simulation<'a> {
    pub(super) case: &'a Case,
    pub(super) queue: Queue<SimEvent>,
    pub(super) arrivals: StdRng,
    pub(super) service: Lognormal,
    pub(super) entries: Vec<Entry>,
    pub(super) servers: Vec<Server>,
    pub(super) leaving_since: Vec<Time>,
    pub(super) names: BTreeMap<id::Instance, usize>,
    pub(super) listed: Vec<(Time, list::View)>,
    pub(super) requests: Vec<Request>,
    pub(super) actions: Vec<Action>,
    pub(super) figures: Figures,
}

/// Simulates one case under one policy.
pub fn run(case: &Case, kind: Kind, seed: u64) -> Figures {
    let mut simulation = Simulation::open(case, kind, seed);
    simulation.run_events();
    simulation.finish()
}

/// Returns the seed of an entry's random choices.
fn entry_seed(seed: u64, entry: usize) -> u64 {
    seed.wrapping_mul(1_000_003).wrapping_add(entry as u64)
}

impl Simulation<'_> {
    /// Creates a simulation in which every entry knows the services and the list, and callers are
    /// about to send.
    pub fn open(case: &Case, kind: Kind, seed: u64) -> Simulation<'_> {
        let entries = (0..case::ENTRIES).map(|entry| {
            let domain = entry % case::DOMAINS;
            let settings = Settings {
                domain: domain_name(domain),
                entries: case::ENTRIES as u16,
                entry: entry as u16,
                requests_max: REQUESTS_MAX,
                seed: entry_seed(seed, entry),
            };
            Entry { domain, policy: kind.open(settings), next_tick: None, calls: BTreeMap::new() }
        });
        let mut simulation = Simulation {
            case,
            queue: Queue::open(),
            arrivals: StdRng::seed_from_u64(seed),
            service: Lognormal::with_mean(case::SERVICE_MEAN, case::SERVICE_SIGMA),
            entries: entries.collect(),
            servers: (0..case::SERVERS).map(|n| Server::open(n % case::DOMAINS)).collect(),
            leaving_since: vec![Time::MAX; case::SERVERS],
            names: (0..case::SERVERS).map(|n| (server_name(n), n)).collect(),
            listed: Vec::new(),
            requests: Vec::new(),
            actions: Vec::new(),
            figures: Figures::default(),
        };
        simulation.set_up();
        simulation
    }

    fn set_up(&mut self) {
        self.publish_list();
        for entry in 0..self.entries.len() {
            for (name, spec) in services() {
                self.step(entry, Event::Service { name, spec: Arc::new(spec) });
            }
            self.read_list(entry);
        }
        self.queue.at(Time::ZERO, SimEvent::RequestSent(Class::Paying));
        if self.case.trial > 0.0 {
            self.queue.at(case::FAULT_AT, SimEvent::RequestSent(Class::Trial));
        }
        self.queue.at(case::FAULT_AT, SimEvent::Fault);
    }

    fn run_events(&mut self) {
        let end = self.case.length + DRAIN_TIME;
        while let Some(event) = self.queue.next_until(end) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::RequestSent(class) => self.send_request(class),
            SimEvent::RequestArrived(request) => self.deliver_request(request),
            SimEvent::AttemptArrived { server, incarnation, call } => {
                self.deliver_attempt(server, incarnation, call)
            }
            SimEvent::AttemptFinished { server, call, status } => {
                self.finish_attempt(server, call, status)
            }
            SimEvent::AttemptEnded { call, ending } => self.end_attempt(call, ending),
            SimEvent::ConnectionClosed { server, call } => {
                self.servers[server].close(call);
                self.start(server);
            }
            SimEvent::ClaimGranted { entry, request } => {
                let verdict = peer::Claimed::Granted;
                self.step(entry, Event::Claimed { request, verdict });
            }
            SimEvent::Tick(entry) => self.tick(entry),
            SimEvent::ListRead(entry) => self.read_list(entry),
            SimEvent::LeavingAnnounced { entry, instance, incarnation } => {
                self.step(entry, Event::Leaving { instance, incarnation });
            }
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Leave(server) => self.leave(server),
            SimEvent::Refuse(server) => {
                self.servers[server].phase = Phase::Refusing;
                self.queue.after(case::CROSS_DOMAIN_DELAY, SimEvent::Shutdown(server));
            }
            SimEvent::Shutdown(server) => self.shut_down(server),
            SimEvent::Restart(server) => {
                self.servers[server].restart();
                self.leaving_since[server] = Time::MAX;
                self.publish_list();
            }
        }
    }

    // Callers.

    fn send_request(&mut self, class: Class) {
        let share = if class == Class::Paying { self.case.paying } else { self.case.trial };
        let gap = interval(&mut self.arrivals, share * case::capacity());
        let now = self.queue.now();
        if now + gap < self.case.length {
            self.queue.after(gap, SimEvent::RequestSent(class));
        }
        let idempotent = self.arrivals.random_bool(case::IDEMPOTENT_SHARE);
        let keyed = self.arrivals.random_bool(case::KEYED_SHARE) && !idempotent;
        let demand = Duration::from_secs_f64(self.service.draw(&mut self.arrivals));
        let entry = self.arrivals.random_range(0..self.entries.len());
        self.requests.push(Request {
            class,
            idempotent,
            keyed,
            entry,
            sent: now,
            demand,
            attempts: 0,
            runs: 0,
            completions: 0,
        });
        let number = self.requests.len() - 1;
        self.queue.after(case::CALLER_DELAY, SimEvent::RequestArrived(number));
    }

    fn deliver_request(&mut self, number: usize) {
        let request = &self.requests[number];
        let service = if request.class == Class::Paying { WEB } else { TRIAL };
        let arrival = Arrival {
            service: service.into(),
            class: None,
            idempotent: request.idempotent,
            key: request.keyed.then(|| format!("key-{number}").into()),
            deadline: None,
        };
        let entry = request.entry;
        self.step(entry, Event::Arrived { request: number as id::Request, arrival });
    }

    pub(super) fn complete_request(&mut self, number: id::Request, result: Completion) {
        let now = self.queue.now();
        let request = &mut self.requests[number as usize];
        request.completions = request.completions.saturating_add(1);
        if request.completions > 1 {
            self.figures.counts.answered_twice += 1;
            return;
        }
        let paying = request.class == Class::Paying;
        let counts = &mut self.figures.counts;
        match result {
            Completion::Success if paying => counts.paying_good += 1,
            Completion::Success => counts.trial_good += 1,
            Completion::Failed => counts.failed += 1,
            Completion::NotRun if paying => counts.paying_refused += 1,
            Completion::NotRun => counts.trial_refused += 1,
            Completion::Unknown => counts.unknown += 1,
        }
        if result == Completion::NotRun && request.runs > 0 {
            counts.denied_but_ran += 1;
        }
        if paying && result != Completion::NotRun && request.sent >= case::WARM_UP {
            let latency = now + case::CALLER_DELAY - request.sent;
            self.figures.record(latency);
        }
    }

    // Results.

    fn finish(mut self) -> Figures {
        self.figures.seconds = self.case.length.as_secs_f64();
        if self.case.trial > 0.0 {
            self.figures.trial_seconds = (self.case.length - case::FAULT_AT).as_secs_f64();
        }
        let counts = &mut self.figures.counts;
        for request in &self.requests {
            match request.class {
                Class::Paying => counts.paying_sent += 1,
                _ => counts.trial_sent += 1,
            }
            counts.lost += u64::from(request.completions == 0);
            counts.doubled += u64::from(!request.idempotent && request.runs > 1);
        }
        let peak = self.servers.iter().map(|server| server.connections_peak).max();
        counts.connections_peak = peak.unwrap_or(0) as u64;
        self.figures
    }
}
