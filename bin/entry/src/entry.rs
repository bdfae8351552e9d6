//! The running entry process: its threads and the rings between them.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use anyhow::Context;
use cowslipchute_base::event::Event;
use cowslipchute_daemon::admin;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::Notifier;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow::Follower;
use cowslipchute_follow::Handle;
use cowslipchute_intake::bytes::Budget;
use cowslipchute_peer::identity::Identity;
use cowslipchute_peer::node;
use cowslipchute_peer::node::Node;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::List;
use prometheus::Registry;
use slog::Logger;
use slog::o;
use tokio::sync::oneshot;
use tokio::sync::watch::channel as watch_channel;

use crate::accept;
use crate::accept::Target;
use crate::decide;
use crate::decide::Channels;
use crate::decide::Decide;
use crate::front;
use crate::front::Front;
use crate::message::PeerCommand;
use crate::message::PeerEvent;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Peers;
use crate::settings::Settings;
use crate::watch;
use crate::watch::Watch;

/// Capacity of a ring between a front and the decision thread.
const RING_CAPACITY: usize = 4096;
/// Capacity of a ring of updates to the decision thread.
const UPDATE_CAPACITY: usize = 256;
/// Capacity of a ring of accepted connections to a front.
const CONNECTION_CAPACITY: usize = 1024;
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of unanswered calls from peers.
const MAX_CALLS: usize = 4096;
/// Capacity of each ring to or from the peer thread.
const PEER_COMMAND_CAPACITY: usize = 1024;

/// A running entry process.
pub struct Entry {
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    readiness: Readiness,
    registry: Registry,
    duties: Vec<EventLoop>,
    follower: Follower,
}

/// The state that all threads share.
struct Shared {
    settings: Settings,
    metrics: Metrics,
    readiness: Readiness,
    stop: Stop,
    logger: Logger,
    /// Wakes the decision thread.
    bell: Notifier,
    /// Wakes the peer thread.
    peer_bell: Notifier,
}

