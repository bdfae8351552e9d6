//! The running follower, and the handle through which the process queries it and answers peers.

use std::io;

use cowslipchute_base::id::Revision;
use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::ring;
use cowslipchute_ports::kv::Store;
use cowslipchute_ports::list::Member;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use cowslipchute_spread::batch::Batch;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::change::Change;
use crate::duty::State;
use crate::peers::Peers;
use crate::settings::Settings;

/// Capacity of the queue of calls from peers. Calls to a full queue are dropped and the peer
/// retries.
const QUEUE: usize = 256;

/// A query to the duty.
#[derive(Debug)]
pub(crate) enum Query {
    /// A peer's call.
    Peer { call: Call, reply: oneshot::Sender<Reply> },
    /// A request of the process for the changes after a revision.
    Since { after: Revision, reply: oneshot::Sender<Batch> },
}

/// Handle to the duty for the process's other duties. The duty ends when the last one is dropped.
#[derive(Clone, Debug)]
pub struct Handle {
    queries: mpsc::Sender<Query>,
    in_force: watch::Receiver<Revision>,
}

impl Handle {
    /// Answers a peer's `Hello`, `Pull` or `Push`. Returns `None` for another call, or when the
    /// duty has ended or its queue is full.
    pub async fn answer(&self, call: Call) -> Option<Reply> {
        if !matches!(call, Call::Hello { .. } | Call::Pull { .. } | Call::Push { .. }) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        self.queries.try_send(Query::Peer { call, reply }).ok()?;
        answer.await.ok()
    }

    /// Returns the changes after a revision, or the whole configuration if some removals since then
    /// are unknown. Returns `None` when the duty has ended or its queue is full.
    pub async fn since(&self, after: Revision) -> Option<Batch> {
        let (reply, answer) = oneshot::channel();
        self.queries.try_send(Query::Since { after, reply }).ok()?;
        answer.await.ok()
    }

    /// Returns the revision in force here; zero before the first.
    pub fn in_force(&self) -> Revision {
        *self.in_force.borrow()
    }

    /// Returns a receiver of the revision in force here.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.in_force.clone()
    }
}

/// The running duty.
#[derive(Debug)]
pub struct Follower {
    handle: Handle,
    duty: EventLoop,
}

impl Follower {
    /// Returns a handle for another duty of the process.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Drops this handle and waits until the duty has ended, which happens when the last handle is
    /// dropped or the ring of changes is closed.
    pub fn join(self) {
        drop(self.handle);
        self.duty.join();
    }
}

/// Starts the duty. `members` is the process's view of the list of instances; `peers` makes the
/// calls, and without it the configuration comes from the store only.
///
/// # Errors
///
/// When the system can't create the thread.
pub fn spawn<S: Store, P: Peers>(
    settings: Settings,
    store: S,
    peers: Option<P>,
    members: watch::Receiver<Vec<Member>>,
    changes: ring::Sender<Change>,
) -> io::Result<Follower> {
    let (queries, inbox) = mpsc::channel(QUEUE);
    let (revision_sender, in_force) = watch::channel(0);
    let duty = event_loop::spawn("follow", move || {
        let state = State::open(settings, store, peers, members, changes, revision_sender);
        state.run(inbox)
    })?;
    Ok(Follower { handle: Handle { queries, in_force }, duty })
}
