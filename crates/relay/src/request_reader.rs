//! Reading of requests from a caller's connection.

use std::io;
use std::rc;
use std::time::Duration;

use guavausher_core::refusal;
use guavausher_core::relay::manifest;
use guavausher_core::time;

use crate::body;
use crate::body_reader;
use crate::budget;
use crate::clock;
use crate::connection;
use crate::framing;
use crate::head;
use crate::limits;

/// Limits that apply before a manifest is known.
pub const DEFAULT_LIMITS: manifest::Limits = manifest::Limits {
    head: 16 * 1024,
    body: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Memory of the parsed headers of a head, beside its bytes.
const HEADERS_BYTES: usize = 4 << 10;
/// Interim response to a request with `Expect: 100-continue`.
pub(crate) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A completely received request.
#[derive(Debug)]
pub struct Request {
    /// Head.
    pub head: head::Head,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body without its framing.
    held: body_reader::HeldBody,
    _charge: budget::Charge,
    /// Whether the head stated a body.
    pub has_body: bool,
    /// Time at which the head was complete.
    pub arrived: time::Time,
}

impl Request {
    /// Returns the body without its framing.
    pub const fn body(&self) -> &body::Body {
        &self.held.body
    }
}

/// Reason why no request could be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The caller closed the connection, or it was idle for too long.
    Closed,
    /// The request is refused; the connection is closed after this response.
    Refused(refusal::Code),
}

impl From<io::Error> for Error {
    fn from(fault: io::Error) -> Self {
        match fault.kind() {
            io::ErrorKind::OutOfMemory => Self::Refused(refusal::Code::Overloaded),
            _ => Self::Closed,
        }
    }
}

/// Waits for the first byte of a request.
///
/// # Errors
///
/// Fails if the connection ends or times out first.
pub async fn wait_readable(
    connection: &mut connection::Connection,
    limits: &limits::LimitsInForce,
) -> Result<(), Error> {
    if !connection.buffer.is_empty() {
        return Ok(());
    }
    connection.release_buffer();
    let waiting = limits.within(|limits| limits.idle_timeout, connection.fill());
    match waiting.await {
        Some(Ok(count)) if count > 0 => Ok(()),
        _ => Err(Error::Closed),
    }
}

/// Reads a complete request; `find` returns who sends its body, given the head, the target and the
/// time at which the head was complete.
///
/// # Errors
///
/// Fails if the connection ends first, or if the request exceeds a limit or is malformed.
pub async fn read(
    connection: &mut connection::Connection,
    limits: &limits::LimitsInForce,
    budget: &rc::Rc<budget::Budget>,
    find: impl Fn(&head::Head, &str, time::Time) -> body_reader::Source,
) -> Result<Request, Error> {
    let reading = read_head(connection, limits);
    let head = limits
        .within(|limits| limits.head_timeout, reading)
        .await
        .ok_or(Error::Refused(refusal::Code::TooSlow))??;
    let arrived = clock::now();
    let head::Line::Request { method, target } = head.line.clone() else {
        return Err(Error::Refused(refusal::Code::Malformed));
    };
    if !target.starts_with('/') || head.count("host") != 1 {
        return Err(Error::Refused(refusal::Code::Malformed));
    }
    let framing = head
        .request_framing()
        .map_err(|_| Error::Refused(refusal::Code::Malformed))?;
    if matches!(framing, framing::Framing::Length(length) if length > limits.get().body as u64) {
        return Err(Error::Refused(refusal::Code::BodyTooLarge));
    }
    if head.has_token("expect", "100-continue") && connection.buffer.is_empty() {
        connection::write_all(&connection.stream, CONTINUE)
            .await
            .map_err(|_| Error::Closed)?;
    }
    let charge = budget.charge(HEADERS_BYTES + 2 * head.length());
    let charge = charge.ok_or(Error::Refused(refusal::Code::Overloaded))?;
    let reader = body_reader::BodyReader::new(connection, budget, framing, limits);
    let held = reader.read(|| find(&head, &target, arrived)).await?;
    Ok(Request {
        has_body: head.count("content-length") + head.count("transfer-encoding") > 0,
        head,
        method,
        target,
        held,
        _charge: charge,
        arrived,
    })
}

async fn read_head(
    connection: &mut connection::Connection,
    limits: &limits::LimitsInForce,
) -> Result<head::Head, Error> {
    loop {
        let parsed = head::request(&connection.buffer);
        match parsed.map_err(|_| Error::Refused(refusal::Code::Malformed))? {
            Some(parsed) if parsed.length > limits.get().head => {
                return Err(Error::Refused(refusal::Code::HeadTooLarge));
            }
            Some(parsed) => {
                let _ = connection.buffer.split_to(parsed.length);
                return Ok(parsed.head);
            }
            None if connection.buffer.len() > limits.get().head => {
                return Err(Error::Refused(refusal::Code::HeadTooLarge));
            }
            None => read_more(connection).await?,
        }
    }
}

async fn read_more(connection: &mut connection::Connection) -> Result<(), Error> {
    match connection.fill().await? {
        0 => Err(Error::Closed),
        _ => Ok(()),
    }
}
