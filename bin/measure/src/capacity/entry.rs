//! Cost of an entry's decisions.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_resource::service;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Ending;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;

use crate::capacity::slope::Slope;
use crate::cpu_time;
use crate::memory;

/// Numbers of listed backend servers.
const BACKEND_COUNTS: &[usize] = &[50, 200, 800, 3200];
/// Numbers of requests in progress.
const REQUEST_COUNTS: &[usize] = &[1_000, 4_000, 16_000];
/// Numbers of declared services.
const SERVICE_COUNTS: &[usize] = &[100, 400, 1_600];
/// Requests per timing.
const TIMED_REQUESTS: u32 = 50_000;
/// Interval between requests, for 5,000 per second.
const REQUEST_INTERVAL: Duration = Duration::from_micros(200);
/// Requests in progress during a timing.
const REQUESTS_IN_PROGRESS: usize = 100;
/// List updates or decodings per timing.
const TIMED_LISTS: u32 = 20;

/// Costs of the router.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Microseconds per request, from arrival to answer.
    pub request: Slope,
    /// Microseconds to process a changed list.
    pub list_update: Slope,
    /// Microseconds to decode a list.
    pub list_decode: Slope,
    /// Memory by backend servers, in bytes.
    pub backends: Slope,
    /// Memory by requests in progress, in bytes.
    pub requests: Slope,
    /// Memory by services, in bytes.
    pub services: Slope,
}

impl Entry {
    /// Measures all costs.
    pub fn measure() -> Entry {
        let slope = |quantity, variable, sizes, value: fn(usize) -> f64| {
            Slope::measure("entry", quantity, variable, sizes, value)
        };
        Entry {
            request: slope(
                "µs of decisions for a request",
                "backend servers",
                BACKEND_COUNTS,
                request_micros,
            ),
            list_update: slope(
                "µs to take in a changed list",
                "backend servers",
                BACKEND_COUNTS,
                list_update_micros,
            ),
            list_decode: slope(
                "µs to decode a list",
                "members",
                BACKEND_COUNTS,
                list_decode_micros,
            ),
            backends: slope("bytes of state", "backend servers", BACKEND_COUNTS, backend_bytes),
            requests: slope(
                "bytes of state",
                "requests in progress",
                REQUEST_COUNTS,
                request_bytes,
            ),
            services: slope("bytes of state", "services", SERVICE_COUNTS, service_bytes),
        }
    }

    /// Returns all slopes, in the order of the report.
    pub fn slopes(&self) -> Vec<&Slope> {
        vec![
            &self.request,
            &self.list_update,
            &self.list_decode,
            &self.backends,
            &self.requests,
            &self.services,
        ]
    }
}

fn router() -> Router {
    Router::open(Settings {
        domain: "domain-0".into(),
        entries: 9,
        entry: 0,
        requests_max: 1_000_000,
        seed: 1,
    })
}

fn declare_services(router: &mut Router, count: usize) {
    let mut actions = Vec::new();
    for number in 0..count {
        let spec = service::Spec { queue: 100_000, ..service::Spec::default() };
        let name = service_name(number).into();
        router.step(Time::ZERO, Event::Service { name, spec: Arc::new(spec) }, &mut actions);
    }
}

fn service_name(number: usize) -> String {
    format!("service-{number}")
}

fn view(version: u64, count: usize) -> list::View {
    let members = (0..count).map(|number| list::Member {
        instance: format!("executor-{number:05}").into(),
        // The first member has a new incarnation in each version, so that the list changes.
        incarnation: if number == 0 { version } else { 1 },
        role: list::Role::Backend,
        state: list::State::Live,
        domain: format!("domain-{}", number % 3).into(),
        rack: "".into(),
        address: (Ipv4Addr::new(10, 0, (number / 256) as u8, (number % 256) as u8), 8000).into(),
        service: service_name(0).into(),
        slots: 8,
        connections: 60,
        capacity: Amount::ZERO,
    });
    list::View { version, members: members.collect() }
}

fn update_list(router: &mut Router, now: Time, view: list::View) {
    router.step(now, Event::Listed { view }, &mut Vec::new());
}

fn arrival() -> Arrival {
    Arrival {
        service: service_name(0).into(),
        class: None,
        idempotent: true,
        key: None,
        deadline: None,
    }
}

fn router_with(backends: usize) -> Router {
    let mut router = router();
    declare_services(&mut router, 1);
    update_list(&mut router, Time::ZERO, view(1, backends));
    router
}

/// Measures requests that are each answered after 100 later ones have arrived.
fn request_micros(backends: usize) -> f64 {
    let mut router = router_with(backends);
    let mut waiting = std::collections::VecDeque::new();
    let mut actions = Vec::new();
    let mut now = Time::ZERO;
    let before = cpu_time::now();
    for number in 0..TIMED_REQUESTS {
        now += REQUEST_INTERVAL;
        let event = Event::Arrived { request: number.into(), arrival: arrival() };
        router.step(now, event, &mut actions);
        collect_attempts(&mut actions, &mut waiting);
        if waiting.len() > REQUESTS_IN_PROGRESS {
            let attempt = waiting.pop_front().expect("more requests wait than the minimum");
            let ending = Ending::Answered { status: 200, leaving: false };
            router.step(now, Event::Ended { attempt, ending }, &mut actions);
            collect_attempts(&mut actions, &mut waiting);
        }
        if router.next_due().is_some_and(|due| due <= now) {
            router.step(now, Event::Tick, &mut actions);
            collect_attempts(&mut actions, &mut waiting);
        }
    }
    (cpu_time::now() - before).as_secs_f64() * 1e6 / f64::from(TIMED_REQUESTS)
}

fn collect_attempts(actions: &mut Vec<Action>, waiting: &mut std::collections::VecDeque<u64>) {
    for action in actions.drain(..) {
        if let Action::Send { attempt, .. } = black_box(action) {
            waiting.push_back(attempt);
        }
    }
}

fn list_update_micros(backends: usize) -> f64 {
    let mut router = router_with(backends);
    let views: Vec<_> =
        (0..TIMED_LISTS).map(|number| view(u64::from(number) + 2, backends)).collect();
    let before = cpu_time::now();
    for (number, view) in views.into_iter().enumerate() {
        update_list(&mut router, Time::from_secs(number as u64), view);
    }
    (cpu_time::now() - before).as_secs_f64() * 1e6 / f64::from(TIMED_LISTS)
}

fn list_decode_micros(members: usize) -> f64 {
    let bytes = serde_json::to_vec(&view(1, members)).expect("a list serializes to JSON");
    let before = cpu_time::now();
    for _ in 0..TIMED_LISTS {
        let view: list::View = serde_json::from_slice(&bytes).expect("the list was encoded above");
        black_box(view);
    }
    (cpu_time::now() - before).as_secs_f64() * 1e6 / f64::from(TIMED_LISTS)
}

/// Returns the memory that dropping a value frees, in bytes.
fn bytes_held<T>(value: T) -> f64 {
    let before = memory::allocated_bytes();
    drop(value);
    before.saturating_sub(memory::allocated_bytes()) as f64
}

fn backend_bytes(backends: usize) -> f64 {
    bytes_held(router_with(backends))
}

fn request_bytes(requests: usize) -> f64 {
    let mut router = router_with(50);
    let mut actions = Vec::new();
    for number in 0..requests {
        let event = Event::Arrived { request: number as u64, arrival: arrival() };
        router.step(Time::ZERO, event, &mut actions);
    }
    bytes_held(router)
}

fn service_bytes(services: usize) -> f64 {
    let mut router = router();
    declare_services(&mut router, services);
    bytes_held(router)
}
