//! A backend server on plain TCP, so that a test controls every byte and every close.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::support::ANY;

/// A request that the server read.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The index of its connection, from zero.
    pub connection: usize,
    /// Its index among the connection's requests, from zero.
    pub place: usize,
    /// The request line and headers.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Seen {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// The server's reaction to a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes this and keeps the connection.
    Write(String),
    /// Writes this and closes.
    WriteAndClose(String),
    /// Writes this after a delay and keeps the connection.
    WriteLater(Duration, String),
    /// Closes without writing.
    Close,
    /// Writes nothing and keeps the connection until the peer closes it.
    Hold,
}

/// Returns a whole answer.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Returns a whole answer with status 200.
pub fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", "", body))
}

/// A running server.
pub struct Backend {
    /// The address on which it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: Arc<Mutex<usize>>,
    open: Arc<Mutex<Open>>,
}

/// The number of open connections, and its maximum.
#[derive(Clone, Copy, Default)]
struct Open {
    now: usize,
    most: usize,
}

type Script = dyn Fn(&Seen) -> Act + Send + Sync;

impl Backend {
    /// Starts a server that reacts to each request as `script` returns.
    pub async fn open(script: impl Fn(&Seen) -> Act + Send + Sync + 'static) -> Backend {
        let listener = TcpListener::bind(ANY).await.expect("loopback ports are free");
        let address = listener.local_addr().expect("it is bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let closed = Arc::new(Mutex::new(0));
        let open = Arc::new(Mutex::new(Open::default()));
        let backend =
            Backend { address, seen: seen.clone(), closed: closed.clone(), open: open.clone() };
        let script: Arc<Script> = Arc::new(script);
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let (script, seen, closed) = (script.clone(), seen.clone(), closed.clone());
                let open = open.clone();
                tokio::spawn(async move {
                    opened(&open);
                    serve(stream, connection, &*script, &seen).await;
                    open.lock().expect("the lock is not poisoned").now -= 1;
                    *closed.lock().expect("the lock is not poisoned") += 1;
                });
                connection += 1;
            }
        });
        backend
    }

    /// Returns every request read so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the maximum number of connections open at once.
    pub fn most_open(&self) -> usize {
        self.open.lock().expect("the lock is not poisoned").most
    }

    /// Returns the number of connections that have ended.
    pub fn closed(&self) -> usize {
        *self.closed.lock().expect("the lock is not poisoned")
    }
}

fn opened(open: &Mutex<Open>) {
    let mut open = open.lock().expect("the lock is not poisoned");
    open.now += 1;
    open.most = open.most.max(open.now);
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    script: &Script,
    seen: &Mutex<Vec<Seen>>,
) -> Option<()> {
    let mut place = 0;
    loop {
        let (head, body) = read(&mut stream).await?;
        let request = Seen { connection, place, head, body };
        seen.lock().expect("the lock is not poisoned").push(request.clone());
        match script(&request) {
            Act::Write(text) => stream.write_all(text.as_bytes()).await.ok()?,
            Act::WriteAndClose(text) => return stream.write_all(text.as_bytes()).await.ok(),
            Act::WriteLater(time, text) => {
                tokio::time::sleep(time).await;
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            Act::Close => return Some(()),
            Act::Hold => {
                let _ = stream.read(&mut [0]).await;
                return Some(());
            }
        }
        place += 1;
    }
}

/// Reads one request with an optional content length, or returns `None` at the end.
async fn read(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().ok())?
    });
    while bytes.len() < end + length.unwrap_or(0) {
        more(stream, &mut bytes).await?;
    }
    Some((head, String::from_utf8(bytes[end..].to_vec()).ok()?))
}

async fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk).await {
        Ok(0) | Err(_) => None,
        Ok(length) => {
            bytes.extend_from_slice(&chunk[..length]);
            Some(())
        }
    }
}
