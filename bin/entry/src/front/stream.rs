//! A caller's connection that adds a result code to the HTTP library's own error responses.
//!
//! The library itself responds to a request that it can't parse, without the result code headers.
//! It starts to write a response only after the previous one is flushed, and writes the head in one
//! buffer. So the first write after a flush starts a response: a 4xx status without the code header
//! is the library's own error response, and is replaced.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use cowslipchute_base::code;
use cowslipchute_base::code::Code;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::reply;

/// The first bytes of the library's error responses.
const REFUSAL: &[u8] = b"HTTP/1.1 4";
/// Statuses of the library's error responses to a head that is too large.
const TOO_LARGE: [&[u8]; 2] = [b"414", b"431"];

/// A caller's connection.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Whether nothing was written since the last flush.
    is_fresh: bool,
    /// The rest of the response that replaces the library's.
    replacement: Vec<u8>,
}

impl Stream {
    /// Wraps a connection.
    pub fn open(inner: TcpStream) -> Stream {
        Stream { inner, is_fresh: true, replacement: Vec::new() }
    }

    /// Writes the rest of the replacement response.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.replacement.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.replacement))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.replacement.drain(..written);
        }
        Poll::Ready(Ok(()))
    }

    /// Replaces a write that starts an error response of the library; returns `true` if it did.
    fn replace_refusal(&mut self, first: &[u8]) -> bool {
        let is_fresh = std::mem::replace(&mut self.is_fresh, false);
        if !is_fresh || !first.starts_with(REFUSAL) || has_code(first) {
            return false;
        }
        let status = &first[REFUSAL.len() - 1..];
        let is_large = TOO_LARGE.iter().any(|large| status.starts_with(large));
        self.replacement = reply::raw(if is_large { Code::TooLarge } else { Code::BadRequest });
        true
    }
}

fn has_code(head: &[u8]) -> bool {
    head.windows(code::HEADER.len()).any(|part| part == code::HEADER.as_bytes())
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if self.replace_refusal(bytes) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if slices.first().is_some_and(|first| self.replace_refusal(first)) {
            return Poll::Ready(Ok(slices.iter().map(|slice| slice.len()).sum()));
        }
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        self.is_fresh = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
