//! Request policies under comparison: the shipped router and three simple ones with its interface.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslipchute_base::code::Code;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_resource::service;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

/// Routing policy of one entry.
pub trait Policy {
    /// Processes an event and appends the resulting actions.
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
    /// Returns the time of the next tick, if one is due.
    fn next_due(&self) -> Option<Time>;
}

impl Policy for Router {
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Router::step(self, now, event, actions);
    }

    fn next_due(&self) -> Option<Time> {
        Router::next_due(self)
    }
}

/// Kind of policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The shipped router.
    Shipped,
    /// Each listed backend server in turn.
    RoundRobin,
    /// Any listed backend server.
    Random,
    /// The listed backend server with the fewest requests in flight from this entry.
    LeastInFlight,
}

impl Kind {
    /// All policies, the shipped one first.
    pub const ALL: [Kind; 4] = [Kind::Shipped, Kind::RoundRobin, Kind::Random, Kind::LeastInFlight];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Shipped => "chosen",
            Kind::RoundRobin => "round robin",
            Kind::Random => "random",
            Kind::LeastInFlight => "least in flight",
        }
    }

    /// Creates the policy for one entry.
    pub fn open(self, settings: Settings) -> Box<dyn Policy> {
        match self {
            Kind::Shipped => Box::new(Router::open(settings)),
            _ => Box::new(Baseline::open(self, settings)),
        }
    }
}

#[derive(Debug)]
struct Backend {
    instance: id::Instance,
    incarnation: id::Incarnation,
    address: SocketAddr,
    in_flight: u32,
}

#[derive(Debug)]
struct Pending {
    arrival: Arrival,
    deadline: Time,
    attempt: Attempt,
    backend: usize,
    tried: SmallVec<[usize; 4]>,
}

/// A policy without admission control, outlier ejection, limits or hedging. It sends each request
/// on immediately and retries one that can't have run, or that is idempotent, elsewhere.
#[derive(Debug)]
pub struct Baseline {
    kind: Kind,
    rng: StdRng,
    services: BTreeMap<id::Service, std::sync::Arc<service::Spec>>,
    view_version: u64,
    backends: Vec<Backend>,
    next_index: usize,
    pending: BTreeMap<id::Request, Pending>,
    attempts: BTreeMap<Attempt, id::Request>,
    deadlines: BTreeMap<Time, Vec<id::Request>>,
    next_attempt: Attempt,
}

impl Baseline {
    /// Creates the policy for one entry.
    pub fn open(kind: Kind, settings: Settings) -> Baseline {
        Baseline {
            kind,
            rng: StdRng::seed_from_u64(settings.seed),
            services: BTreeMap::new(),
            view_version: 0,
            backends: Vec::new(),
            next_index: usize::from(settings.entry),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            next_attempt: 1,
        }
    }

    fn update_backends(&mut self, view: &list::View) {
        if view.version <= self.view_version {
            return;
        }
        self.view_version = view.version;
        let live = view.members.iter().filter(|member| {
            member.role == list::Role::Backend && member.state == list::State::Live
        });
        self.backends = live
            .map(|member| Backend {
                instance: member.instance.clone(),
                incarnation: member.incarnation,
                address: member.address,
                in_flight: 0,
            })
            .collect();
        // In-flight counts restart from zero with a new list.
        for pending in self.pending.values_mut() {
            pending.backend = usize::MAX;
            pending.tried.clear();
        }
    }

    fn choose(&mut self, tried: &[usize]) -> Option<usize> {
        let count = self.backends.len();
        if tried.len() >= count {
            return None;
        }
        let first = match self.kind {
            Kind::RoundRobin => self.next_index,
            _ => self.rng.random_range(0..count),
        };
        self.next_index = (self.next_index + 1) % count;
        let order = (0..count).map(|step| (first + step) % count);
        let mut free = order.filter(|index| !tried.contains(index));
        match self.kind {
            Kind::LeastInFlight => free.min_by_key(|&index| self.backends[index].in_flight),
            _ => free.next(),
        }
    }

