//! A small HTTP/1.1 client whose calls and replies have complete bodies in memory.

use std::cell;
use std::fmt::Write;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use guavausher_core::time;
use guavausher_core::verdict;

use crate::clock;
use crate::connection;
use crate::framing;
use crate::head;
use crate::response_reader;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections that are kept at most.
const MAX_IDLE: usize = 4;
/// How long an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest body of a reply in bytes.
const MAX_BODY: usize = 4 << 20;

/// A request to the server.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Header lines, each with its CRLF.
    pub headers: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Time by which the reply must be complete.
    pub deadline: time::Time,
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Head.
    pub head: head::Head,
    /// Body.
    pub body: Bytes,
}

/// A client of one address with a pool of idle connections.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    idle: cell::RefCell<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: connection::Connection,
    until: time::Time,
}

impl Client {
    /// Creates a client; it connects with the first call.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            idle: cell::RefCell::new(Vec::new()),
        }
    }

    /// Sends a call and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails with a verdict on whether the call may have been executed.
    pub async fn call(&self, call: &Call<'_>) -> Result<Reply, verdict::Verdict> {
        let limit = clock::now().until(call.deadline);
        if limit.is_zero() {
            return Err(verdict::Verdict::NotRun);
        }
        let mut connection = match self.take_idle() {
            Some(connection) => connection,
            None => connection::Connection::connect(self.address, CONNECT_TIMEOUT.min(limit))
                .await
                .map_err(|_| verdict::Verdict::NotRun)?,
        };
        let exchange = exchange(&mut connection, call);
        let left = clock::now().until(call.deadline);
        let (reply, is_reusable) = tokio::time::timeout(left, exchange)
            .await
            .ok()
            .flatten()
            .ok_or(verdict::Verdict::MayHaveRun)?;
        if is_reusable {
            self.put_idle(connection);
        }
        Ok(reply)
    }

    /// Closes all idle connections, for use when one of them has stopped responding.
    pub fn close(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self) -> Option<connection::Connection> {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            if kept.until > now && kept.connection.is_idle() {
                return Some(kept.connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: connection::Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE && connection.buffer.is_empty() {
            let until = clock::now().after(MAX_IDLE_TIME);
            idle.push(Idle { connection, until });
        }
    }
}

async fn exchange(
    connection: &mut connection::Connection,
    call: &Call<'_>,
) -> Option<(Reply, bool)> {
    let mut head = String::with_capacity(256);
    let length = call.body.len();
    // Writing to a string cannot fail.
    let _ = write!(
        head,
        "{} {} HTTP/1.1\r\nHost: platform\r\n{}Content-Length: {length}\r\n\r\n",
        call.method, call.path, call.headers
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(call.body);
    connection::write_all(&connection.stream, &bytes)
        .await
        .ok()?;
    let connection::Connection { stream, buffer, .. } = connection;
    let head = response_reader::read_head(stream, buffer, &mut None, |_| {})
        .await
        .ok()?;
    let framing = head.response_framing(call.method).ok()?;
    let body = response_reader::read_body(stream, buffer, framing, MAX_BODY, &mut None).await;
    let body = body.ok()?.bytes;
    let is_reusable = head.keeps_alive() && framing != framing::Framing::Close;
    let reply = Reply {
        status: head.status(),
        head,
        body,
    };
    Some((reply, is_reusable))
}
