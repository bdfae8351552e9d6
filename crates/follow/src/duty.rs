//! The duty: holds the configuration, keeps it current, answers peers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_base::id::Revision;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use cowslipchute_spread::batch::Batch;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::gossip::Action;
use cowslipchute_spread::gossip::Gossip;
use cowslipchute_spread::pull::Pull;
use cowslipchute_spread::pull::Step;
use cowslipchute_spread::push::Children;
use cowslipchute_spread::push::Push;
use cowslipchute_spread::rank::Peer;
use cowslipchute_spread::replica::Continuity;
use cowslipchute_spread::replica::PAGE_BYTES;
use cowslipchute_spread::replica::Page;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::calls::Calls;
use crate::calls::Ended;
use crate::calls::Purpose;
use crate::change::Change;
use crate::follower::Query;
use crate::in_force::InForce;
use crate::outbox::Flow;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::source::Mode;
use crate::source::Report;
use crate::source::Source;

/// How soon a full ring is tried again.
const RETRY: Duration = Duration::from_millis(1);
/// An instance that has seen no list of instances for so long takes itself for the only one.
const LIST_WITHIN: Duration = Duration::from_secs(2);
/// An instance that has learnt nothing from its peers for so long reads the store itself.
const PEERS_WITHIN: Duration = Duration::from_secs(4);

/// The state of the duty.
pub(crate) struct Following<S, P> {
    settings: Settings,
    store: S,
    calls: Option<Calls<P>>,
    members: watch::Receiver<Vec<Member>>,
    clock: Clock,
    in_force: InForce,
    gossip: Gossip,
    pulls: Pull,
    pushes: Children,
    source: Option<(Mode, Source)>,
    store_lost: bool,
}

enum Wake {
    Query(Option<Query>),
    Report(Option<Report>),
    Ended(Ended),
    Members,
    Timer,
}

impl<S: Store, P: Peers> Following<S, P> {
    pub(crate) fn open(
        settings: Settings,
        store: S,
        peers: Option<P>,
        members: watch::Receiver<Vec<Member>>,
        changes: ring::Sender<Change>,
        mark: watch::Sender<Revision>,
    ) -> Self {
        let me = Peer {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
            domain: settings.domain.clone(),
            // Never called: this instance only has a place among the others.
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        };
        Following {
            gossip: Gossip::open(me, settings.seed),
            in_force: InForce::open(changes, mark, settings.logger.clone()),
            calls: peers.map(|peers| Calls::open(peers, &settings)),
            settings,
            store,
            members,
            clock: Clock::start(),
            pulls: Pull::default(),
            pushes: Children::default(),
            source: None,
            store_lost: false,
        }
    }

    /// Runs until the last handle is dropped or the process stops listening for changes.
    pub(crate) async fn run(mut self, mut queries: mpsc::Receiver<Query>) {
        let seen = self.members.borrow_and_update().clone();
        self.gossip.set_members(&seen);
        loop {
            self.tick();
            let flow = self.in_force.flush();
            if flow == Flow::Closed {
                return;
            }
            let pause = self.pause(flow);
            let wake = tokio::select! {
                query = queries.recv() => Wake::Query(query),
                report = next(&mut self.source) => Wake::Report(report),
                ended = ended(&mut self.calls) => Wake::Ended(ended),
                () = changed(&mut self.members) => Wake::Members,
                () = tokio::time::sleep(pause) => Wake::Timer,
            };
            match wake {
                Wake::Query(None) => return,
                Wake::Query(Some(query)) => self.answer(query),
                Wake::Report(Some(report)) => self.report(report),
                Wake::Report(None) => self.source = None,
                Wake::Ended(ended) => self.ended(ended),
                Wake::Members => {
                    let members = self.members.borrow_and_update().clone();
                    self.gossip.set_members(&members);
                }
                Wake::Timer => {}
            }
        }
    }

    fn pause(&self, flow: Flow) -> Duration {
        let due = self.gossip.next_due().saturating_sub(self.clock.now());
        if flow == Flow::Waiting { due.min(RETRY) } else { due }
    }

    /// Starts the calls that are due, and the watch if it is for this instance to hold.
    fn tick(&mut self) {
        self.choose_source();
        let now = self.clock.now();
        let in_force = self.in_force.revision();
        for action in self.gossip.tick(now, in_force > 0) {
            let Some(calls) = &mut self.calls else { continue };
            match action {
                Action::Pull(peer) => {
                    if let Some(after) = self.pulls.begin(&peer, in_force) {
                        calls.pull(peer, after);
                    }
                }
                Action::Probe(peer) => calls.probe(peer),
            }
        }
    }

    fn choose_source(&mut self) {
        let wanted = self.wanted();
        if self.source.as_ref().map(|(mode, _)| *mode) == wanted {
            return;
        }
        let open = |mode| {
            let mark = self.in_force.subscribe();
            (mode, Source::open(self.store.clone(), mark, mode, self.settings.seed))
        };
        self.source = wanted.map(open);
    }

