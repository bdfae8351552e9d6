//! The peer thread: all communication with the other processes of the deployment.

use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc as blocking;
use std::time::Duration;

use cowslipchute_base::id;
use cowslipchute_claim::event::Event;
use cowslipchute_claim::roster::Member;
use cowslipchute_claim::slot::Key;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::Notifier;
use cowslipchute_daemon::ring::TryRecv;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Handle;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Incoming;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Claimed;
use cowslipchute_ports::peer::Reply;
use cowslipchute_ports::peer::Settlement;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::keys::Delivery;
use crate::keys::Keys;
use crate::keys::Outcome;
use crate::message::PeerCommand;
use crate::message::PeerEvent;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::roster;

/// Retry interval for messages that did not fit into the ring.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1);
/// Capacity of the channel of call results.
const OUTCOME_CAPACITY: usize = 1024;
/// Timeout of a graceful stop for releasing the slots of keys, and for completing peers' calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The inputs of the peer thread.
pub struct Peers<S> {
    /// This process as an owner of keys. Its address becomes the one that peers connect to, if any.
    pub me: Member,
    /// The platform's key-value service.
    pub store: S,
    /// Settings of the connections to peers; without them this process has no peers.
    pub node_settings: Option<node::Settings>,
    /// Answers peers' calls about the configuration.
    pub follow: oneshot::Receiver<Handle>,
    /// From every thread that sends commands.
    pub peer_commands: Vec<ring::Receiver<PeerCommand>>,
    /// Wakes this thread; every ring of commands notifies it.
    pub bell: Notifier,
    /// To the decision thread.
    pub peer_events: ring::Sender<PeerEvent>,
    /// The metrics.
    pub metrics: Metrics,
    /// For log events.
    pub logger: Logger,
    /// Ends the thread at once when the stop is forced.
    pub stop: Stop,
}

/// Starts the peer thread and returns the node that calls peers. The thread ends when every ring of
/// commands is closed and this process has released its keys, or after a timeout.
///
/// # Errors
///
/// Returns an error if the thread can't be started or the address can't be bound.
pub fn spawn<S: Store>(peers: Peers<S>) -> io::Result<(EventLoop, Option<Node>)> {
    let (opened, outcome) = blocking::channel();
    let duty = event_loop::spawn("peer", move || run(peers, opened))?;
    let node = outcome
        .recv()
        .unwrap_or_else(|_| Err(io::Error::other("the peer thread ended before it was ready")))?;
    Ok((duty, node))
}

async fn run<S: Store>(mut peers: Peers<S>, opened: blocking::Sender<io::Result<Option<Node>>>) {
    let (node, mut incoming) = match peers.node_settings.take().map(Node::open).transpose() {
        Ok(Some((node, incoming))) => (Some(node), Some(incoming)),
        Ok(None) => (None, None),
        Err(error) => {
            let _ = opened.send(Err(error));
            return;
        }
    };
    let _ = opened.send(Ok(node.clone()));
    if let Some(node) = &node {
        peers.me.address = node.address();
    }
    let (outcomes, mut outcome) = mpsc::channel(OUTCOME_CAPACITY);
    let (roster_events, mut rosters) = mpsc::channel(1);
    let watching = roster::follow(peers.store.clone(), roster_events, peers.metrics);
    let watching = tokio::spawn(watching);
    let mut state = State {
        myself: peers.me.instance.clone(),
        keys: Keys::open(peers.me, peers.store, node.clone(), peers.logger, outcomes),
        node,
        follow: None,
        entries: BTreeMap::new(),
        peer_events: Outbox::open(peers.peer_events),
        new_events: Vec::new(),
    };
    let mut follow = Some(peers.follow);
    let mut drain_deadline = None;
    loop {
        peers.peer_commands.retain_mut(|ring| state.drain(ring));
        if peers.peer_commands.is_empty() {
            let until = *drain_deadline.get_or_insert_with(|| state.begin_drain());
            if state.keys.is_drained() || tokio::time::Instant::now() >= until {
                break;
            }
        }
        state.flush_events();
        let has_backlog = state.peer_events.has_backlog();
        tokio::select! {
            () = peers.bell.wait() => {}
            Some(call) = next(&mut incoming) => state.handle_call(call),
            Some(outcome) = outcome.recv() => state.handle_outcome(outcome),
            Some(roster) = rosters.recv() => state.keys.step(roster, &mut state.new_events),
            Ok(handle) = take_handle(&mut follow) => state.follow = Some(handle),
            () = tokio::time::sleep(FLUSH_INTERVAL), if has_backlog => {}
            () = tokio::time::sleep_until(state.keys.next_due()) => {
                state.keys.step(Event::Tick, &mut state.new_events);
            }
            () = peers.stop.wait_for_stage(Stage::Forced) => break,
        }
    }
    watching.abort();
    if let (Some(node), true) = (&state.node, peers.stop.stage() < Stage::Forced) {
        node.drain(DRAIN_TIMEOUT).await;
    }
}

