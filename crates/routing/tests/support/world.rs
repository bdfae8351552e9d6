//! A router with its membership list and a manual clock.

use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::amount::Amount;
use cowslipchute_base::id::Time;
use cowslipchute_ports::list;
use cowslipchute_resource::service::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Arrival;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router::Router;
use cowslipchute_routing::router::Settings;

use super::check::Check;

/// A router under test.
pub struct World {
    /// The time.
    pub now: Time,
    /// The router.
    pub router: Router,
    /// The platform's membership list, which the router receives on [`World::list`].
    pub view: list::View,
    check: Check,
}

/// Returns the default settings of the tests.
pub fn settings() -> Settings {
    Settings { domain: "a".into(), entries: 1, entry: 0, requests_max: 1000, seed: 1 }
}

/// Returns a backend server of eight slots.
pub fn member(name: &str, service: &str, domain: &str) -> list::Member {
    list::Member {
        instance: name.into(),
        incarnation: 1,
        role: list::Role::Backend,
        state: list::State::Live,
        domain: domain.into(),
        rack: "".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        service: service.into(),
        slots: 8,
        connections: 60,
        capacity: Amount::ZERO,
    }
}

/// Returns a request without class, key and deadline.
pub fn arrival(service: &str, idempotent: bool) -> Arrival {
    Arrival { service: service.into(), class: None, idempotent, key: None, deadline: None }
}

impl World {
    /// Opens a router that has received no event.
    pub fn open(settings: Settings) -> World {
        World {
            now: Time::ZERO,
            router: Router::open(settings.clone()),
            view: list::View::default(),
            check: Check::open(settings),
        }
    }

    /// Passes one event to the router, and checks and returns its actions.
    pub fn step(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check.before(self.now, &event);
        self.router.step(self.now, event.clone(), &mut actions);
        self.check.after(self.now, &event, &actions, &self.router);
        actions
    }

    /// Declares a service.
    pub fn service(&mut self, name: &str, spec: Spec) -> Vec<Action> {
        self.step(Event::Service { name: name.into(), spec: Arc::new(spec) })
    }

    /// Passes the membership list to the router.
    pub fn list(&mut self) -> Vec<Action> {
        self.view.version += 1;
        let view = self.view.clone();
        self.step(Event::Listed { view })
    }

    /// Advances the clock, with a tick whenever the router has a timer due.
    pub fn pass(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while let Some(due) = self.router.next_due().filter(|&due| due < end) {
            self.now = due;
            actions.extend(self.step(Event::Tick));
        }
        self.now = end;
        actions.extend(self.step(Event::Tick));
        actions
    }
}
