//! The decision thread: the only owner of the router. It passes events to the router one at a time
//! and sends the resulting commands to the front that holds the request.

mod act;
mod stop;

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use cowslipchute_base::event;
use cowslipchute_base::id;
use cowslipchute_base::id::Time;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::Notifier;
use cowslipchute_daemon::ring::TryRecv;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Change;
use cowslipchute_ports::peer;
use cowslipchute_resource::Kind;
use cowslipchute_resource::Spec;
use cowslipchute_routing::action::Action;
use cowslipchute_routing::event::Attempt;
use cowslipchute_routing::event::Event;
use cowslipchute_routing::router;
use cowslipchute_routing::router::Router;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;

use crate::message::Command;
use crate::message::PeerCommand;
use crate::message::PeerEvent;
use crate::message::Report;
use crate::message::Services;
use crate::message::Update;
use crate::outbox::Outbox;
use crate::share::Share;

/// Maximum number of messages read from one ring before the next ring is read.
const BATCH: usize = 64;

/// The rings to and from one front.
pub struct Channels {
    /// From the front.
    pub reports: ring::Receiver<Report>,
    /// To the front.
    pub commands: ring::Sender<Command>,
}

/// The inputs of the decision thread.
pub struct Decide {
    /// Settings of the router.
    pub router: router::Settings,
    /// The rings of the fronts, by the front's number.
    pub fronts: Vec<Channels>,
    /// From the thread that follows the configuration.
    pub changes: ring::Receiver<Change>,
    /// From the watch thread.
    pub updates: ring::Receiver<Update>,
    /// To the peer thread.
    pub peer_commands: ring::Sender<PeerCommand>,
    /// From the peer thread.
    pub peer_events: ring::Receiver<PeerEvent>,
    /// Wakes this thread; every ring that ends here notifies it.
    pub bell: Notifier,
    /// Set when configuration and list are loaded, cleared when a stop begins.
    pub readiness: Readiness,
    /// The stage of the stop.
    pub stop: Stop,
    /// For log events.
    pub logger: Logger,
    /// Dropped when a drain has no request in progress, which ends the accept thread.
    pub accepting: oneshot::Sender<()>,
    /// Dropped when this thread ends, which ends the watch thread.
    pub done: oneshot::Sender<()>,
}

/// Starts the decision thread. It ends when every front has ended, or when the stop is forced.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(decide: Decide) -> io::Result<EventLoop> {
    event_loop::spawn("decide", move || async move { Decider::open(decide).run().await })
}

struct Decider {
    router: Router,
    fronts: Vec<Front>,
    changes: ring::Receiver<Change>,
    updates: ring::Receiver<Update>,
    peer_commands: ring::Sender<PeerCommand>,
    peer_events: ring::Receiver<PeerEvent>,
    bell: Notifier,
    readiness: Readiness,
    stop: Stop,
    logger: Logger,
    _done: oneshot::Sender<()>,
    clock: Clock,
    share: Share,
    /// The front that runs each attempt.
    attempts: HashMap<Attempt, usize>,
    /// Requests whose claim could not be sent to the peer thread.
    unsent_claims: Vec<id::Request>,
    services: Services,
    services_changed: bool,
    configured: bool,
    listed: bool,
    draining_since: Option<Time>,
    accepting: Option<oneshot::Sender<()>>,
    /// A buffer reused between steps.
    actions: Vec<Action>,
}

struct Front {
    reports: ring::Receiver<Report>,
    commands: Outbox<Command>,
    ended: bool,
}

impl Front {
    fn open(channels: Channels) -> Front {
        Front { reports: channels.reports, commands: Outbox::open(channels.commands), ended: false }
    }
}