    fn send(&mut self, now: Time, request: id::Request, actions: &mut Vec<Action>) {
        let Some(mut pending) = self.pending.remove(&request) else { return };
        let Some(index) = self.choose(&pending.tried) else {
            let code = if pending.tried.is_empty() { Code::NoBackend } else { Code::Refused };
            actions.push(Action::Reply { request, code, retry_after: None });
            return;
        };
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        let backend = &mut self.backends[index];
        backend.in_flight += 1;
        actions.push(Action::Send {
            request,
            attempt,
            instance: backend.instance.clone(),
            incarnation: backend.incarnation,
            address: backend.address,
            remaining: pending.deadline.saturating_sub(now),
        });
        pending.attempt = attempt;
        pending.backend = index;
        pending.tried.push(index);
        self.attempts.insert(attempt, request);
        self.pending.insert(request, pending);
    }

    fn handle_arrival(
        &mut self,
        now: Time,
        request: id::Request,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        let Some(spec) = self.services.get(&arrival.service) else {
            actions.push(Action::Reply { request, code: Code::NoService, retry_after: None });
            return;
        };
        let deadline = now + arrival.deadline.unwrap_or(spec.deadline);
        let pending =
            Pending { arrival, deadline, attempt: 0, backend: usize::MAX, tried: SmallVec::new() };
        self.deadlines.entry(deadline).or_default().push(request);
        self.pending.insert(request, pending);
        self.send(now, request, actions);
    }

    fn release(&mut self, backend: usize) {
        if let Some(backend) = self.backends.get_mut(backend) {
            backend.in_flight = backend.in_flight.saturating_sub(1);
        }
    }

    fn handle_end(
        &mut self,
        now: Time,
        attempt: Attempt,
        ending: Ending,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.attempts.remove(&attempt) else { return };
        let Some(pending) = self.pending.get(&request) else { return };
        let (backend, tries) = (pending.backend, pending.tried.len());
        let idempotent = pending.arrival.idempotent;
        self.release(backend);
        let code = match ending {
            Ending::Answered { .. } => {
                self.pending.remove(&request);
                actions.push(Action::Forward { request, attempt });
                return;
            }
            Ending::Unsent | Ending::Refused { .. } => Code::Refused,
            Ending::Broken => Code::Lost,
            Ending::Truncated => Code::Truncated,
            Ending::TooLarge => Code::AnswerTooLarge,
        };
        let may_retry = code == Code::Refused || (idempotent && code != Code::AnswerTooLarge);
        if may_retry && tries < ATTEMPTS_MAX {
            self.send(now, request, actions);
            return;
        }
        self.pending.remove(&request);
        actions.push(Action::Reply { request, code, retry_after: None });
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(entry) = self.deadlines.first_entry() {
            if *entry.key() > now {
                return;
            }
            for request in entry.remove() {
                let Some(pending) = self.pending.remove(&request) else { continue };
                self.attempts.remove(&pending.attempt);
                self.release(pending.backend);
                actions.push(Action::Cancel { attempt: pending.attempt });
                actions.push(Action::Reply { request, code: Code::Timeout, retry_after: None });
            }
        }
    }
}

/// Maximum attempts per request.
const ATTEMPTS_MAX: usize = 3;

impl Policy for Baseline {
    fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Service { name, spec } => {
                self.services.insert(name, spec);
            }
            Event::Listed { view } => self.update_backends(&view),
            Event::Arrived { request, arrival } => {
                self.handle_arrival(now, request, arrival, actions)
            }
            Event::Ended { attempt, ending } => self.handle_end(now, attempt, ending, actions),
            Event::Tick => self.tick(now, actions),
            _ => {}
        }
    }

    fn next_due(&self) -> Option<Time> {
        self.deadlines.first_key_value().map(|(time, _)| *time)
    }
}
