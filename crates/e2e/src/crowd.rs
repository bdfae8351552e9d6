//! A crowd of clients that misbehave inside the limits of a single request, and what it costs a process.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bytes at the end of a request that a client holds back.
const HELD_BACK_BYTES: usize = 1;
/// Size of a piece of a request.
const PIECE_BYTES: usize = 8 << 10;
/// Pause after each piece of a request that is sent slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Looks without a change after which a crowd has settled, and the pause between two.
const SETTLED_LOOKS: usize = 50;
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// What a client sends.
#[derive(Clone, Copy, Debug)]
pub enum Request {
    /// A body whose length the head names.
    Sized,
    /// A body in chunks of this size.
    Chunked(usize),
    /// A head without its end.
    HalfHead,
    /// Not a single byte.
    Nothing,
}

/// How a client sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// At once, but for the last byte.
    AllButTheLastByte,
    /// With pauses, and without the last byte.
    PieceByPiece,
    /// At once, and the last byte when [`Crowd::finish`] is called.
    Whole,
}

impl Request {
    /// Renders a request to a path.
    pub fn render(self, path: &str, body: &str) -> Vec<u8> {
        let head = format!("POST {path} HTTP/1.1\r\nHost: desk.example\r\n");
        match self {
            Request::Sized => {
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
            }
            Request::Chunked(size) => {
                let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                for chunk in body.as_bytes().chunks(size) {
                    text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                    text.extend(chunk);
                    text.extend(b"\r\n");
                }
                text.extend(b"0\r\n\r\n");
                text
            }
            Request::HalfHead => head.into_bytes(),
            Request::Nothing => Vec::new(),
        }
    }
}

/// Sends a part of a request; returns whether the connection still stands.
pub async fn send(stream: &mut TcpStream, text: &[u8], manner: Manner) -> bool {
    for piece in text.chunks(PIECE_BYTES) {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        if manner == Manner::PieceByPiece {
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    }
    true
}

/// Clients that stay connected; dropping it disconnects them.
#[derive(Debug)]
pub struct Crowd {
    address: SocketAddr,
    _clients: JoinSet<()>,
    /// Clients that have sent what they send for now, or were refused.
    sent: Arc<AtomicUsize>,
    finish: watch::Sender<bool>,
}

impl Crowd {
    /// Connects clients that send the same request to an address, all at once.
    pub fn gather(address: SocketAddr, size: usize, text: Vec<u8>, manner: Manner) -> Crowd {
        let (finish, finishing) = watch::channel(false);
        let sent = Arc::new(AtomicUsize::new(0));
        let mut clients = JoinSet::new();
        let text: Arc<[u8]> = text.into();
        for _ in 0..size {
            let (text, sent, mut finishing) = (text.clone(), sent.clone(), finishing.clone());
            clients.spawn(async move {
                // A client that is refused gives up.
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                let (start, end) = text.split_at(text.len().saturating_sub(HELD_BACK_BYTES));
                let stands = send(&mut stream, start, manner).await;
                sent.fetch_add(1, Ordering::Relaxed);
                if stands && finishing.wait_for(|finishing| *finishing).await.is_ok() {
                    send(&mut stream, end, manner).await;
                    std::future::pending::<()>().await;
                }
            });
        }
        Crowd { address, _clients: clients, sent, finish }
    }

    /// Lets the clients send what they hold back.
    pub fn finish(&self) {
        self.finish.send_replace(true);
    }

    /// Waits until neither the crowd nor what it costs a process changes; returns the most that it cost.
    ///
    /// # Panics
    ///
    /// Panics when the process ends.
    pub async fn settle(&self, process: u32) -> Usage {
        let mut peak = Usage::read(process, self.address);
        let mut last = (0, peak.rounded());
        let mut looks = 0;
        while looks < SETTLED_LOOKS {
            tokio::time::sleep(LOOK_PAUSE).await;
            let usage = Usage::read(process, self.address);
            peak = Usage { sockets: peak.sockets.max(usage.sockets), ..usage };
            let now = (self.sent.load(Ordering::Relaxed), usage.rounded());
            looks = if now == last { looks + 1 } else { 0 };
            last = now;
        }
        peak
    }
}

/// What a process takes of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The most memory that the process has had so far.
    pub peak_kib: usize,
    /// Bytes received at an address that the process has not read yet.
    pub unread_bytes: usize,
    /// Sockets and pipes.
    pub sockets: usize,
}

impl Usage {
    /// Reads what a process takes, with the bytes that wait at one of its addresses.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
    pub fn read(process: u32, address: SocketAddr) -> Usage {
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|line| line.trim_end_matches("kB").trim().parse().ok());
        let descriptors =
            fs::read_dir(format!("/proc/{process}/fd")).into_iter().flatten().flatten();
        let targets = descriptors.filter_map(|entry| fs::read_link(entry.path()).ok());
        let sockets = targets.filter(|target| {
            let target = target.to_string_lossy();
            target.starts_with("socket:") || target.starts_with("pipe:")
        });
        Usage {
            peak_kib: peak.expect("the process lives"),
            unread_bytes: unread_bytes(address),
            sockets: sockets.count(),
        }
    }

    /// Rounds memory to whole mebibytes, since a process at rest still touches a new page now and then.
    fn rounded(self) -> Usage {
        Usage { peak_kib: self.peak_kib.next_multiple_of(1024), ..self }
    }
}

fn unread_bytes(address: SocketAddr) -> usize {
    /// State of a listener, whose queue counts connections.
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").expect("the system shows its sockets");
    let port = format!(":{:04X}", address.port());
    let queues = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (fields.get(1)?, fields.get(3)?, fields.get(4)?);
        let is_open = local.ends_with(&port) && *state != LISTENING;
        let (_, received) = queues.split_once(':').filter(|_| is_open)?;
        usize::from_str_radix(received, 16).ok()
    });
    queues.sum()
}