/// Starts the threads of an entry process. It runs until `stop` is triggered.
///
/// # Errors
///
/// Returns an error if an address can't be bound or a thread can't be started.
pub fn open<S: Store, L: List>(
    settings: Settings,
    identity: Option<Identity>,
    store: S,
    list: L,
    stop: Stop,
    logger: Logger,
) -> anyhow::Result<Entry> {
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let registry = Registry::new();
    let shared = Shared {
        metrics: Metrics::open(&registry)?,
        readiness: Readiness::default(),
        stop,
        logger,
        bell: Notifier::default(),
        peer_bell: Notifier::default(),
        settings,
    };
    // The admin thread serves until the process ends, so that a stop can be observed to its end.
    let admin = shared.settings.common.admin;
    admin::spawn(admin, registry.clone(), shared.readiness.clone(), None)
        .with_context(|| format!("can't bind {admin}"))?;
    let Fronts { mut duties, channels, targets, mut peer_command_rings } =
        open_fronts(&shared, address)?;
    let (peer_commands, ring) =
        ring::open_with_notifier(PEER_COMMAND_CAPACITY, shared.peer_bell.clone());
    peer_command_rings.push(ring);
    let (list_commands, ring) =
        ring::open_with_notifier(PEER_COMMAND_CAPACITY, shared.peer_bell.clone());
    peer_command_rings.push(ring);
    let (peer_events, peer_events_in) =
        ring::open_with_notifier(PEER_COMMAND_CAPACITY, shared.bell.clone());
    let (follow_sender, follow) = oneshot::channel();
    let parts =
        PeerParts { identity, store: store.clone(), follow, peer_command_rings, peer_events };
    let (duty, node) = open_peers(&shared, parts)?;
    duties.push(duty);
    let peer_address = node.as_ref().map(Node::address);
    let (members, listed) = watch_channel(Vec::new());
    let (change, changes) = ring::open_with_notifier(UPDATE_CAPACITY, shared.bell.clone());
    let following = shared.settings.follow(&shared.logger);
    let follower = cowslipchute_follow::spawn(following, store, node, listed, change)?;
    let _ = follow_sender.send(follower.handle());
    let (updates, updates_in) = ring::open_with_notifier(UPDATE_CAPACITY, shared.bell.clone());
    let (done, ended) = oneshot::channel();
    let (accepting, closed) = oneshot::channel();
    duties.push(accept::spawn(listener, targets, closed, shared.stop.clone())?);
    duties.push(decide::spawn(Decide {
        router: shared.settings.router(),
        fronts: channels,
        changes,
        updates: updates_in,
        peer_commands,
        peer_events: peer_events_in,
        bell: shared.bell.clone(),
        readiness: shared.readiness.clone(),
        stop: shared.stop.clone(),
        logger: shared.logger.clone(),
        accepting,
        done,
    })?);
    let logger = shared.logger.clone();
    let watching =
        Watch { list, updates, peer_commands: list_commands, members, logger, done: ended };
    duties.push(watch::spawn(watching)?);
    log::emit(&shared.logger, Event::Started, o!("listen" => address.to_string()));
    let readiness = shared.readiness;
    Ok(Entry { address, peer_address, readiness, registry, duties, follower })
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| format!("can't bind {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// The fronts, with the opposite ends of their rings.
#[derive(Default)]
struct Fronts {
    duties: Vec<EventLoop>,
    channels: Vec<Channels>,
    targets: Vec<Target>,
    peer_command_rings: Vec<ring::Receiver<PeerCommand>>,
}

fn open_fronts(shared: &Shared, local: SocketAddr) -> io::Result<Fronts> {
    let mut fronts = Fronts::default();
    let budget = Budget::open(shared.settings.limits.bodies);
    for number in 0..shared.settings.fronts {
        let (reports, reports_in) = ring::open_with_notifier(RING_CAPACITY, shared.bell.clone());
        let (commands, commands_in) = ring::open(RING_CAPACITY);
        let (peer_commands, ring) =
            ring::open_with_notifier(PEER_COMMAND_CAPACITY, shared.peer_bell.clone());
        let (target, accepted) = ring::open(CONNECTION_CAPACITY);
        fronts.targets.push(Target::open(target));
        fronts.channels.push(Channels { reports: reports_in, commands });
        fronts.peer_command_rings.push(ring);
        fronts.duties.push(front::spawn(Front {
            number,
            local,
            accepted,
            origin: shared.settings.origin(),
            limits: shared.settings.limits.clone(),
            budget: budget.clone(),
            reports,
            peer_commands,
            commands: commands_in,
            metrics: shared.metrics.clone(),
            stop: shared.stop.clone(),
        })?);
    }
    Ok(fronts)
}

/// What only the peer thread needs.
struct PeerParts<S> {
    identity: Option<Identity>,
    store: S,
    follow: oneshot::Receiver<Handle>,
    peer_command_rings: Vec<ring::Receiver<PeerCommand>>,
    peer_events: ring::Sender<PeerEvent>,
}

fn open_peers<S: Store>(
    shared: &Shared,
    parts: PeerParts<S>,
) -> anyhow::Result<(EventLoop, Option<Node>)> {
    let peers = Peers {
        me: shared.settings.member(),
        store: parts.store,
        node_settings: node_settings(&shared.settings, parts.identity)?,
        follow: parts.follow,
        peer_commands: parts.peer_command_rings,
        bell: shared.peer_bell.clone(),
        peer_events: parts.peer_events,
        metrics: shared.metrics.clone(),
        logger: shared.logger.clone(),
        stop: shared.stop.clone(),
    };
    Ok(peers::spawn(peers)?)
}

/// Returns the settings of the connections to peers, if there are any.
fn node_settings(
    settings: &Settings,
    identity: Option<Identity>,
) -> anyhow::Result<Option<node::Settings>> {
    let Some(address) = settings.peers.listen else { return Ok(None) };
    let identity = identity.context("connections to peers need a certificate")?;
    Ok(Some(node::Settings { address, identity, call_timeout: CALL_TIMEOUT, max_calls: MAX_CALLS }))
}

impl Entry {
    /// Returns the address on which callers' requests are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which peers' connections are accepted, if there is one.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns `true` if the process is ready for requests.
    pub fn is_ready(&self) -> bool {
        self.readiness.get()
    }

    /// Returns the metrics registry.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Waits until every thread has ended, which happens after a stop.
    pub fn join(self) {
        for duty in self.duties {
            duty.join();
        }
        self.follower.join();
    }
}
