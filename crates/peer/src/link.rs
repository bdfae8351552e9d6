//! Client side of a node: one pooled connection per address, and a classification of each failure
//! by whether the peer can have acted on the call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use cowslipchute_ports::peer;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::ReadError;
use quinn::ReadToEndError;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;
use quinn::WriteError;
use tokio::time::Instant;

use crate::authority::PEER_NAME;
use crate::frame;
use crate::node::Error;
use crate::serve;

/// Maximum number of connections tried for one call before any of it is sent. The pooled connection
/// may have closed unnoticed; the second attempt uses a new one.
const MAX_ATTEMPTS: usize = 2;
/// Range of the QUIC error codes that stand for TLS alerts.
const TLS_ALERTS: std::ops::Range<u64> = 0x100..0x200;

/// A slot of the pool. Its lock is held while connecting, so that concurrent calls share one
/// handshake.
type Slot = Arc<tokio::sync::Mutex<Option<Connection>>>;

/// Pool of the outgoing connections of a node.
#[derive(Debug)]
pub(crate) struct Pool {
    endpoint: quinn::Endpoint,
    config: quinn::ClientConfig,
    timeout: Duration,
    slots: Mutex<BTreeMap<SocketAddr, Slot>>,
}

impl Pool {
    pub(crate) fn open(
        endpoint: quinn::Endpoint,
        config: quinn::ClientConfig,
        timeout: Duration,
    ) -> Pool {
        Pool { endpoint, config, timeout, slots: Mutex::default() }
    }

    /// Makes one call within the pool's timeout.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        call: &peer::Call,
    ) -> Result<peer::Reply, Error> {
        let frame = frame::encode(call).map_err(unsent)?;
        let deadline = Instant::now() + self.timeout;
        let stream = tokio::time::timeout_at(deadline, self.open_stream(to)).await;
        let stream = stream.map_err(|_| Error::Unsent("no connection in time".to_owned()))??;
        let exchange = tokio::time::timeout_at(deadline, exchange(stream.send, stream.recv, frame));
        match exchange.await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                let Some(reason) = stream.connection.close_reason() else { return Err(error) };
                self.evict(to, &stream.connection).await;
                if handshake_refused(&stream.connection, &reason) {
                    return Err(Error::Refused(reason.to_string()));
                }
                Err(error)
            }
            Err(_) => {
                // The peer may have been replaced at the same address without our connection
                // having noticed, so the next call opens a new one.
                self.evict(to, &stream.connection).await;
                Err(Error::Unknown("no reply in time".to_owned()))
            }
        }
    }

    /// Opens a stream, over a new connection if the pooled one has closed. Sends nothing yet.
    async fn open_stream(&self, to: SocketAddr) -> Result<Stream, Error> {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let connection = self.connection(to).await?;
            match connection.open_bi().await {
                Ok((send, recv)) => {
                    return Ok(Stream { connection, send: SendHalf::open(send), recv });
                }
                Err(error) => {
                    self.evict(to, &connection).await;
                    last = Some(error);
                }
            }
        }
        Err(last.map_or_else(|| unsent("no connection"), |error| connect_error(&error)))
    }

    async fn connection(&self, to: SocketAddr) -> Result<Connection, Error> {
        let slot = self.slot(to);
        let mut pooled = slot.lock().await;
        if let Some(connection) = &*pooled
            && connection.close_reason().is_none()
        {
            return Ok(connection.clone());
        }
        *pooled = None;
        let connecting =
            self.endpoint.connect_with(self.config.clone(), to, PEER_NAME).map_err(unsent)?;
        let connection = connecting.await.map_err(|error| connect_error(&error))?;
        *pooled = Some(connection.clone());
        Ok(connection)
    }

    fn slot(&self, to: SocketAddr) -> Slot {
        let mut slots = self.slots.lock().expect("the lock is not poisoned");
        if let Some(slot) = slots.get(&to) {
            return slot.clone();
        }
        // Addresses change as instances are replaced; this removes slots that are no longer in use.
        slots.retain(|_, slot| is_in_use(slot));
        slots.entry(to).or_default().clone()
    }

    async fn evict(&self, to: SocketAddr, connection: &Connection) {
        let slot = self.slot(to);
        let mut pooled = slot.lock().await;
        if pooled.as_ref().is_some_and(|pooled| pooled.stable_id() == connection.stable_id()) {
            *pooled = None;
        }
    }
}

