//! Reading of engines' answers.

use bytes::BytesMut;
use guavausher_core::relay::event;
use tokio::net::TcpStream;

use crate::channel;
use crate::framing;
use crate::head;

/// Longest head of an answer in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// A break after some bytes of an answer.
pub(crate) const BROKEN_LATER: event::Signal = event::Signal::Broken { unanswered: false };

/// Reads the head of a final answer.
pub(crate) async fn read_head(
    stream: &TcpStream,
    inbox: &mut BytesMut,
) -> Result<head::Head, event::Signal> {
    loop {
        let parsed = head::answer(inbox).map_err(|_| BROKEN_LATER)?;
        if let Some(parsed) = parsed {
            let _ = inbox.split_to(parsed.length);
            if parsed.head.status() >= 200 {
                return Ok(parsed.head);
            }
            continue;
        }
        let unanswered = inbox.is_empty();
        if inbox.len() > MAX_HEAD {
            return Err(BROKEN_LATER);
        }
        match channel::fill(stream, inbox).await {
            Ok(count) if count > 0 => {}
            _ => return Err(event::Signal::Broken { unanswered }),
        }
    }
}

/// Reads past a body.
pub(crate) async fn skip_body(
    stream: &TcpStream,
    inbox: &mut BytesMut,
    framing: framing::Framing,
) -> Result<(), event::Signal> {
    let mut decoder = framing::Decoder::new(framing);
    loop {
        while decoder.take(inbox).map_err(|_| BROKEN_LATER)?.is_some() {}
        if decoder.is_done() {
            return Ok(());
        }
        match channel::fill(stream, inbox).await {
            Ok(count) if count > 0 => {}
            _ => return Err(BROKEN_LATER),
        }
    }
}
