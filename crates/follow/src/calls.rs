//! The calls to peers that are under way.

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

/// How long a peer may take to answer.
const CALL_WITHIN: Duration = Duration::from_millis(800);

/// What a call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A page of a pull.
    Pull,
    /// A push of changes.
    Push,
    /// A look whether the peer answers.
    Probe,
}

/// A call that ended.
#[derive(Debug)]
pub struct Ended {
    /// The peer that was called.
    pub peer: Peer,
    /// What for.
    pub purpose: Purpose,
    /// Its reply, if there was one in time.
    pub reply: Option<Reply>,
}

/// Calls under way; dropping this gives them up.
#[derive(Debug)]
pub struct Calls<P> {
    peers: P,
    hello: Call,
    set: JoinSet<Ended>,
}

impl<P: Peers> Calls<P> {
    /// Makes calls through `peers` in the name of this instance.
    pub fn open(peers: P, settings: &Settings) -> Calls<P> {
        let hello = Call::Hello {
            instance: settings.instance.clone(),
            incarnation: settings.incarnation,
            domain: settings.domain.clone(),
            revision: 0,
        };
        Calls { peers, hello, set: JoinSet::new() }
    }

    /// Asks for a page of a pull.
    pub fn pull(&mut self, peer: Peer, after: Revision) {
        self.start(peer, Purpose::Pull, Call::Pull { after });
    }

    /// Starts a push.
    pub fn push(&mut self, push: Push) {
        let Scope::After(after) = push.batch.scope else { return };
        let call = Call::Push { items: push.batch.items, revision: push.batch.revision, after };
        self.start(push.peer, Purpose::Push, call);
    }

    /// Starts a look whether the peer answers.
    pub fn probe(&mut self, peer: Peer) {
        let hello = self.hello.clone();
        self.start(peer, Purpose::Probe, hello);
    }

    fn start(&mut self, peer: Peer, purpose: Purpose, call: Call) {
        let peers = self.peers.clone();
        self.set.spawn_local(async move {
            let reply = timeout(CALL_WITHIN, peers.call(peer.address, &call)).await;
            Ended { peer, purpose, reply: reply.ok().and_then(Result::ok) }
        });
    }

    /// Waits for the end of a call, for ever if none is under way.
    pub async fn ended(&mut self) -> Ended {
        match self.set.join_next().await {
            Some(Ok(ended)) => ended,
            Some(Err(error)) => std::panic::resume_unwind(error.into_panic()),
            None => std::future::pending().await,
        }
    }
}
