//! Response bodies.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use poem::Body;

/// Time for the first half of a body to be sent before the connection is reset.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Returns `length` bytes that are specific to a request id, so that the caller can verify them.
pub fn pattern(id: &str, length: usize) -> Bytes {
    let unit = format!("<{id}>");
    unit.bytes().cycle().take(length).collect::<Vec<u8>>().into()
}

/// Returns a body that breaks off halfway by calling `reset` on its connection. An error alone
/// isn't enough: the HTTP library would end a chunked body as if it were complete.
pub(super) fn truncated(body: Bytes, reset: impl FnOnce() + Send + 'static) -> Body {
    let first = body.slice(..body.len() / 2);
    Body::from_bytes_stream(stream::unfold(
        (Some(first), Some(reset)),
        |(first, mut reset)| async move {
            if let Some(bytes) = first {
                return Some((Ok(bytes), (None, reset)));
            }
            tokio::time::sleep(FLUSH_DELAY).await;
            reset.take()?();
            Some((Err(io::Error::from(io::ErrorKind::ConnectionReset)), (None, reset)))
        },
    ))
}
