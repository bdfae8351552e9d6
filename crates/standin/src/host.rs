//! One HTTP server on one port, which can be killed and restarted.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use poem::Endpoint;
use poem::IntoEndpoint;
use poem::Request;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use crate::connection::Connection;
use crate::connection::Connections;

/// Attempts of a killed server to bind its port again.
const BIND_ATTEMPTS: u32 = 50;
/// Delay between two attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An acceptor with a limit on open connections, which makes each of them resettable.
struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    connections: Arc<Connections>,
    limit: usize,
}

impl Acceptor for Listener {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (socket, peer) = self.listener.accept().await?;
            socket.set_nodelay(true)?;
            // A connection over the limit is closed at once, like by a server that has run out of
            // file descriptors.
            if let Some(connection) = self.connections.admit(socket, peer, self.limit) {
                let local = LocalAddr(self.address.into());
                return Ok((connection, local, RemoteAddr(peer.into()), Scheme::HTTP));
            }
        }
    }
}

/// A server on one port. Dropping it stops the server.
pub struct Host<E> {
    address: SocketAddr,
    connections: Arc<Connections>,
    limit: usize,
    endpoint: Arc<E>,
    runtime: Handle,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl<E: Endpoint + 'static> Host<E> {
    /// Binds an address and serves on it. `connections` receives the server's connections, at most
    /// `limit` at a time.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn open(
        runtime: &Handle,
        address: SocketAddr,
        connections: Arc<Connections>,
        limit: usize,
        endpoint: Arc<E>,
    ) -> io::Result<Host<E>> {
        let listener = std::net::TcpListener::bind(address)?;
        Host::from_listener(runtime, listener, connections, limit, endpoint)
    }

    /// Serves on a listener that is already bound; otherwise like [`Host::open`].
    pub fn from_listener(
        runtime: &Handle,
        listener: std::net::TcpListener,
        connections: Arc<Connections>,
        limit: usize,
        endpoint: Arc<E>,
    ) -> io::Result<Host<E>> {
        let host = Host {
            address: listener.local_addr()?,
            connections,
            limit,
            endpoint,
            runtime: runtime.clone(),
            task: Mutex::new(None),
        };
        host.serve(listener)?;
        Ok(host)
    }

    /// Returns the address, which stays the same after a kill and a restart.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn serve(&self, listener: std::net::TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let _entered = self.runtime.enter();
        let acceptor = Listener {
            listener: TcpListener::from_std(listener)?,
            address: self.address,
            connections: self.connections.clone(),
            limit: self.limit,
        };
        let endpoint = self.endpoint.clone();
        let task = self.runtime.spawn(async move {
            let server = poem::Server::new_with_acceptor(acceptor);
            let _ = server.run(endpoint.into_endpoint()).await;
        });
        *self.task.lock().expect("no lock holder panics") = Some(task);
        Ok(())
    }

    /// Stops the server like a killed process: the port is closed and every connection is reset.
    pub async fn kill(&self) {
        let task = self.task.lock().expect("no lock holder panics").take();
        if let Some(task) = task {
            task.abort();
            // The expected result is the cancellation requested above.
            let _ = task.await;
        }
        self.connections.reset_all();
    }

    /// Restarts a killed server on its port. Does nothing if the server is running.
    ///
    /// # Errors
    ///
    /// Fails if another process has taken the port.
    pub async fn restart(&self) -> io::Result<()> {
        if self.task.lock().expect("no lock holder panics").is_some() {
            return Ok(());
        }
        let mut attempts = 0;
        loop {
            attempts += 1;
            match std::net::TcpListener::bind(self.address) {
                Ok(listener) => return self.serve(listener),
                Err(error) if attempts == BIND_ATTEMPTS => return Err(error),
                Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
            }
        }
    }
}

impl<E> Drop for Host<E> {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().expect("no lock holder panics").take() {
            task.abort();
        }
        self.connections.reset_all();
    }
}

/// Returns the peer address of a request's connection.
pub fn peer(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().as_socket_addr().copied()
}
