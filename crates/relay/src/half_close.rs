//! Callers that have closed their sending side.
//!
//! HTTP permits this, but a caller that closes its socket sends the same FIN. Its machine responds to
//! bytes for a closed socket with a reset, so bytes that leave the response as it is are sent as
//! probes: an interim response before the head, and leading zeros of the next chunk's size after it.

use std::io;
use std::mem;
use std::time::Duration;

use guavausher_core::time;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::attempt;
use crate::clock;
use crate::request_reader;

/// Time between two probes. Engines are told within half a second that a caller has left, also behind
/// a proxy, which may see the caller's reset only with the second probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which the machine of a caller that has closed its socket resets it for a probe.
pub(crate) const PROBE_TIME: Duration = Duration::from_millis(50);
/// Zeros before the size of one chunk; with its digits, some clients read eight at most.
const MAX_ZEROS: u8 = 4;

/// State of a caller's socket, as far as it is known without reading from it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerState {
    /// It is open, as far as is known.
    Open,
    /// The caller has closed its sending side, and perhaps its socket.
    HalfClosed,
    /// The caller has left.
    Left,
}

/// Returns the state of a caller's socket, closes that were not read yet included.
pub(crate) fn state(caller: &TcpStream) -> CallerState {
    let mut byte = [mem::MaybeUninit::uninit()];
    match socket2::SockRef::from(caller).peek(&mut byte) {
        Ok(0) => CallerState::HalfClosed,
        Ok(_) => CallerState::Open,
        Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => CallerState::Open,
        Err(_) => CallerState::Left,
    }
}

/// Returns once a caller that has closed its sending side has closed its socket, or once that cannot
/// be told from a half-close.
pub(crate) async fn wait_left(exchange: &attempt::Exchange<'_>) {
    while probe(exchange) {
        let left = exchange.caller.ready(Interest::ERROR);
        if tokio::time::timeout(PROBE_INTERVAL, left).await.is_ok() {
            return;
        }
    }
}

/// Sends a probe unless the response itself serves as one; returns `false` if none can be sent.
fn probe(exchange: &attempt::Exchange<'_>) -> bool {
    let mut output = exchange.output.borrow_mut();
    let previous = std::mem::replace(&mut output.last_probe, clock::now());
    if !output.is_begun {
        let probe = request_reader::CONTINUE;
        return exchange.incoming.head.is_http11 && is_sent(exchange, probe);
    }
    let is_first = previous == time::Time::default();
    if output.is_writing || (!is_first && output.last_write >= previous) {
        return true;
    }
    if !output.is_chunked {
        // A piece of the body within the interval serves as a probe.
        return is_first;
    }
    if output.zeros >= MAX_ZEROS {
        // The next chunk shows whether the caller has left.
        return true;
    }
    output.zeros += 1;
    is_sent(exchange, b"0")
}

/// Returns `false` if the caller has left, or if bytes can be sent only in part.
fn is_sent(exchange: &attempt::Exchange<'_>, bytes: &[u8]) -> bool {
    match exchange.caller.try_write(bytes) {
        Ok(count) => count == bytes.len(),
        // The bytes that wait in the socket serve as a probe.
        Err(fault) => fault.kind() == io::ErrorKind::WouldBlock,
    }
}
