//! A node: the QUIC endpoint of this process, which serves the calls of peers and makes calls to
//! them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslipchute_ports::peer;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::identity::Identity;
use crate::link::Pool;
use crate::serve;
use crate::serve::Limiter;
use crate::tls;

/// Margin of the idle timeout of a connection over the call timeout, so that a connection never
/// times out during a call.
const IDLE_MARGIN: Duration = Duration::from_secs(5);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address at which peers reach this process; calls to them are sent from the same address.
    pub address: SocketAddr,
    /// TLS identity of this process.
    pub identity: Identity,
    /// Timeout of a call, connection setup included.
    pub call_timeout: Duration,
    /// Maximum number of unanswered calls of peers; further calls are refused immediately.
    pub max_calls: usize,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum Error {
    /// No part of the call can have reached the peer.
    #[error("the peer can't be reached: {0}")]
    Unsent(String),
    /// The peer may have acted on the call.
    #[error("the peer's reply was lost: {0}")]
    Unknown(String),
    /// The peer did not act on the call: it is overloaded or shutting down, can't decode the call,
    /// or rejects our certificate.
    #[error("the peer refused the call: {0}")]
    Refused(String),
}

/// Counters of a node since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Connections refused because the peer has no certificate of this deployment or uses another
    /// protocol version.
    pub peers_refused: u64,
    /// Calls refused because too many were unanswered or the node was draining.
    pub calls_refused: u64,
}

/// Handle of a running node. Dropping the last clone closes all connections and ends the node's
/// tasks, including calls in progress; [`Node::drain`] lets those finish first.
#[derive(Clone, Debug)]
pub struct Node {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    endpoint: quinn::Endpoint,
    pool: Pool,
    limiter: Arc<Limiter>,
    address: SocketAddr,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.limiter.close();
        self.endpoint.close(serve::STOPPING, b"the process stops");
    }
}

impl Node {
    /// Binds the address and starts to accept calls, which arrive at the receiver. Must be called
    /// within a tokio runtime, on which the node's tasks run.
    ///
    /// # Errors
    ///
    /// When the address can't be bound or the identity can't be used.
    pub fn open(settings: Settings) -> io::Result<(Node, mpsc::Receiver<Incoming>)> {
        let idle_timeout = settings.call_timeout + IDLE_MARGIN;
        let configs = tls::configs(&settings.identity, idle_timeout).map_err(io::Error::other)?;
        let endpoint = quinn::Endpoint::server(configs.server, settings.address)?;
        let address = endpoint.local_addr()?;
        let (sender, receiver) = mpsc::channel(settings.max_calls.max(1));
        let limiter = Arc::new(Limiter::open(settings.max_calls, settings.call_timeout, sender));
        tokio::spawn(serve::listen(endpoint.clone(), limiter.clone()));
        let pool = Pool::open(endpoint.clone(), configs.client, settings.call_timeout);
        Ok((Node { shared: Arc::new(Shared { endpoint, pool, limiter, address }) }, receiver))
    }

    /// Returns the bound address, with the port that the system assigned if none was given.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Makes one call and waits for its reply. Never retries a call that may have been sent.
    ///
    /// # Errors
    ///
    /// `Unsent` and `Refused` when the peer did not act on the call, `Unknown` when it may have.
    pub async fn call(&self, to: SocketAddr, call: &peer::Call) -> Result<peer::Reply, Error> {
        self.shared.pool.call(to, call).await
    }

    /// Returns the current counters.
    pub fn count(&self) -> Count {
        self.shared.limiter.count()
    }

    /// Refuses new calls and waits until every accepted call is answered and its reply has arrived.
    /// Returns `false` if this takes longer than `within`.
    pub async fn drain(&self, within: Duration) -> bool {
        let drained = tokio::time::timeout(within, self.shared.limiter.drain()).await;
        drained.is_ok()
    }
}

/// A call of a peer, to be answered once. If it is dropped unanswered, the caller gets
/// [`Error::Unknown`].
#[derive(Debug)]
pub struct Incoming {
    /// The peer's address.
    pub from: SocketAddr,
    /// The call.
    pub call: peer::Call,
    reply: oneshot::Sender<peer::Reply>,
}

impl Incoming {
    pub(crate) fn open(
        from: SocketAddr,
        call: peer::Call,
    ) -> (Incoming, oneshot::Receiver<peer::Reply>) {
        let (reply, receiver) = oneshot::channel();
        (Incoming { from, call, reply }, receiver)
    }

    /// Sends the reply. It is dropped if the caller has cancelled the call.
    pub fn answer(self, reply: peer::Reply) {
        // Fails only if the call was cancelled or the node was dropped; no one waits for the reply.
        let _ = self.reply.send(reply);
    }
}