    /// Only the holder of the domain's watch goes to the store; the others learn from it, also when
    /// they start, so that a fleet that starts at once reads the store once for each domain. Without
    /// a list it can't be told yet who the holder is.
    fn wanted(&self) -> Option<Mode> {
        let now = self.clock.now();
        let listed = !self.members.borrow().is_empty() || now >= LIST_WITHIN;
        if self.calls.is_none() || (listed && self.gossip.holds_watch()) {
            return Some(Mode::Watch);
        }
        let unserved = self.in_force.revision() == 0 && now >= PEERS_WITHIN;
        unserved.then_some(Mode::Once)
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::Batch(batch) => {
                self.set_store_lost(false);
                self.apply(batch);
            }
            Report::Lost(error) => {
                slog::debug!(self.settings.logger, "the store"; "error" => %error);
                self.set_store_lost(true);
            }
        }
    }

    fn set_store_lost(&mut self, lost: bool) {
        if self.store_lost != lost {
            self.store_lost = lost;
            let event = if lost { Event::StoreLost } else { Event::StoreBack };
            log::emit(&self.settings.logger, event, o!());
        }
    }

    fn ended(&mut self, ended: Ended) {
        let Some(reply) = ended.reply else { return self.call_failed(&ended.peer) };
        if self.gossip.answered(&ended.peer) {
            log_peer(&self.settings.logger, Event::PeerFound, &ended.peer);
        }
        match (ended.purpose, reply) {
            (Purpose::Pull, Reply::Items { items, revision, whole }) => {
                let step = self.pulls.receive(items, revision, whole);
                self.pulled(ended.peer, step);
            }
            (Purpose::Pull, _) => self.pulls.failed(&ended.peer),
            (Purpose::Push, _) => {
                let push = self.pushes.accepted(self.in_force.held(), &ended.peer);
                self.push(push);
            }
            (Purpose::Probe, _) => {}
        }
    }

    fn call_failed(&mut self, peer: &Peer) {
        self.pushes.failed(peer);
        self.pulls.failed(peer);
        if self.gossip.failed(peer, self.clock.now()) {
            log_peer(&self.settings.logger, Event::PeerLost, peer);
        }
    }

    fn pulled(&mut self, peer: Peer, step: Option<Step>) {
        match (step, &mut self.calls) {
            (Some(Step::Ask(after)), Some(calls)) => calls.pull(peer, after),
            (Some(Step::Apply(batch)), _) => {
                let first = self.in_force.revision() == 0;
                self.apply(batch);
                let revision = self.in_force.revision();
                if first && revision > 0 {
                    let fields = o!("peer" => peer.instance.to_string(), "revision" => revision);
                    log::emit(&self.settings.logger, Event::ConfigFromPeer, fields);
                }
            }
            _ => {}
        }
    }

    fn apply(&mut self, batch: Batch) {
        let last_change = self.in_force.held().last_change();
        if self.in_force.apply(batch) == Continuity::Gap {
            self.gossip.request_pull(self.clock.now());
        }
        let held = self.in_force.held();
        let pushes = self.pushes.changed(held, last_change, self.gossip.children());
        self.push(pushes);
    }

    fn push(&mut self, pushes: impl IntoIterator<Item = Push>) {
        let Some(calls) = &mut self.calls else { return };
        pushes.into_iter().for_each(|push| calls.push(push));
    }

    fn answer(&mut self, query: Query) {
        // Whoever asked may have given up waiting, which harms nothing.
        match query {
            Query::Peer { call, reply } => {
                let _ = reply.send(self.reply(call));
            }
            Query::Since { after, reply } => {
                let _ = reply.send(self.in_force.held().since(after));
            }
        }
    }

    fn reply(&mut self, call: Call) -> Reply {
        match call {
            Call::Hello { .. } => Reply::Hello {
                instance: self.settings.instance.clone(),
                incarnation: self.settings.incarnation,
                domain: self.settings.domain.clone(),
                revision: self.in_force.revision(),
            },
            Call::Pull { after } => {
                let Page { batch, lacks_removals, .. } =
                    self.in_force.held().page(after, PAGE_BYTES);
                Reply::Items { items: batch.items, revision: batch.revision, whole: lacks_removals }
            }
            Call::Push { items, revision, after } => {
                self.apply(Batch { items, revision, scope: Scope::After(after) });
                Reply::Noted
            }
            _ => Reply::Misdirected,
        }
    }
}

fn log_peer(logger: &Logger, event: Event, peer: &Peer) {
    log::emit(logger, event, o!("peer" => peer.instance.to_string()));
}

/// Waits for the next report, for ever if there is no source.
async fn next(source: &mut Option<(Mode, Source)>) -> Option<Report> {
    match source {
        Some((_, source)) => source.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits for the end of a call, for ever if there are no peers to call.
async fn ended<P: Peers>(calls: &mut Option<Calls<P>>) -> Ended {
    match calls {
        Some(calls) => calls.ended().await,
        None => std::future::pending().await,
    }
}

/// Waits for another list, for ever once the process has stopped reading it.
async fn changed(members: &mut watch::Receiver<Vec<Member>>) {
    if members.changed().await.is_err() {
        std::future::pending().await
    }
}