impl Decider {
    fn open(decide: Decide) -> Decider {
        Decider {
            share: Share::open(decide.router.entries, decide.fronts.len() as u16),
            router: Router::open(decide.router),
            fronts: decide.fronts.into_iter().map(Front::open).collect(),
            changes: decide.changes,
            updates: decide.updates,
            peer_commands: decide.peer_commands,
            peer_events: decide.peer_events,
            bell: decide.bell,
            readiness: decide.readiness,
            stop: decide.stop,
            logger: decide.logger,
            _done: decide.done,
            clock: Clock::start(),
            attempts: HashMap::new(),
            unsent_claims: Vec::new(),
            services: Services::new(),
            services_changed: false,
            configured: false,
            listed: false,
            draining_since: None,
            accepting: Some(decide.accepting),
            actions: Vec::new(),
        }
    }

    async fn run(mut self) {
        loop {
            self.read_updates();
            self.read_peer_events();
            let more = self.read_reports();
            self.tick();
            self.publish();
            self.advance_stop();
            if self.ended() {
                break;
            }
            if !more {
                self.wait().await;
            }
        }
        let forced = self.stop.stage() == Stage::Forced && self.router.in_progress() > 0;
        let event = if forced { event::Event::StopForced } else { event::Event::Stopped };
        log::emit(&self.logger, event, o!("in_progress" => self.router.in_progress()));
    }

    fn ended(&self) -> bool {
        self.stop.stage() == Stage::Forced || self.fronts.iter().all(|front| front.ended)
    }

    fn read_updates(&mut self) {
        while let TryRecv::Value(change) = self.changes.try_recv() {
            self.apply_change(change);
        }
        while let TryRecv::Value(Update::Listed { view }) = self.updates.try_recv() {
            self.listed = true;
            self.services_changed = true;
            let mut view = Arc::unwrap_or_clone(view);
            self.share.reserve_idle(&mut view);
            self.step(Event::Listed { view });
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Put { name, spec, .. } => {
                // Jobs, teams and policies concern only the scheduler.
                let Spec::Service(spec) = *spec else { return };
                self.services.insert(name.clone(), spec.class);
                self.services_changed = true;
                self.step(Event::Service { name, spec: Arc::new(spec) });
            }
            Change::Removed { kind: Kind::Service, name, .. } => {
                self.services.remove(&name);
                self.services_changed = true;
                self.step(Event::ServiceGone { name });
            }
            Change::Removed { .. } => {}
            Change::InForce { .. } => {
                self.services_changed |= !self.configured;
                self.configured = true;
            }
        }
    }

    fn read_peer_events(&mut self) {
        while let Some(request) = self.unsent_claims.pop() {
            let verdict = peer::Claimed::NotOwner;
            self.step(Event::Claimed { request, verdict });
        }
        while let TryRecv::Value(event) = self.peer_events.try_recv() {
            match event {
                PeerEvent::Claimed { request, verdict } => {
                    self.step(Event::Claimed { request, verdict });
                }
                PeerEvent::Leaving { instance, incarnation } => {
                    self.step(Event::Leaving { instance, incarnation });
                }
            }
        }
    }

    /// Reads a batch from each front and returns `true` if there may be more.
    fn read_reports(&mut self) -> bool {
        let mut more = false;
        for number in 0..self.fronts.len() {
            more |= self.read_batch(number);
        }
        more
    }

    fn read_batch(&mut self, number: usize) -> bool {
        for _ in 0..BATCH {
            match self.fronts[number].reports.try_recv() {
                TryRecv::Value(report) => self.handle_report(report),
                TryRecv::Empty => return false,
                TryRecv::Closed => {
                    self.fronts[number].ended = true;
                    return false;
                }
            }
        }
        true
    }

    fn handle_report(&mut self, report: Report) {
        let event = match report {
            Report::Arrived { request, arrival } => Event::Arrived { request, arrival },
            Report::Abandoned { request } => Event::Abandoned { request },
            Report::Ended { attempt, ending } => {
                self.attempts.remove(&attempt);
                Event::Ended { attempt, ending }
            }
        };
        self.step(event);
    }

    fn tick(&mut self) {
        let due = self.router.next_due().is_some_and(|due| due <= self.clock.now());
        if due {
            self.step(Event::Tick);
        }
    }
}