/// Waits for a call from a peer; pends forever without connections to peers.
async fn next(incoming: &mut Option<mpsc::Receiver<Incoming>>) -> Option<Incoming> {
    match incoming {
        Some(incoming) => incoming.recv().await,
        None => std::future::pending().await,
    }
}

/// Waits once for the handle that answers peers' calls about the configuration.
async fn take_handle(
    follow: &mut Option<oneshot::Receiver<Handle>>,
) -> Result<Handle, oneshot::error::RecvError> {
    match follow {
        Some(receiver) => {
            let handle = receiver.await;
            *follow = None;
            handle
        }
        None => std::future::pending().await,
    }
}

struct State<S> {
    myself: id::Instance,
    keys: Keys<S>,
    node: Option<Node>,
    follow: Option<Handle>,
    /// The other entries, by name.
    entries: BTreeMap<id::Instance, list::Member>,
    peer_events: Outbox<PeerEvent>,
    /// Events to be sent after each step.
    new_events: Vec<PeerEvent>,
}

impl<S: Store> State<S> {
    /// Sends the new events to the decision thread.
    fn flush_events(&mut self) {
        for event in self.new_events.drain(..) {
            self.peer_events.push(event);
        }
        self.peer_events.flush();
    }

    /// Executes every command in a ring and returns `true` if the ring is still open.
    fn drain(&mut self, ring: &mut ring::Receiver<PeerCommand>) -> bool {
        loop {
            match ring.try_recv() {
                TryRecv::Value(command) => self.execute(command),
                TryRecv::Empty => return true,
                TryRecv::Closed => return false,
            }
        }
    }

    fn execute(&mut self, command: PeerCommand) {
        match command {
            PeerCommand::Listed { view } => {
                self.apply_list(&view);
                self.keys.apply_list((*view).clone(), &mut self.new_events);
            }
            PeerCommand::Claim { request, service, key } => {
                self.keys.claim(request, Key { service, key }, &mut self.new_events);
            }
            PeerCommand::Settle { request, service, key, settlement } => {
                let delivery =
                    Delivery { request, key: Key { service, key }, settlement, attempts: 0 };
                self.keys.settle(delivery, &mut self.new_events);
            }
            PeerCommand::Announce { instance, incarnation } => self.announce(instance, incarnation),
        }
    }

    fn apply_list(&mut self, view: &list::View) {
        let entries = view.members.iter().filter(|member| member.role == list::Role::Entry);
        let others = entries.filter(|member| member.instance != self.myself);
        self.entries = others.map(|member| (member.instance.clone(), member.clone())).collect();
    }

    /// Notifies every other entry that an instance is leaving, without retries: an entry that
    /// misses it learns it from the list or from the backend server itself.
    fn announce(&self, instance: id::Instance, incarnation: id::Incarnation) {
        let Some(node) = &self.node else { return };
        for member in self.entries.values() {
            let (node, address) = (node.clone(), member.address);
            let call = Call::Leaving { instance: instance.clone(), incarnation };
            tokio::spawn(async move {
                let _ = node.call(address, &call).await;
            });
        }
    }

    fn handle_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Event(event) => self.keys.step(event, &mut self.new_events),
            Outcome::Claimed { request, verdict } => {
                self.new_events.push(PeerEvent::Claimed { request, verdict });
            }
            Outcome::Lost { request, key } => {
                self.new_events.push(PeerEvent::Claimed { request, verdict: Claimed::NotOwner });
                let delivery =
                    Delivery { request, key, settlement: Settlement::NotRun, attempts: 0 };
                self.keys.settle(delivery, &mut self.new_events);
            }
            Outcome::Undelivered(delivery) => self.keys.settle(delivery, &mut self.new_events),
        }
    }

    fn handle_call(&mut self, incoming: Incoming) {
        let Some(incoming) = self.keys.handle_call(incoming, &mut self.new_events) else { return };
        match &incoming.call {
            Call::Leaving { instance, incarnation } => {
                let (instance, incarnation) = (instance.clone(), *incarnation);
                self.new_events.push(PeerEvent::Leaving { instance, incarnation });
                incoming.answer(Reply::Noted);
            }
            Call::Hello { .. } | Call::Pull { .. } | Call::Push { .. } => {
                let follow = self.follow.clone();
                tokio::spawn(answer(follow, incoming));
            }
            _ => incoming.answer(Reply::Misdirected),
        }
    }

    /// Begins to release every key and returns the deadline for it.
    fn begin_drain(&mut self) -> tokio::time::Instant {
        self.keys.step(Event::Drain, &mut self.new_events);
        tokio::time::Instant::now() + DRAIN_TIMEOUT
    }
}

/// Answers a peer's call about the configuration. If there is no answer, the peer calls another
/// process.
async fn answer(follow: Option<Handle>, incoming: Incoming) {
    let Some(follow) = follow else { return incoming.answer(Reply::Misdirected) };
    match follow.answer(incoming.call.clone()).await {
        Some(reply) => incoming.answer(reply),
        None => incoming.answer(Reply::Misdirected),
    }
}
