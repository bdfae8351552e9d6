//! A client with one connection for each request.

use std::net::SocketAddr;
use std::time::Duration;

use cowslipchute_ports::job::JobId;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Time for which a client waits for an answer, which it also states.
pub const DEADLINE: Duration = Duration::from_millis(3000);

/// Sends a request; returns the status and the body, or nothing without a whole answer in time.
pub async fn call(
    address: SocketAddr,
    method: &str,
    job: JobId,
    body: &str,
) -> Option<(u16, String)> {
    tokio::time::timeout(DEADLINE, exchange(address, method, job, body)).await.ok().flatten()
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    job: JobId,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!(
        "{method} /q/{job:016x} HTTP/1.1\r\nhost: desk.example\r\ndeadline-ms: {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1)?.parse().ok()?;
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned()).unwrap_or_default();
    Some((status, body))
}
