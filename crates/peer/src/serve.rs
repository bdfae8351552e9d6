//! Server side of a node: accepts connections and calls, with a limit on unanswered calls and a
//! timeout for stalled streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_ports::peer;
use quinn::ConnectionError;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::frame;
use crate::node::Count;
use crate::node::Incoming;

/// Stream error code of a refusal: too many calls are unanswered here.
pub(crate) const BUSY: VarInt = VarInt::from_u32(1);
/// Stream error code of a refusal: this process is shutting down.
pub(crate) const STOPPING: VarInt = VarInt::from_u32(2);
/// Stream error code of a refusal: the call can't be decoded.
pub(crate) const MALFORMED: VarInt = VarInt::from_u32(3);
/// Stream error code of a call that was accepted and not answered; its outcome is unknown.
pub(crate) const UNANSWERED: VarInt = VarInt::from_u32(4);
/// Stream error code of a call that the caller cancelled.
pub(crate) const CANCELLED: VarInt = VarInt::from_u32(5);

/// Maximum number of connections, those in their handshake included. Far above the number of our
/// own processes, since only these complete the handshake.
const MAX_CONNECTIONS: usize = 4096;

/// Limits the number of unanswered calls.
#[derive(Debug)]
pub(crate) struct Limiter {
    permits: Arc<Semaphore>,
    max_calls: u32,
    timeout: Duration,
    sender: mpsc::Sender<Incoming>,
    peers_refused: AtomicU64,
    calls_refused: AtomicU64,
}

impl Limiter {
    pub(crate) fn open(
        max_calls: usize,
        timeout: Duration,
        sender: mpsc::Sender<Incoming>,
    ) -> Limiter {
        let max_calls = max_calls.clamp(1, u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        Limiter {
            permits: Arc::new(Semaphore::new(max_calls)),
            max_calls: max_calls as u32,
            timeout,
            sender,
            peers_refused: AtomicU64::new(0),
            calls_refused: AtomicU64::new(0),
        }
    }

    /// Refuses all further calls.
    pub(crate) fn close(&self) {
        self.permits.close();
    }

    /// Refuses new calls and waits until the accepted ones have ended.
    pub(crate) async fn drain(&self) {
        // The semaphore is fair: once this task waits for all permits, no later call gets one.
        let Ok(all) = self.permits.acquire_many(self.max_calls).await else { return };
        all.forget();
        self.close();
    }

    pub(crate) fn count(&self) -> Count {
        Count {
            peers_refused: self.peers_refused.load(Ordering::Relaxed),
            calls_refused: self.calls_refused.load(Ordering::Relaxed),
        }
    }

    fn admit(&self) -> Result<OwnedSemaphorePermit, VarInt> {
        self.permits.clone().try_acquire_owned().map_err(|error| {
            self.calls_refused.fetch_add(1, Ordering::Relaxed);
            match error {
                tokio::sync::TryAcquireError::NoPermits => BUSY,
                tokio::sync::TryAcquireError::Closed => STOPPING,
            }
        })
    }
}

/// Accepts connections until the endpoint is closed.
pub(crate) async fn listen(endpoint: quinn::Endpoint, limiter: Arc<Limiter>) {
    let mut connections = JoinSet::new();
    while let Some(incoming) = endpoint.accept().await {
        while connections.try_join_next().is_some() {}
        if connections.len() >= MAX_CONNECTIONS {
            incoming.refuse();
            continue;
        }
        connections.spawn(handle_connection(incoming, limiter.clone()));
    }
}

async fn handle_connection(incoming: quinn::Incoming, limiter: Arc<Limiter>) {
    match incoming.await {
        Ok(connection) => serve(connection, limiter).await,
        Err(ConnectionError::TransportError(_)) => {
            limiter.peers_refused.fetch_add(1, Ordering::Relaxed);
        }
        Err(_) => {}
    }
}

/// Accepts the calls of one peer. Dropping the `JoinSet` ends every task of this connection.
async fn serve(connection: quinn::Connection, limiter: Arc<Limiter>) {
    let from = connection.remote_address();
    let mut calls = JoinSet::new();
    while let Ok((send, recv)) = connection.accept_bi().await {
        while calls.try_join_next().is_some() {}
        match limiter.admit() {
            Ok(permit) => {
                calls.spawn(take(from, send, recv, limiter.clone(), permit));
            }
            Err(code) => refuse(send, recv, code),
        }
    }
}

/// Handles one call until the peer has received the reply.
async fn take(
    from: SocketAddr,
    mut send: SendStream,
    mut recv: RecvStream,
    limiter: Arc<Limiter>,
    permit: OwnedSemaphorePermit,
) {
    let call = match tokio::time::timeout(limiter.timeout, read_call(&mut recv)).await {
        Ok(Some(call)) => call,
        Ok(None) | Err(_) => return refuse(send, recv, MALFORMED),
    };
    let (incoming, reply) = Incoming::open(from, call);
    if limiter.sender.try_send(incoming).is_err() {
        return refuse(send, recv, STOPPING);
    }
    let reply = tokio::select! {
        reply = reply => reply.ok(),
        _ = send.stopped() => None,
    };
    match reply.and_then(|reply| frame::encode(&reply).ok()) {
        Some(frame) => send_reply(send, &frame, limiter.timeout).await,
        None => reset(&mut send, UNANSWERED),
    }
    drop(permit);
}

async fn read_call(recv: &mut RecvStream) -> Option<peer::Call> {
    let bytes = recv.read_to_end(frame::MAX_BYTES).await.ok()?;
    frame::decode(&bytes).ok()
}

async fn send_reply(mut send: SendStream, frame: &[u8], timeout: Duration) {
    let written = async {
        send.write_all(frame).await.ok()?;
        send.finish().ok()?;
        // Resolves once the peer has received everything, so that a drained node loses no reply.
        send.stopped().await.ok()
    };
    if tokio::time::timeout(timeout, written).await.is_err() {
        reset(&mut send, UNANSWERED);
    }
}

fn refuse(mut send: SendStream, mut recv: RecvStream, code: VarInt) {
    // Both fail only on a stream that has already ended.
    let _ = recv.stop(code);
    reset(&mut send, code);
}

fn reset(send: &mut SendStream, code: VarInt) {
    let _ = send.reset(code);
}
