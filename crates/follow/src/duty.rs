//! The duty that holds the configuration, keeps it current, and answers peers.

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
use crate::calls::Completion;
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

/// Delay before a send to a full ring is retried.
const RING_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Without a list of instances for this time, an instance assumes that it is the only one.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Without a configuration from its peers for this time, an instance reads the store itself.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// The state of the duty.
pub(crate) struct State<S, P> {
    settings: Settings,
    store: S,
    calls: Option<Calls<P>>,
    members: watch::Receiver<Vec<Member>>,
    clock: Clock,
    in_force: InForce,
    gossip: Gossip,
    pull: Pull,
    children: Children,
    source: Option<(Mode, Source)>,
    store_lost: bool,
}

enum Wake {
    Query(Option<Query>),
    Report(Option<Report>),
    Completion(Completion),
    Members,
    Timer,
}

impl<S: Store, P: Peers> State<S, P> {
    pub(crate) fn open(
        settings: Settings,
        store: S,
        peers: Option<P>,
        members: watch::Receiver<Vec<Member>>,
        changes: ring::Sender<Change>,
        revision_sender: watch::Sender<Revision>,
    ) -> Self {
        let local_peer = Peer {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
            domain: settings.domain.clone(),
            // Never called: this instance only needs a rank among the others.
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        };
        State {
            gossip: Gossip::open(local_peer, settings.seed),
            in_force: InForce::open(changes, revision_sender, settings.logger.clone()),
            calls: peers.map(|peers| Calls::open(peers, &settings)),
            settings,
            store,
            members,
            clock: Clock::start(),
            pull: Pull::default(),
            children: Children::default(),
            source: None,
            store_lost: false,
        }
    }

    /// Runs until the last handle is dropped or the process closes the ring of changes.
    pub(crate) async fn run(mut self, mut queries: mpsc::Receiver<Query>) {
        let members = self.members.borrow_and_update().clone();
        self.gossip.set_members(&members);
        loop {
            self.tick();
            let flow = self.in_force.flush();
            if flow == Flow::Closed {
                return;
            }
            let delay = self.delay(flow);
            let wake = tokio::select! {
                query = queries.recv() => Wake::Query(query),
                report = next(&mut self.source) => Wake::Report(report),
                completion = next_completion(&mut self.calls) => Wake::Completion(completion),
                () = members_changed(&mut self.members) => Wake::Members,
                () = tokio::time::sleep(delay) => Wake::Timer,
            };
            match wake {
                Wake::Query(None) => return,
                Wake::Query(Some(query)) => self.answer(query),
                Wake::Report(Some(report)) => self.report(report),
                Wake::Report(None) => self.source = None,
                Wake::Completion(completion) => self.handle_completion(completion),
                Wake::Members => {
                    let members = self.members.borrow_and_update().clone();
                    self.gossip.set_members(&members);
                }
                Wake::Timer => {}
            }
        }
    }

    fn delay(&self, flow: Flow) -> Duration {
        let due = self.gossip.next_due().saturating_sub(self.clock.now());
        if flow == Flow::Waiting { due.min(RING_RETRY_DELAY) } else { due }
    }

    /// Starts the calls that are due, and the watch if this instance should hold it.
    fn tick(&mut self) {
        self.choose_source();
        let now = self.clock.now();
        let in_force = self.in_force.revision();
        for action in self.gossip.tick(now, in_force > 0) {
            let Some(calls) = &mut self.calls else { continue };
            match action {
                Action::Pull(peer) => {
                    if let Some(after) = self.pull.begin(&peer, in_force) {
                        calls.pull(peer, after);
                    }
                }
                Action::Probe(peer) => calls.probe(peer),
            }
        }
    }

    fn choose_source(&mut self) {
        let desired = self.desired_mode();
        if self.source.as_ref().map(|(mode, _)| *mode) == desired {
            return;
        }
        let open = |mode| {
            let revisions = self.in_force.subscribe();
            (mode, Source::open(self.store.clone(), revisions, mode, self.settings.seed))
        };
        self.source = desired.map(open);
    }

    /// Returns how this instance should read the store, if at all.
    ///
    /// Only the holder of the domain's watch reads the store; the other instances pull from their
    /// peers, also at startup, so that a fleet that starts at once reads the store once per failure
    /// domain. The holder is unknown until there is a list of instances.
    fn desired_mode(&self) -> Option<Mode> {
        let now = self.clock.now();
        let listed = !self.members.borrow().is_empty() || now >= LIST_TIMEOUT;
        if self.calls.is_none() || (listed && self.gossip.holds_watch()) {
            return Some(Mode::Watch);
        }
        let without_config = self.in_force.revision() == 0 && now >= PEER_TIMEOUT;
        without_config.then_some(Mode::Once)
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::Batch(batch) => {
                self.set_store_lost(false);
                self.apply(batch);
            }
            Report::Lost(error) => {
                slog::debug!(
                    self.settings.logger,
                    "reading the configuration from the store failed";
                    "error" => %error
                );
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

    fn handle_completion(&mut self, completion: Completion) {
        let Some(reply) = completion.reply else { return self.call_failed(&completion.peer) };
        if self.gossip.answered(&completion.peer) {
            log_peer(&self.settings.logger, Event::PeerFound, &completion.peer);
        }
        match (completion.purpose, reply) {
            (Purpose::Pull, Reply::Items { items, revision, whole }) => {
                let step = self.pull.receive(items, revision, whole);
                self.apply_pull_step(completion.peer, step);
            }
            (Purpose::Pull, _) => self.pull.failed(&completion.peer),
            (Purpose::Push, _) => {
                let push = self.children.accepted(self.in_force.replica(), &completion.peer);
                self.push(push);
            }
            (Purpose::Probe, _) => {}
        }
    }

    fn call_failed(&mut self, peer: &Peer) {
        self.children.failed(peer);
        self.pull.failed(peer);
        if self.gossip.failed(peer, self.clock.now()) {
            log_peer(&self.settings.logger, Event::PeerLost, peer);
        }
    }

    fn apply_pull_step(&mut self, peer: Peer, step: Option<Step>) {
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
        let last_change = self.in_force.replica().last_change();
        if self.in_force.apply(batch) == Continuity::Gap {
            self.gossip.request_pull(self.clock.now());
        }
        let replica = self.in_force.replica();
        let pushes = self.children.changed(replica, last_change, self.gossip.children());
        self.push(pushes);
    }

    fn push(&mut self, pushes: impl IntoIterator<Item = Push>) {
        let Some(calls) = &mut self.calls else { return };
        pushes.into_iter().for_each(|push| calls.push(push));
    }

    fn answer(&mut self, query: Query) {
        // The sender of the query may have stopped waiting; the reply is then dropped.
        match query {
            Query::Peer { call, reply } => {
                let _ = reply.send(self.reply(call));
            }
            Query::Since { after, reply } => {
                let _ = reply.send(self.in_force.replica().since(after));
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
                    self.in_force.replica().page(after, PAGE_BYTES);
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

/// Waits for the next report, forever if there is no source.
async fn next(source: &mut Option<(Mode, Source)>) -> Option<Report> {
    match source {
        Some((_, source)) => source.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits for the end of a call, forever if there are no peers to call.
async fn next_completion<P: Peers>(calls: &mut Option<Calls<P>>) -> Completion {
    match calls {
        Some(calls) => calls.next_completed().await,
        None => std::future::pending().await,
    }
}

/// Waits for a new list of instances, forever once the process no longer provides it.
async fn members_changed(members: &mut watch::Receiver<Vec<Member>>) {
    if members.changed().await.is_err() {
        std::future::pending().await
    }
}
