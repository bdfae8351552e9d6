//! Minimal HTTP/1.1 server for keep-alive clients that send their bodies with a length.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Initial size of a connection's buffer in bytes.
const BUFFER_BYTES: usize = 4096;
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Request with its complete body.
#[derive(Debug)]
pub(super) struct Request {
    /// Local address at which it arrived.
    pub(super) at: SocketAddr,
    /// Path and query.
    pub(super) target: String,
    /// Body.
    pub(super) body: Vec<u8>,
}

/// Status and JSON body.
pub(super) type Answer = (u16, String);

/// Handler of requests.
pub(super) trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: Request) -> impl Future<Output = Answer> + Send;
}

/// Serves all connections of a listener.
pub(super) fn spawn<H: Handler>(listener: TcpListener, handler: Arc<H>) {
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                // A connection that breaks is closed; its client sees that.
                let _ = serve(stream, handler).await;
            });
        }
    });
}

async fn serve<H: Handler>(mut stream: TcpStream, handler: Arc<H>) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let at = stream.local_addr()?;
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let head_end = loop {
            if let Some(end) = buffer.windows(HEAD_END.len()).position(|part| part == HEAD_END) {
                break end + HEAD_END.len();
            }
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        };
        let head = std::str::from_utf8(&buffer[..head_end])?;
        let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let length = content_length(head);
        while buffer.len() < head_end + length {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
        let body = buffer[head_end..head_end + length].to_vec();
        buffer.drain(..head_end + length);
        let (status, body) = handler.handle(Request { at, target, body }).await;
        let answer = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

fn content_length(head: &str) -> usize {
    let value = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then_some(value)
    });
    value.and_then(|value| value.trim().parse().ok()).unwrap_or(0)
}

/// Returns a parameter of a query.
pub(super) fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
