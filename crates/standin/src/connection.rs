//! Accepted connections that can be reset from outside.
//!
//! The HTTP library gives a handler no way to reset its own connection. A [`Connection`] wraps the
//! socket and fails every read and write once its [`Handle`] is reset, so that the library drops
//! it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures_util::task::AtomicWaker;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A handle that resets one connection.
#[derive(Debug, Default)]
pub struct Handle {
    reset: AtomicBool,
    reader: AtomicWaker,
    writer: AtomicWaker,
}

impl Handle {
    /// Resets the connection: every later read and write fails.
    pub fn reset(&self) {
        self.reset.store(true, Ordering::Release);
        self.reader.wake();
        self.writer.wake();
    }

    fn check_open(&self) -> io::Result<()> {
        if self.reset.load(Ordering::Acquire) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// The open connections of one server, by peer address.
#[derive(Debug, Default)]
pub struct Connections {
    open: Mutex<HashMap<SocketAddr, Arc<Handle>>>,
}

impl Connections {
    /// Wraps an accepted socket. Returns `None` if `limit` connections are already open.
    pub fn admit(
        self: &Arc<Connections>,
        socket: TcpStream,
        peer: SocketAddr,
        limit: usize,
    ) -> Option<Connection> {
        let mut open = self.open.lock().expect("no lock holder panics");
        if open.len() >= limit {
            return None;
        }
        let handle = Arc::new(Handle::default());
        open.insert(peer, handle.clone());
        Some(Connection { socket, handle, peer, connections: self.clone() })
    }

    /// Resets the connection with a peer.
    pub fn reset(&self, peer: SocketAddr) {
        if let Some(handle) = self.open.lock().expect("no lock holder panics").get(&peer) {
            handle.reset();
        }
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        for handle in self.open.lock().expect("no lock holder panics").values() {
            handle.reset();
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.lock().expect("no lock holder panics").len()
    }
}

/// One accepted connection.
#[derive(Debug)]
pub struct Connection {
    socket: TcpStream,
    handle: Arc<Handle>,
    peer: SocketAddr,
    connections: Arc<Connections>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut open = self.connections.open.lock().expect("no lock holder panics");
        // A later connection from the same peer port may have been accepted before this drop.
        if open.get(&self.peer).is_some_and(|handle| Arc::ptr_eq(handle, &self.handle)) {
            open.remove(&self.peer);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Registered before the check, so that a reset between the two wakes this task again.
        self.handle.reader.register(cx.waker());
        self.handle.check_open()?;
        Pin::new(&mut self.socket).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.handle.writer.register(cx.waker());
        self.handle.check_open()?;
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.handle.writer.register(cx.waker());
        self.handle.check_open()?;
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.handle.check_open()?;
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
