//! Connections of one front to one incarnation of a backend server.
//!
//! An attempt opens a connection only if none is idle, and ends after its connection is idle again
//! or closed. A permit for each connection is held from before it is opened until it is closed, so
//! that those of cancelled attempts count, too. An attempt waits for a permit only while such a
//! connection is being closed: all others belong to attempts in flight, whose number has the same
//! bound.
//!
//! The pools of HTTP libraries may open a connection for a request and then use another one that
//! became idle meanwhile, which leaves a connection more than there are requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use poem::http::Request;
use poem::http::Response;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time after which an idle connection is closed. Backend servers keep connections longer, so that
/// they rarely close one while a request is being written to it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval of the checks for connections that were idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum wait for a connection to become ready for its next request. It is ready at once, unless
/// the backend server answered without reading the whole request.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so no byte was sent.
    Connect,
    /// The connection broke; bytes may have been sent.
    Broken,
}

/// The connections to one incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    connect: Duration,
    /// Number of connections, active or idle; zero if none is kept idle.
    connections: usize,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// A connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Closes the connection and waits until its permit is free.
    async fn close(mut self) {
        self.driver.abort();
        // The driver has no result: it ended by itself or by the abort.
        let _ = (&mut self.driver).await;
    }

    async fn is_ready(&mut self) -> bool {
        matches!(tokio::time::timeout(READY_TIMEOUT, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl Client {
    /// Opens a client that may have this number of connections. If it is zero, none is kept idle,
    /// and only the router bounds the active ones.
    pub fn open(address: SocketAddr, connect: Duration, connections: usize) -> Client {
        let most = if connections > 0 { connections } else { Semaphore::MAX_PERMITS };
        let permits = Arc::new(Semaphore::new(most));
        let shared = Shared { address, connect, connections, permits, idle: Mutex::default() };
        let shared = Arc::new(shared);
        tokio::spawn(sweep(Arc::downgrade(&shared)));
        Client { shared }
    }

    /// Returns the number of connections that it may have.
    pub fn connections(&self) -> usize {
        self.shared.connections
    }

    /// Sends a request and returns the head of its answer, with the connection that carries the
    /// rest of it.
    ///
    /// A request is sent once more only if the idle connection closed before the request was
    /// started, so that no byte of it had been written.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        while let Some(mut connection) = self.shared.take() {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => {
                    connection.close().await;
                    request = error.take_message().ok_or(Error::Broken)?;
                }
            }
        }
        let mut connection = self.shared.connect().await?;
        match connection.sender.send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(_) => {
                connection.close().await;
                Err(Error::Broken)
            }
        }
    }

    /// Keeps a connection for the next request if it is ready for one, and otherwise closes it.
    pub async fn release(&self, mut connection: Connection) {
        if self.shared.connections > 0 && connection.is_ready().await {
            self.shared.keep(connection);
        } else {
            connection.close().await;
        }
    }
}

impl Shared {
    /// Removes and returns the connection that became idle last.
    fn take(&self) -> Option<Connection> {
        self.idle().pop().map(|idle| idle.connection)
    }

    /// Adds an idle connection and removes closed ones.
    fn keep(&self, connection: Connection) {
        let mut idle = self.idle();
        idle.retain(|idle| !idle.connection.sender.is_closed());
        idle.push(Idle { connection, since: Instant::now() });
    }

    /// Opens a connection, as soon as those that are being closed leave a permit.
    async fn connect(&self) -> Result<Connection, Error> {
        let permit = self.permits.clone().acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        let opening = tokio::time::timeout(self.connect, TcpStream::connect(self.address));
        let Ok(Ok(stream)) = opening.await else { return Err(Error::Connect) };
        // Without `TCP_NODELAY` a short request may wait for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Error::Connect)?;
        let driver = tokio::spawn(drive(connection, permit));
        Ok(Connection { sender, driver })
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        // A panic can't leave the list inconsistent, so a poisoned lock is ignored.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drives a connection until it is closed; the permit is held until then.
async fn drive(
    connection: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
    permit: OwnedSemaphorePermit,
) {
    // The attempt that uses the connection sees the error.
    let _ = connection.await;
    drop(permit);
}

/// Closes connections that were idle for too long, until the client is dropped.
async fn sweep(shared: Weak<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.idle().retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
    }
}
