//! A caller on plain TCP, for requests that an HTTP library would not send.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::HANG;

/// Writes these bytes and returns the open connection.
pub async fn begin(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("the entry listens");
    stream.write_all(bytes).await.expect("the entry reads");
    stream
}

/// Writes these bytes and returns everything received until the connection closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the entry listens");
    // The entry may reject the request and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(HANG, read).await.expect("the entry closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Writes these bytes and returns the first answer, which has a content length.
pub async fn first_answer(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = begin(address, bytes).await;
    let mut answer = Vec::new();
    let read = async {
        loop {
            let text = String::from_utf8_lossy(&answer).into_owned();
            if is_whole(&text) {
                return text;
            }
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return text,
                Ok(length) => answer.extend_from_slice(&chunk[..length]),
            }
        }
    };
    tokio::time::timeout(HANG, read).await.expect("the entry answers")
}

fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| length.parse() == Ok(body.len()))
}
