//! TCP connections with a buffer for bytes that were read ahead.

use std::io;
use std::net;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;

/// Buffer space that is reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;
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
}

impl Connection {
    /// Wraps an open socket.
    pub fn new(stream: TcpStream) -> Self {
        tune(&stream);
        Self {
            stream,
            buffer: BytesMut::new(),
            keep_alive: None,
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
    /// Fails if the connection was reset or timed out.
    pub async fn fill(&mut self) -> io::Result<usize> {
        fill(&self.stream, &mut self.buffer).await
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
