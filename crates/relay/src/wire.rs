//! Writing and parsing of header lines and chunks.

use std::time::Duration;

use bytes::BytesMut;

use crate::head;

/// Returns the status line of a response.
pub(crate) fn status_line(status: u16) -> Vec<u8> {
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
pub(crate) fn push_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

/// Appends a piece of a body, as a chunk if `chunked` is set.
pub(crate) fn push_body(buffer: &mut BytesMut, piece: &[u8], chunked: bool) {
    if piece.is_empty() {
        return;
    }
    if chunked {
        buffer.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    }
    buffer.extend_from_slice(piece);
    if chunked {
        buffer.extend_from_slice(b"\r\n");
    }
}

/// Returns the delay of the `Retry-After` header.
pub(crate) fn retry_after(head: &head::Head) -> Option<Duration> {
    let seconds: f64 = head.get("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the timeout of the `Keep-Alive` header: how long the engine keeps the connection open.
pub(crate) fn keep_alive(head: &head::Head) -> Option<Duration> {
    let value = head.get("keep-alive")?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
