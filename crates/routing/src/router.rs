//! The router, which makes one entry instance's decisions about requests.

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

/// Delay of a due timer above which this process is taken to have stalled.
const STALL_MIN: Duration = Duration::from_millis(100);

/// Settings of a router that no operator changes while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The failure domain of this entry.
    pub domain: id::Domain,
    /// Number of entries that share the backend servers' connections.
    pub entries: u16,
    /// Index of this entry among them, from zero.
    pub entry: u16,
    /// Maximum number of requests in progress at this entry.
    pub requests_max: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

/// An instance and its incarnation, as a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Identity {
    pub(crate) instance: id::Instance,
    pub(crate) incarnation: id::Incarnation,
}

/// A claim whose request ended before the key's owner answered.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) service: id::Service,
    pub(crate) key: id::IdempotencyKey,
}

/// Time and output of one step.
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
/// Hash maps are never iterated over, so that the same events and seed give the same actions.
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
    /// Pools that may have gained free capacity or lost their last backend server in this step.
    pub(crate) changed_pools: SmallVec<[Id<Pool>; 4]>,
    pub(crate) last_sequence: Sequence,
    /// End of the last stall of this process, which was frozen or starved of CPU. The endings of
    /// attempts sent before it say nothing about their backend servers.
    pub(crate) stall_ended: Time,
    /// Version of the membership list in use.
    pub(crate) list_version: Option<u64>,
    /// Whether a service declaration or a membership list has arrived.
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

    /// Handles one event and appends the resulting actions in order.
    ///
    /// `now` must not decrease from one call to the next. Timers fire only on [`Event::Tick`], so
    /// that after a stall of this process the answers already received are handled before deadlines
    /// expire.
    pub fn step(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let mut step = Step { now, actions };
        self.detect_stall(now);
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

    fn detect_stall(&mut self, now: Time) {
        let due = self.next_due();
        if due.is_some_and(|due| now.saturating_sub(due) > STALL_MIN) {
            self.stall_ended = now;
        }
    }

    /// Returns when an [`Event::Tick`] is next due, or `None` while no request is in progress.
    pub fn next_due(&self) -> Option<Time> {
        if self.requests.is_empty() { None } else { self.timers.next() }
    }

    /// Returns the number of requests without a final answer.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }
}
