//! A connection that counts its bytes.

use std::io;
use std::pin;
use std::task;

use tokio::io as async_io;
use tokio::net;

use super::counters;

/// A connection that counts its bytes.
#[derive(Debug)]
pub struct Counted {
    stream: net::TcpStream,
    counters: counters::Counters,
}

impl Counted {
    /// Wraps a connection; small frames leave at once.
    pub fn new(stream: net::TcpStream, counters: counters::Counters) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, counters })
    }
}

impl async_io::AsyncRead for Counted {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        let more = buffer.filled().len() - before;
        self.counters.received_bytes.inc_by(more as u64);
        polled
    }
}

impl async_io::AsyncWrite for Counted {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, buffer);
        if let task::Poll::Ready(Ok(written)) = &polled {
            self.counters.sent_bytes.inc_by(*written as u64);
        }
        polled
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
