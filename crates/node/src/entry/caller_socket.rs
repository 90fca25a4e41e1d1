//! A caller's connection that can be cut.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use tokio::io as async_io;
use tokio::net;

/// Whether a caller's connection is to be cut, shared by the connection and its streams.
#[derive(Clone, Debug, Default)]
pub struct Cut(sync::Arc<atomic::AtomicBool>);

impl Cut {
    /// Cuts the connection once all bytes given to it have been written.
    pub fn set(&self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

/// A caller's connection that fails after what has been written so far once it is cut.
#[derive(Debug)]
pub struct CallerSocket {
    stream: net::TcpStream,
    cut: Cut,
}

impl CallerSocket {
    /// Wraps a connection.
    pub const fn new(stream: net::TcpStream, cut: Cut) -> Self {
        Self { stream, cut }
    }
}

impl async_io::AsyncRead for CallerSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl async_io::AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The server flushes once its buffer is empty, so nothing given to it is lost.
        if self.cut.is_set() {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
