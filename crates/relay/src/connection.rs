//! TCP connections with a buffer for bytes that were read ahead.

use std::io;
use std::net;
use std::time::Duration;

use bytes::BytesMut;
use guavausher_core::relay::memory_limits;
use tokio::net::TcpStream;

use crate::budget;

/// Buffer space that is reserved for one read, in bytes.
pub(crate) const READ_BYTES: usize = 8 * 1024;
/// How long sent bytes may remain unacknowledged, and a peer's receive window closed
/// (`TCP_USER_TIMEOUT`).
pub const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time before the first keepalive probe, and the time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered keepalive probes after which the connection is closed.
const MAX_PROBES: u32 = 2;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A connection and the bytes read from it that are not consumed yet.
#[derive(Debug)]
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes read ahead.
    pub buffer: BytesMut,
    /// Set after a clean exchange: how long the peer keeps the connection open, if it states so.
    pub keep_alive: Option<Option<Duration>>,
    /// Charge of a caller's connection for the buffer beyond its first read.
    pub charge: Option<budget::Charge>,
}

impl Connection {
    /// Wraps an open socket.
    pub fn new(stream: TcpStream) -> Self {
        tune(&stream);
        Self {
            stream,
            buffer: BytesMut::new(),
            keep_alive: None,
            charge: None,
        }
    }

    /// Connects within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the connection or does not accept it in time.
    pub async fn connect(address: net::SocketAddr, limit: Duration) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(limit, connecting)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; returns 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset or timed out, or with `OutOfMemory` if there is no room for
    /// more bytes of a caller.
    pub async fn fill(&mut self) -> io::Result<usize> {
        fill_charged(&self.stream, &mut self.buffer, &mut self.charge).await
    }

    /// Releases the buffer if it is empty, since the connection may stay idle for long.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            if let Some(charge) = &mut self.charge {
                charge.shrink_to(0);
            }
        }
    }

    /// Returns `true` if the connection is open and has nothing to read.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads more bytes into a buffer; returns 0 at the end of the connection.
///
/// # Errors
///
/// Fails if the connection was reset or timed out.
pub async fn fill(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_BYTES);
        match stream.try_read_buf(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// The same for a caller's connection, whose buffer is charged before it grows.
///
/// # Errors
///
/// Fails if the connection was reset or timed out, or with `OutOfMemory` if there is no room.
pub(crate) async fn fill_charged(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    charge: &mut Option<budget::Charge>,
) -> io::Result<usize> {
    stream.readable().await?;
    if let Some(charge) = charge {
        let capacity = buffer.len() + READ_BYTES;
        // A connection has room for its first read.
        if !buffer.is_empty() && !charge.grow_to(capacity.next_power_of_two() - READ_BYTES) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
    }
    fill(stream, buffer).await
}

/// Writes all bytes.
///
/// # Errors
///
/// Fails if the connection was closed, reset or timed out.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    // Bytes that nobody has read count against the memory of the instance. Without a fixed size the
    // kernel lets a socket grow to some megabytes.
    socket.set_recv_buffer_size(memory_limits::SOCKET_BYTES as u32)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Limits how long a peer may leave bytes unacknowledged or its receive window closed.
pub fn limit_silence(stream: &TcpStream, limit: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(fault) = socket.set_tcp_user_timeout(Some(limit)) {
        log::debug!(fault:% = fault; "setting a socket option failed");
    }
}

fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for fault in results.into_iter().filter_map(Result::err) {
        log::debug!(fault:% = fault; "setting a socket option failed");
    }
}
