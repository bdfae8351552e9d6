//! Calls to peers in progress.

use std::time::Duration;

use cowslipchute_base::id::Revision;
use cowslipchute_ports::peer::Call;
use cowslipchute_ports::peer::Reply;
use cowslipchute_spread::batch::Scope;
use cowslipchute_spread::push::Push;
use cowslipchute_spread::rank::Peer;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::peers::Peers;
use crate::settings::Settings;

/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request for a page of a pull.
    Pull,
    /// A push of changes.
    Push,
    /// A check whether the peer answers.
    Probe,
}

/// The end of a call.
#[derive(Debug)]
pub struct Completion {
    /// The peer that was called.
    pub peer: Peer,
    /// Purpose of the call.
    pub purpose: Purpose,
    /// The reply, if one arrived before the timeout.
    pub reply: Option<Reply>,
}

/// Calls in progress; dropping this cancels them.
#[derive(Debug)]
pub struct Calls<P> {
    peers: P,
    hello: Call,
    tasks: JoinSet<Completion>,
}

impl<P: Peers> Calls<P> {
    /// Opens a set of calls that are made through `peers` on behalf of this instance.
    pub fn open(peers: P, settings: &Settings) -> Calls<P> {
        let hello = Call::Hello {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
            domain: settings.domain.clone(),
            revision: 0,
        };
        Calls { peers, hello, tasks: JoinSet::new() }
    }

    /// Requests a page of a pull.
    pub fn pull(&mut self, peer: Peer, after: Revision) {
        self.start(peer, Purpose::Pull, Call::Pull { after });
    }

    /// Starts a push.
    pub fn push(&mut self, push: Push) {
        let Scope::After(after) = push.batch.scope else { return };
        let call = Call::Push { items: push.batch.items, revision: push.batch.revision, after };
        self.start(push.peer, Purpose::Push, call);
    }

    /// Starts a check whether the peer answers.
    pub fn probe(&mut self, peer: Peer) {
        let hello = self.hello.clone();
        self.start(peer, Purpose::Probe, hello);
    }

    fn start(&mut self, peer: Peer, purpose: Purpose, call: Call) {
        let peers = self.peers.clone();
        self.tasks.spawn_local(async move {
            let reply = timeout(CALL_TIMEOUT, peers.call(peer.address, &call)).await;
            Completion { peer, purpose, reply: reply.ok().and_then(Result::ok) }
        });
    }

    /// Waits for the end of a call, forever if none is in progress.
    pub async fn next_completed(&mut self) -> Completion {
        match self.tasks.join_next().await {
            Some(Ok(completion)) => completion,
            Some(Err(error)) => std::panic::resume_unwind(error.into_panic()),
            None => std::future::pending().await,
        }
    }
}