/// Returns `true` if a call uses the slot or the slot holds an open connection.
fn is_in_use(slot: &Slot) -> bool {
    if Arc::strong_count(slot) > 1 {
        return true;
    }
    match slot.try_lock() {
        Ok(pooled) => pooled.as_ref().is_some_and(|pooled| pooled.close_reason().is_none()),
        Err(_) => true,
    }
}

/// A stream for one call.
struct Stream {
    connection: Connection,
    send: SendHalf,
    recv: RecvStream,
}

/// The sending half of a call. Resets the stream if dropped before it is finished, because quinn
/// finishes a dropped stream and the peer would take the partial frame for a whole one.
struct SendHalf {
    stream: SendStream,
    finished: bool,
}

impl SendHalf {
    fn open(stream: SendStream) -> SendHalf {
        SendHalf { stream, finished: false }
    }

    async fn send(&mut self, frame: &[u8]) -> Result<(), WriteError> {
        self.stream.write_all(frame).await?;
        self.finished = true;
        self.stream.finish().map_err(|_| WriteError::ClosedStream)
    }
}

impl Drop for SendHalf {
    fn drop(&mut self) {
        if !self.finished {
            let _ = self.stream.reset(serve::CANCELLED);
        }
    }
}

/// Sends the frame and reads the reply. From here on a failure leaves the outcome of the call
/// unknown, unless the peer reports that it did not act on it.
async fn exchange(
    mut send: SendHalf,
    mut recv: RecvStream,
    frame: Vec<u8>,
) -> Result<peer::Reply, Error> {
    if let Err(error) = send.send(&frame).await {
        // A peer that refuses a call stops this stream; the reset of the other half has the reason.
        if !matches!(error, WriteError::Stopped(_)) {
            return Err(Error::Unknown(error.to_string()));
        }
    }
    let bytes = recv.read_to_end(frame::MAX_BYTES).await.map_err(read_error)?;
    frame::decode(&bytes).map_err(|error| Error::Unknown(error.to_string()))
}

fn read_error(error: ReadToEndError) -> Error {
    match error {
        ReadToEndError::Read(ReadError::Reset(code)) => reset_error(code),
        other => Error::Unknown(other.to_string()),
    }
}

fn reset_error(code: VarInt) -> Error {
    match code {
        serve::BUSY => Error::Refused("it has too many calls".to_owned()),
        serve::STOPPING => Error::Refused("it is stopping".to_owned()),
        serve::MALFORMED => Error::Refused("it can't read the call".to_owned()),
        _ => Error::Unknown("it gave no answer".to_owned()),
    }
}

fn connect_error(error: &ConnectionError) -> Error {
    if is_refusal(error) { Error::Refused(error.to_string()) } else { unsent(error) }
}

/// Returns `true` if the peer aborted the handshake, which means that it read none of the data
/// sent.
///
/// The peer verifies our certificate only after the connection is established on our side, so the
/// refusal may arrive when a call has already been sent. Once the peer has confirmed the handshake,
/// an alert says nothing about the calls.
fn handshake_refused(connection: &Connection, reason: &ConnectionError) -> bool {
    is_refusal(reason) && connection.stats().frame_rx.handshake_done == 0
}

fn is_refusal(error: &ConnectionError) -> bool {
    match error {
        ConnectionError::ConnectionClosed(close) => {
            TLS_ALERTS.contains(&u64::from(close.error_code))
        }
        ConnectionError::VersionMismatch => true,
        _ => false,
    }
}

fn unsent(error: impl std::fmt::Display) -> Error {
    Error::Unsent(error.to_string())
}
