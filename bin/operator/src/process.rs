//! The operator process: its event loops and their connections.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_base::event::Event;
use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::log;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow as follow;
use cowslipchute_follow::Change;
use cowslipchute_follow::Follower;
use cowslipchute_follow::peers::Peers;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::Member;
use poem::endpoint;
use poem::listener::TcpAcceptor;
use slog::Logger;
use slog::o;
use tokio::sync::watch;

use crate::api::Api;
use crate::api::Identity;
use crate::api::Limits;
use crate::events;
use crate::metrics::Metrics;
use crate::resources::Resources;
use crate::tidy;
use crate::writer::Writer;

/// Maximum number of changes queued for the event loop that counts them.
const CHANGES_MAX: usize = 256;

/// Parts that the process is built from.
pub struct Parts<S, P> {
    /// Identity of this instance and settings for following the configuration.
    pub follow: follow::Settings,
    /// Client of the platform's key-value service for the resource interface.
    pub store: S,
    /// Client of the same service for following it. It is separate because a client's connections
    /// live on the event loop that opened them, and the watch must not end with the interface's event loop.
    pub follow_store: S,
    /// Client for calls to the other processes, if there is one.
    pub peers: Option<P>,
    /// The list of instances.
    pub members: watch::Receiver<Vec<Member>>,
    /// Admin addresses of the placers.
    pub placers: Vec<SocketAddr>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Readiness, set once a configuration is in force.
    pub readiness: Readiness,
    /// Progress of the shutdown.
    pub stop: Stop,
    /// Time allowed for a planned shutdown.
    pub stop_within: Duration,
}

/// The running process.
#[derive(Debug)]
pub struct Operator {
    address: SocketAddr,
    follower: Follower,
    http: EventLoop,
    count: EventLoop,
}

impl Operator {
    /// Returns the address of the resource interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle to the configuration in force at this instance, which peers' calls are
    /// answered from.
    pub fn follow(&self) -> follow::Handle {
        self.follower.handle()
    }

    /// Waits until the shutdown completes and no request is in progress.
    pub fn join(self) {
        self.http.join();
        self.follower.join();
        self.count.join();
    }
}

/// Starts the event loops on a bound listener.
///
/// # Errors
///
/// When the system refuses a thread or the listener.
pub fn spawn<S: Store, P: Peers>(
    parts: Parts<S, P>,
    listener: TcpListener,
) -> io::Result<Operator> {
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (changes, counted) = ring::open(CHANGES_MAX);
    let logger = parts.follow.logger.clone();
    let identity = identity(&parts.follow);
    let own = tidy::prefix(&parts.follow.instance, parts.follow.incarnation);
    let tidying = tidy::run(parts.store.clone(), own, parts.members.clone());
    let writer = writer(&parts.store, &parts.follow, logger.clone());
    let follower = follow::spawn(
        parts.follow,
        parts.follow_store,
        parts.peers.clone(),
        parts.members.clone(),
        changes,
    )?;
    let count = count(counted, parts.metrics.clone(), parts.readiness.clone())?;
    let api = Api {
        resources: Resources::open(parts.store, writer, follower.handle(), logger),
        follow: follower.handle(),
        members: parts.members,
        peers: parts.peers,
        identity,
        events: events::Reader::open(parts.placers).map_err(io::Error::other)?,
        metrics: parts.metrics,
        stop: parts.stop.clone(),
        limits: Limits::default(),
    };
    let readiness = parts.readiness;
    let http = serve(api, listener, tidying, parts.stop_within, readiness)?;
    Ok(Operator { address, follower, http, count })
}

fn identity(settings: &follow::Settings) -> Identity {
    Identity {
        instance: settings.instance.clone(),
        incarnation: settings.incarnation,
        domain: settings.domain.clone(),
    }
}

fn writer<S: Store>(store: &S, settings: &follow::Settings, logger: Logger) -> Writer<S> {
    Writer::open(store.clone(), &settings.instance, settings.incarnation, logger)
}

/// Runs the event loop that counts changes. This process needs nothing else of them: it reads the
/// configuration in force through the follower's handle.
fn count(
    mut changes: ring::Receiver<Change>,
    metrics: Metrics,
    readiness: Readiness,
) -> io::Result<EventLoop> {
    event_loop::spawn("count", move || async move {
        while let Some(change) = changes.recv().await {
            if let Change::InForce { revision } = change {
                metrics.in_force(revision);
                readiness.set(true);
            }
        }
    })
}

fn serve<S: Store, P: Peers>(
    api: Api<S, P>,
    listener: TcpListener,
    tidying: impl Future<Output = ()> + Send + 'static,
    within: Duration,
    readiness: Readiness,
) -> io::Result<EventLoop> {
    let (mut stop, mut forced) = (api.stop.clone(), api.stop.clone());
    event_loop::spawn("http", move || async move {
        let logger = api.resources.logger().clone();
        let api = Arc::new(api);
        tokio::spawn(tidying);
        let interface = endpoint::make(move |request| {
            let api = api.clone();
            async move { api.answer(request).await }
        });
        let acceptor = TcpAcceptor::from_std(listener).expect("the listener is bound");
        let draining = async move {
            stop.wait_for_stage(Stage::Draining).await;
            readiness.set(false);
            log::emit(&logger, Event::Stopping, o!());
        };
        let server = poem::Server::new_with_acceptor(acceptor);
        let serving = server.run_with_graceful_shutdown(interface, draining, Some(within));
        tokio::select! {
            // The errors are those of accepted connections, which their clients see.
            _ = serving => {}
            () = forced.wait_for_stage(Stage::Forced) => {}
        }
    })
}
