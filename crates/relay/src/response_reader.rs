//! Reading of responses.

use bytes::{Bytes, BytesMut};
use guavausher_core::relay::event;
use tokio::net::TcpStream;

use crate::budget;
use crate::connection;
use crate::framing;
use crate::head;
use crate::response_end;

/// Longest head of a response in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Interim (1xx) responses that are accepted before a final one.
const MAX_INTERIM: usize = 8;
/// Longest body that is skipped, in bytes.
const MAX_SKIPPED: usize = 256 * 1024;

/// Signal of an attempt that failed after some bytes of a response.
pub(crate) const BROKEN_RESPONSE: event::Signal = event::Signal::Broken { unanswered: false };

/// A complete body.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    pub bytes: Bytes,
    /// What has ended it.
    pub cause: response_end::Cause,
}

/// The end of a connection before the head of a final response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingHead {
    pub cause: response_end::Cause,
    /// Whether nothing of the response has arrived.
    pub unanswered: bool,
}

/// Reads the head of a final response; calls `inspect` with each head, those of interim responses
/// included. What it holds beyond a first read is charged, if there is a charge.
pub(crate) async fn read_head(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    charge: &mut Option<budget::Charge>,
    inspect: impl Fn(&head::Head),
) -> Result<head::Head, MissingHead> {
    let invalid = MissingHead {
        cause: response_end::Cause::Invalid,
        unanswered: false,
    };
    let mut interim = 0;
    loop {
        let parsed = head::response(buffer).map_err(|_| invalid)?;
        if let Some(parsed) = parsed {
            let _ = buffer.split_to(parsed.length);
            inspect(&parsed.head);
            if parsed.head.status() >= 200 {
                return Ok(parsed.head);
            }
            interim += 1;
            if interim > MAX_INTERIM {
                return Err(invalid);
            }
            continue;
        }
        let unanswered = buffer.is_empty();
        if buffer.len() > MAX_HEAD {
            let cause = response_end::Cause::TooLong;
            return Err(MissingHead { cause, ..invalid });
        }
        if buffer.len() >= connection::READ_BYTES && !has_room(charge, buffer.len()) {
            let cause = response_end::Cause::NoRoom;
            return Err(MissingHead { cause, ..invalid });
        }
        let read = connection::fill(stream, buffer).await;
        response_end::Cause::of_read(read).map_err(|cause| MissingHead { cause, unanswered })?;
    }
}

/// Returns `true` if there is room for so many bytes, which grow by doubling, or no charge for them.
fn has_room(charge: &mut Option<budget::Charge>, bytes: usize) -> bool {
    let capacity = bytes.next_power_of_two();
    charge
        .as_mut()
        .is_none_or(|charge| charge.grow_to(capacity))
}

/// Reads a complete body of at most `limit` bytes, which are charged as they arrive if there is a
/// charge.
///
/// # Errors
///
/// Fails with the cause if it is longer or truncated.
pub(crate) async fn read_body(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    framing: framing::Framing,
    limit: usize,
    charge: &mut Option<budget::Charge>,
) -> Result<Body, response_end::Cause> {
    let mut decoder = framing::Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        while let Some(piece) = decoder
            .take(buffer)
            .map_err(|_| response_end::Cause::Invalid)?
        {
            let length = body.len() + piece.len();
            if length > limit {
                return Err(response_end::Cause::TooLong);
            }
            if !has_room(charge, length) {
                return Err(response_end::Cause::NoRoom);
            }
            body.extend_from_slice(&piece);
        }
        if decoder.is_done() {
            return Ok(Body {
                bytes: body.freeze(),
                cause: response_end::Cause::Complete,
            });
        }
        let read = connection::fill(stream, buffer).await;
        match response_end::Cause::of_read(read) {
            Ok(_) => {}
            Err(response_end::Cause::Closed) if decoder.is_complete_at_close() => {
                return Ok(Body {
                    bytes: body.freeze(),
                    cause: response_end::Cause::Closed,
                });
            }
            Err(cause) => return Err(cause),
        }
    }
}

/// Reads and discards a body.
pub(crate) async fn skip_body(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    framing: framing::Framing,
) -> Result<(), event::Signal> {
    let mut decoder = framing::Decoder::new(framing);
    let mut skipped = 0;
    loop {
        while let Some(piece) = decoder.take(buffer).map_err(|_| BROKEN_RESPONSE)? {
            skipped += piece.len();
        }
        if skipped > MAX_SKIPPED {
            return Err(BROKEN_RESPONSE);
        }
        if decoder.is_done() {
            return Ok(());
        }
        match connection::fill(stream, buffer).await {
            Ok(count) if count > 0 => {}
            _ => return Err(BROKEN_RESPONSE),
        }
    }
}
