//! Lines of heads.

use std::time::Duration;

use bytes::BytesMut;

use crate::head;

/// Returns the first line of an answer.
pub(crate) fn answer_line(status: u16) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    };
    format!("HTTP/1.1 {status} {reason}\r\n").into_bytes()
}

/// Appends one header line.
pub(crate) fn put(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

pub(crate) fn append(waiting: &mut BytesMut, piece: &[u8], chunked: bool) {
    if piece.is_empty() {
        return;
    }
    if chunked {
        waiting.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    }
    waiting.extend_from_slice(piece);
    if chunked {
        waiting.extend_from_slice(b"\r\n");
    }
}

pub(crate) fn retry_after(head: &head::Head) -> Option<Duration> {
    let seconds: f64 = head.get("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns how long the engine says that the channel stays open.
pub(crate) fn keep_alive(head: &head::Head) -> Option<Duration> {
    let value = head.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
