//! A caller's connection, on which refusals by the HTTP library carry a number like all others.
//!
//! The library answers a request that it can't parse by itself, without our headers. It begins to
//! write an answer only when the last one is flushed, and writes the head of an answer in one
//! buffer, so what it writes first after a flush can be told: a refusal without our code header is
//! the library's own, and is replaced.

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

/// How every refusal by the library starts.
const REFUSAL: &[u8] = b"HTTP/1.1 4";
/// Statuses by which the library says that a head is too large.
const TOO_LARGE: [&[u8]; 2] = [b"414", b"431"];

/// The connection.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Nothing was written since the last flush.
    is_fresh: bool,
    /// What is left of an answer in place of the library's.
    replacement: Vec<u8>,
}

impl Stream {
    /// Wraps a connection.
    pub fn open(inner: TcpStream) -> Stream {
        Stream { inner, is_fresh: true, replacement: Vec::new() }
    }

    /// Writes what is left of our own answer.
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

    /// Looks at the first bytes of a write; tells whether they are replaced.
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
