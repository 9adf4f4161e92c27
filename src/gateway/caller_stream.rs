//! A caller's connection that is reset if an answer without length or chunks is cut.
//!
//! To a caller of HTTP/1.0, an answer of unknown length ends with its connection, so an orderly close would make a part of it
//! look complete. Only a reset tells that it is not.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's connection.
pub(crate) struct CallerStream {
    inner: TcpStream,
    /// Whether only the end of the connection marks the end of its latest answer.
    unmarked: Arc<AtomicBool>,
    /// Whether the connection was shut down, which the HTTP server does after complete answers only.
    shut_down: bool,
}

impl CallerStream {
    /// Wraps a connection. The flag it shares is set once an answer's end is not marked otherwise.
    pub(crate) fn new(inner: TcpStream) -> (CallerStream, Arc<AtomicBool>) {
        let unmarked = Arc::new(AtomicBool::new(false));
        (CallerStream { inner, unmarked: unmarked.clone(), shut_down: false }, unmarked)
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.unmarked.load(Ordering::Relaxed)
            && !self.shut_down
            && let Err(e) = self.inner.set_zero_linger()
        {
            log::warn!("a cut answer may look complete to its caller: {e}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shut_down = true;
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
