//! The accept thread: accepts callers' connections and passes each to the front with the fewest.
//!
//! With one listener shared by the fronts, one front would get most of the connections; with one
//! listener each (`SO_REUSEPORT`), a second process could bind the address without an error.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_daemon::event_loop;
use cowslipchute_daemon::event_loop::EventLoop;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An accepted connection to be passed to a front.
#[derive(Debug)]
pub struct Accepted {
    /// The connection, non-blocking.
    pub stream: std::net::TcpStream,
    /// The caller's address.
    pub remote: SocketAddr,
    /// Counts the connection until it is closed.
    pub guard: Guard,
}

/// Counts a connection at its front until it is dropped.
#[derive(Debug)]
pub struct Guard {
    connections: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The ring to one front, with the number of its connections.
#[derive(Debug)]
pub struct Target {
    ring: ring::Sender<Accepted>,
    connections: Arc<AtomicUsize>,
}

impl Target {
    /// Opens a target without connections.
    pub fn open(ring: ring::Sender<Accepted>) -> Target {
        Target { ring, connections: Arc::default() }
    }

    /// Passes a connection to the front, or closes it if the ring is full.
    fn dispatch(&mut self, stream: std::net::TcpStream, remote: SocketAddr) {
        self.connections.fetch_add(1, Ordering::Relaxed);
        let guard = Guard { connections: self.connections.clone() };
        let _ = self.ring.send(Accepted { stream, remote, guard });
    }
}

/// Starts the accept thread on a bound, non-blocking listener. It ends when `close` is closed or
/// the stop is forced, which closes the rings to the fronts.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(
    listener: std::net::TcpListener,
    targets: Vec<Target>,
    close: oneshot::Receiver<()>,
    stop: Stop,
) -> io::Result<EventLoop> {
    event_loop::spawn("accept", move || run(listener, targets, close, stop))
}

async fn run(
    listener: std::net::TcpListener,
    mut targets: Vec<Target>,
    mut close: oneshot::Receiver<()>,
    mut stop: Stop,
) {
    let listener = TcpListener::from_std(listener).expect("the listener is bound");
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => dispatch(&mut targets, stream, remote),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            _ = &mut close => break,
            () = stop.wait_for_stage(Stage::Forced) => return,
        }
    }
    // Connections that wait in the system's accept queue are served, too, rather than reset.
    while let Some(Ok((stream, remote))) = listener.accept().now_or_never() {
        dispatch(&mut targets, stream, remote);
    }
}

fn dispatch(targets: &mut [Target], stream: TcpStream, remote: SocketAddr) {
    let Ok(stream) = stream.into_std() else { return };
    let fewest = targets.iter_mut().min_by_key(|target| target.connections.load(Ordering::Relaxed));
    if let Some(target) = fewest {
        target.dispatch(stream, remote);
    }
}
