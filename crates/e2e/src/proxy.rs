//! A loopback proxy through which a connection can be delayed, reset, cut one way or silenced from
//! outside the processes at its ends.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// What a proxy does with what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// Passes it on.
    Pass,
    /// Passes it on later.
    Delay(Duration),
    /// Holds back what callers send; answers pass.
    SilenceCalls,
    /// Passes what callers send; answers are held back.
    SilenceAnswers,
    /// Breaks every connection and accepts none.
    Reset,
}

/// A running proxy; dropping it closes its port and its connections.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where callers reach it.
    pub address: SocketAddr,
    mood: Arc<watch::Sender<Mood>>,
}

/// Opens a proxy to a server.
///
/// # Errors
///
/// When no port can be had.
pub async fn open(server: SocketAddr) -> io::Result<Proxy> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (sender, mood) = watch::channel(Mood::Pass);
    tokio::spawn(accept(listener, server, mood));
    Ok(Proxy { address, mood: Arc::new(sender) })
}

impl Proxy {
    /// Changes what it does, also with connections that are open.
    pub fn set(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, mut mood: watch::Receiver<Mood>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = mood.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let Ok((caller, _)) = accepted else { continue };
        if *mood.borrow() == Mood::Reset {
            continue;
        }
        tokio::spawn(join(caller, server, mood.clone()));
    }
}

async fn join(caller: TcpStream, server: SocketAddr, mood: watch::Receiver<Mood>) {
    // A server that can't be reached shows as a closed connection.
    let Ok(server) = TcpStream::connect(server).await else { return };
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let mut reset = mood.clone();
    tokio::select! {
        () = carry(caller_read, server_write, mood.clone(), Mood::SilenceCalls) => {}
        () = carry(server_read, caller_write, mood, Mood::SilenceAnswers) => {}
        _ = reset.wait_for(|mood| *mood == Mood::Reset) => {}
    }
}

/// Carries bytes one way until either end closes.
async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mood: watch::Receiver<Mood>,
    silence: Mood,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        let now = *mood.borrow_and_update();
        if let Mood::Delay(pause) = now {
            tokio::time::sleep(pause).await;
        }
        // Held back until the silence ends; the other end may be gone by then.
        if mood.wait_for(|mood| *mood != silence).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
