//! The accepting duty: takes callers' connections and gives each to the front that has fewest.
//!
//! A listener shared by the fronts leaves most connections with one of them, and one listener for
//! each (`SO_REUSEPORT`) would let a second process take the address without an error.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cowslipchute_daemon::duty;
use cowslipchute_daemon::duty::Duty;
use cowslipchute_daemon::ring;
use cowslipchute_daemon::stop::Stage;
use cowslipchute_daemon::stop::Stop;
use futures_util::FutureExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// How long to leave the listener alone when the system can't accept, for want of descriptors say.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A caller's connection on its way to a front.
#[derive(Debug)]
pub struct Accepted {
    /// The connection, non-blocking.
    pub stream: std::net::TcpStream,
    /// Where it comes from.
    pub remote: SocketAddr,
    /// Kept for as long as the connection is.
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

/// The way to one front.
#[derive(Debug)]
pub struct Target {
    ring: ring::Sender<Accepted>,
    connections: Arc<AtomicUsize>,
}

impl Target {
    /// Opens the way to a front.
    pub fn open(ring: ring::Sender<Accepted>) -> Target {
        Target { ring, connections: Arc::default() }
    }

    /// Gives the front a connection; one that it has no room for is closed.
    fn dispatch(&mut self, stream: std::net::TcpStream, remote: SocketAddr) {
        self.connections.fetch_add(1, Ordering::Relaxed);
        let guard = Guard { connections: self.connections.clone() };
        let _ = self.ring.send(Accepted { stream, remote, guard });
    }
}

/// Starts the accepting duty on a bound, non-blocking listener. It ends when `close` is closed or
/// the stop is forced, and the fronts see their rings closed.
///
/// # Errors
///
/// When the system refuses the thread.
pub fn spawn(
    listener: std::net::TcpListener,
    targets: Vec<Target>,
    close: oneshot::Receiver<()>,
    stop: Stop,
) -> io::Result<Duty> {
    duty::spawn("accept", move || run(listener, targets, close, stop))
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
            () = stop.reached(Stage::Forced) => return,
        }
    }
    // Connections that the system has made already are answered, too, rather than reset.
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
