//! A proxy in front of the store's stand-in that understands its HTTP, so that single calls can be refused or
//! lose their answers.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Largest head of a request or an answer.
const MAX_HEAD: usize = 64 << 10;
/// Time for which a connection stays open after an answer was lost.
const LOST_TIME: Duration = Duration::from_secs(20);

/// A call to the store.
#[derive(Debug)]
pub struct Call<'a> {
    /// Path without the query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// What is done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is passed on, and so is the answer.
    Pass,
    /// It is answered with this status and not passed on.
    Refuse(u16),
    /// It is passed on, and the answer is lost.
    LoseAnswer,
}

/// Opens a proxy to the store; returns its address.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn open(
    store: SocketAddr,
    decide: impl Fn(&Call<'_>) -> Fate + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let decide: Arc<dyn Fn(&Call<'_>) -> Fate + Send + Sync> = Arc::new(decide);
    tokio::spawn(async move {
        loop {
            let Ok((caller, _)) = listener.accept().await else { continue };
            let decide = decide.clone();
            tokio::spawn(async move {
                // Either end may close the connection at any time.
                let _ = serve(caller, store, &*decide).await;
            });
        }
    });
    Ok(address)
}

async fn serve(
    mut caller: TcpStream,
    store: SocketAddr,
    decide: &(dyn Fn(&Call<'_>) -> Fate + Send + Sync),
) -> io::Result<()> {
    let mut server = TcpStream::connect(store).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    loop {
        let Some((head, body)) = read_message(&mut caller).await? else { return Ok(()) };
        let text = String::from_utf8_lossy(&head);
        let target = text.split_whitespace().nth(1).unwrap_or_default();
        let path = target.split('?').next().unwrap_or_default().to_owned();
        let fate = decide(&Call { path: &path, body: &body });
        if let Fate::Refuse(status) = fate {
            let answer = format!(
                "HTTP/1.1 {status} Refused\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
            );
            caller.write_all(answer.as_bytes()).await?;
            continue;
        }
        server.write_all(&head).await?;
        server.write_all(&body).await?;
        // A watch waits for changes; its caller may leave meanwhile.
        let answer = read_message(&mut server).await?;
        let Some((head, body)) = answer else { return Ok(()) };
        if fate == Fate::LoseAnswer {
            tokio::time::sleep(LOST_TIME).await;
            return Ok(());
        }
        caller.write_all(&head).await?;
        caller.write_all(&body).await?;
    }
}

/// Reads one message with its body; `None` at the end of the stream.
async fn read_message(stream: &mut TcpStream) -> io::Result<Option<(Vec<u8>, Vec<u8>)>> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    let mut buffered = tokio::io::BufReader::new(&mut *stream);
    while !head.ends_with(b"\r\n\r\n") {
        if buffered.read(&mut byte).await? == 0 || head.len() > MAX_HEAD {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    // One message is on its way at a time, so the buffer holds nothing beyond this one.
    buffered.read_exact(&mut body).await?;
    Ok(Some((head, body)))
}
