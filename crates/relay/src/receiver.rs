//! The receiving half of a connection to an engine.

use std::cell;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::connection;

/// The receiving half of a connection to an engine, while the request is being sent.
pub(crate) struct Receiver<'a> {
    pub stream: &'a TcpStream,
    pub buffer: &'a mut BytesMut,
    /// Set after a clean exchange, as in the connection.
    pub keep_alive: &'a mut Option<Option<Duration>>,
    /// Whether the request was sent completely.
    pub is_sent: &'a cell::Cell<bool>,
}

impl Receiver<'_> {
    /// Reads more bytes; returns 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        connection::fill(self.stream, self.buffer).await
    }
}
