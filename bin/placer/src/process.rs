//! Connects the event loops of a placer over any adapters.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_daemon::admin::Readiness;
use cowslipchute_daemon::clock::Clock;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::ring::Notifier;
use cowslipchute_daemon::stop::Stop;
use cowslipchute_follow as follow;
use cowslipchute_follow::peers::Peers;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::List;
use cowslipchute_ports::worker::Worker;
use cowslipchute_tenure::ownership;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::api;
use crate::decide;
use crate::decide::Decide;
use crate::journal::Journal;
use crate::link;
use crate::link::Incoming;
use crate::metrics::Metrics;
use crate::status::Status;
use crate::store;
use crate::watch as sightings;
use crate::workers;

/// Capacity of each ring. Exchanges need the most: one for each worker of the owned cells.
const RING_CAPACITY: usize = 8192;
/// Number of queries of the admin address that may wait.
const QUERIES_MAX: usize = 16;

/// Parts that a placer is built from.
#[derive(Debug)]
pub struct Parts<S, L, W, P> {
    /// Settings of the ownership manager.
    pub ownership: ownership::Settings,
    /// Client of the key-value service.
    pub store: S,
    /// Client of the platform's list of instances.
    pub list: L,
    /// Client of the workers.
    pub worker: W,
    /// Client for calls to other placers.
    pub peers: P,
    /// Calls from other placers.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Timeout of one call to the store or a peer.
    pub store_timeout: Duration,
    /// Timeout of one exchange with a worker.
    pub worker_timeout: Duration,
    /// Maximum number of exchanges in flight.
    pub exchanges: usize,
    /// Interval between reads of the list.
    pub list_every: Duration,
    /// The log.
    pub logger: Logger,
    /// Records notes for operators.
    pub journal: Journal,
    /// Metrics of the placer.
    pub metrics: Metrics,
    /// Readiness of the process for work.
    pub readiness: Readiness,
    /// Progress of the shutdown.
    pub stop: Stop,
}

/// A running placer. It ends when its shutdown completes.
#[derive(Debug)]
pub struct Placer {
    duties: Vec<EventLoop>,
    follower: follow::Follower,
    /// Most recently published status.
    pub status: watch::Receiver<Arc<Status>>,
    /// Most recent notes.
    pub journal: Journal,
    queries: mpsc::Sender<api::Query>,
    bell: Notifier,
}

impl Placer {
    /// Returns the handles that the admin address needs.
    pub fn api(&self) -> api::Context {
        api::Context {
            status: self.status.clone(),
            journal: self.journal.clone(),
            queries: self.queries.clone(),
            bell: self.bell.clone(),
        }
    }

    /// Waits until every event loop has ended.
    ///
    /// # Panics
    ///
    /// Panics when an event loop panicked.
    pub fn join(self) {
        for duty in self.duties {
            duty.join();
        }
        self.follower.join();
    }
}

/// Starts the event loops of a placer.
///
/// # Errors
///
/// When the system refuses a thread.
pub fn spawn<S, L, W, P>(parts: Parts<S, L, W, P>) -> io::Result<Placer>
where
    S: Store,
    L: List,
    W: Worker,
    P: Peers,
{
    let bell = Notifier::default();
    let (to_store, store_inbox) = ring::open(RING_CAPACITY);
    let (to_workers, workers_inbox) = ring::open(RING_CAPACITY);
    let (to_link, link_inbox) = ring::open(RING_CAPACITY);
    let (store_outbox, from_store) = ring::open_with_notifier(RING_CAPACITY, bell.clone());
    let (workers_outbox, from_workers) = ring::open_with_notifier(RING_CAPACITY, bell.clone());
    let (watch_outbox, from_watch) = ring::open_with_notifier(RING_CAPACITY, bell.clone());
    let (link_outbox, from_link) = ring::open_with_notifier(RING_CAPACITY, bell.clone());
    let (changes, from_follower) = ring::open_with_notifier(RING_CAPACITY, bell.clone());
    let (members_sender, members) = watch::channel(Vec::new());
    let (status_sender, status) = watch::channel(Arc::default());
    let (queries, asked) = mpsc::channel(QUERIES_MAX);
    let inputs = decide::Inputs {
        bell: bell.clone(),
        store: from_store,
        workers: from_workers,
        watch: from_watch,
        link: from_link,
        config: from_follower,
        queries: asked,
    };
    let outputs = decide::Outputs { store: to_store, workers: to_workers, link: to_link };
    let journal = parts.journal.clone();
    let settings = parts.ownership.clone();

    let context = store::Context {
        domain: settings.domain.clone(),
        timeout: parts.store_timeout,
        metrics: parts.metrics.clone(),
    };
    let client = parts.store.clone();
    let store_duty =
        event_loop::spawn("store", move || store::run(client, context, store_inbox, store_outbox))?;

    let (worker, limit, timeout) = (parts.worker, parts.exchanges, parts.worker_timeout);
    let workers_duty = event_loop::spawn("workers", move || {
        workers::run(worker, limit, timeout, workers_inbox, workers_outbox)
    })?;

    let context = follow::Settings {
        instance: settings.instance.clone(),
        incarnation: settings.incarnation,
        domain: settings.domain.clone(),
        seed: rand::random(),
        logger: parts.logger,
    };
    let (client, peers) = (parts.store.clone(), Some(parts.peers.clone()));
    let follower = follow::spawn(context, client, peers, members, changes)?;

    let context = link::Context {
        instance: settings.instance.clone(),
        incarnation: settings.incarnation,
        domain: settings.domain.clone(),
        timeout: parts.store_timeout,
        follower: follower.handle(),
    };
    let (peers, incoming) = (parts.peers, parts.incoming);
    let link_duty = event_loop::spawn("link", move || {
        link::run(peers, context, incoming, link_inbox, link_outbox)
    })?;

    let context = sightings::Context {
        domain: settings.domain.clone(),
        every: parts.list_every,
        metrics: parts.metrics.clone(),
    };
    let (ended_sender, ended) = oneshot::channel();
    let (client, list) = (parts.store, parts.list);
    let watch_duty = event_loop::spawn("watch", move || {
        sightings::run(client, list, context, ended, watch_outbox)
    })?;

    let context = decide::Context {
        ownership: settings,
        clock: Clock::start(),
        journal: parts.journal,
        metrics: parts.metrics,
        readiness: parts.readiness,
        status: status_sender,
        members: members_sender,
        ended: ended_sender,
    };
    let stop = parts.stop;
    let decide_duty =
        event_loop::spawn("decide", move || Decide::open(context, outputs).run(inputs, stop))?;
    let duties = vec![decide_duty, store_duty, workers_duty, link_duty, watch_duty];
    Ok(Placer { duties, follower, status, journal, queries, bell })
}
