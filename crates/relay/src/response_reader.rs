//! Reading of responses.

use bytes::{Bytes, BytesMut};
use guavausher_core::relay::event;
use tokio::net::TcpStream;

use crate::connection;
use crate::framing;
use crate::head;

/// Longest head of a response in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Interim (1xx) responses that are accepted before a final one.
const MAX_INTERIM: usize = 8;
/// Longest body that is skipped, in bytes.
const MAX_SKIPPED: usize = 256 * 1024;

/// Signal of an attempt that failed after some bytes of a response.
pub(crate) const BROKEN_RESPONSE: event::Signal = event::Signal::Broken { unanswered: false };

/// Reads the head of a final response; calls `inspect` with each head, those of interim responses
/// included.
pub(crate) async fn read_head(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    inspect: impl Fn(&head::Head),
) -> Result<head::Head, event::Signal> {
    let mut interim = 0;
    loop {
        let parsed = head::response(buffer).map_err(|_| BROKEN_RESPONSE)?;
        if let Some(parsed) = parsed {
            let _ = buffer.split_to(parsed.length);
            inspect(&parsed.head);
            if parsed.head.status() >= 200 {
                return Ok(parsed.head);
            }
            interim += 1;
            if interim > MAX_INTERIM {
                return Err(BROKEN_RESPONSE);
            }
            continue;
        }
        let unanswered = buffer.is_empty();
        if buffer.len() > MAX_HEAD {
            return Err(BROKEN_RESPONSE);
        }
        match connection::fill(stream, buffer).await {
            Ok(count) if count > 0 => {}
            _ => return Err(event::Signal::Broken { unanswered }),
        }
    }
}

/// Reads a complete body of at most `limit` bytes; `None` if it is longer or truncated.
pub(crate) async fn read_body(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    framing: framing::Framing,
    limit: usize,
) -> Option<Bytes> {
    let mut decoder = framing::Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        while let Some(piece) = decoder.take(buffer).ok()? {
            body.extend_from_slice(&piece);
            if body.len() > limit {
                return None;
            }
        }
        if decoder.is_done() {
            return Some(body.freeze());
        }
        if connection::fill(stream, buffer).await.ok()? == 0 {
            return decoder.is_complete_at_close().then(|| body.freeze());
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
