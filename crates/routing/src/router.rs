//! The router: one entry instance's decisions about requests.

use std::collections::HashMap;
use std::time::Duration;

use cowslipchute_base::entity::Id;
use cowslipchute_base::entity::Table;
use cowslipchute_base::event as log;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use crate::action::Action;
use crate::attempt::Attempts;
use crate::backend::Backend;
use crate::event::Event;
use crate::leaving::Instances;
use crate::pool::Pool;
use crate::queue::Sequence;
use crate::request::Request;
use crate::service::Service;
use crate::timer::Timers;

/// How late this process may do what is due before its own pause explains what it finds.
const PAUSE: Duration = Duration::from_millis(100);

/// Settings of a router that no operator changes while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domain of this entry.
    pub domain: id::Domain,
    /// How many entries share the backend servers' connections.
    pub entries: u16,
    /// This entry's place among them, from zero.
    pub entry: u16,
    /// Requests in progress that this entry holds at most.
    pub requests_max: usize,
    /// Seeds all sampling.
    pub seed: u64,
}

/// One life of one instance, as a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Identity {
    pub(crate) instance: id::Instance,
    pub(crate) incarnation: id::Incarnation,
}

/// A claim whose request was over before the verdict came.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) service: id::Service,
    pub(crate) key: id::IdempotencyKey,
}

/// What one step works with.
#[derive(Debug)]
pub(crate) struct Step<'a> {
    pub(crate) now: Time,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl Step<'_> {
    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn log(&mut self, event: log::Event, subject: &id::Instance) {
        self.act(Action::Note { event, subject: subject.clone() });
    }
}

/// Decides about every request of one entry instance.
///
/// Hash maps are only looked up in, never walked, so that the same events and seed give the same
/// actions.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) services: Table<Service>,
    pub(crate) service_ids: HashMap<id::Service, Id<Service>>,
    pub(crate) pools: Table<Pool>,
    pub(crate) pool_ids: HashMap<id::Service, Id<Pool>>,
    pub(crate) backends: Table<Backend>,
    pub(crate) backend_ids: HashMap<Identity, Id<Backend>>,
    pub(crate) requests: Table<Request>,
    pub(crate) request_ids: HashMap<id::Request, Id<Request>>,
    pub(crate) attempts: Attempts,
    pub(crate) ended_claims: HashMap<id::Request, Claim>,
    pub(crate) timers: Timers,
    pub(crate) leaving: Instances,
    /// Pools in which room may have come free, or the last backend server gone, in this step.
    pub(crate) changed_pools: SmallVec<[Id<Pool>; 4]>,
    pub(crate) last_sequence: Sequence,
    /// When this process last did something far later than it was due, as one does that was frozen
    /// or starved. Attempts sent before say nothing about their backend servers.
    pub(crate) stall_ended: Time,
    /// The version of the list in use.
    pub(crate) list_version: Option<u64>,
    /// Whether any service was ever declared here.
    pub(crate) is_ready: bool,
    pub(crate) is_draining: bool,
}

impl Router {
    /// Opens a router that knows no service and no backend server yet.
    pub fn open(settings: Settings) -> Router {
        Router {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            services: Table::default(),
            service_ids: HashMap::new(),
            pools: Table::default(),
            pool_ids: HashMap::new(),
            backends: Table::default(),
            backend_ids: HashMap::new(),
            requests: Table::default(),
            request_ids: HashMap::new(),
            attempts: Attempts::default(),
            ended_claims: HashMap::new(),
            timers: Timers::default(),
            leaving: Instances::default(),
            changed_pools: SmallVec::new(),
            last_sequence: 0,
            stall_ended: Time::ZERO,
            list_version: None,
            is_ready: false,
            is_draining: false,
        }
    }

    /// Takes one event at a time and appends what is to be done, in order.
    ///
    /// `now` never goes back from one call to the next. What is due is done on a tick alone: after a
    /// pause of this process, answers that are at hand are given before deadlines are counted.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let mut step = Step { now, actions };
        self.notice_waking(now);
        match event {
            Event::Service { name, spec } => self.declare(name, spec),
            Event::ServiceGone { name } => self.withdraw(&name, &mut step),
            Event::Listed { view } => self.apply_list(&view, &mut step),
            Event::Leaving { instance, incarnation } => {
                self.notified_leaving(&instance, incarnation, &mut step);
            }
            Event::Arrived { request, arrival } => self.arrived(request, arrival, &mut step),
            Event::Abandoned { request } => self.abandoned(request, &mut step),
            Event::Ended { attempt, ending } => self.ended(attempt, ending, &mut step),
            Event::Claimed { request, verdict } => self.claimed(request, verdict, &mut step),
            Event::Tick => self.run_due(&mut step),
            Event::Drain => self.is_draining = true,
        }
        self.place_waiting(&mut step);
        self.prune_timers();
    }

    fn notice_waking(&mut self, now: Time) {
        let due = self.next_due();
        if due.is_some_and(|due| now.saturating_sub(due) > PAUSE) {
            self.stall_ended = now;
        }
    }

    /// Tells when a [`Event::Tick`] is next due; nothing while no request waits.
    pub fn next_due(&self) -> Option<Time> {
        if self.requests.is_empty() { None } else { self.timers.next() }
    }

    /// Counts the requests that have no final answer yet.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }
}
