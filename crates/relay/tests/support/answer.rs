//! What a caller sees on a connection with one request, byte by byte until its end.

use std::future;

use tokio::io::AsyncReadExt as _;

use super::Relay;

/// The bytes that a caller got, and how they read.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// All bytes.
    pub raw: String,
    /// Status, 0 without a complete head.
    pub status: u16,
    /// Body without its framing.
    pub body: String,
    /// Whether it looks complete.
    pub is_whole: bool,
}

impl Answer {
    /// Sends a request and reads until the relay closes or resets the connection.
    ///
    /// # Panics
    ///
    /// Panics if there is more than one head in the bytes, or anything that is no response.
    pub async fn get(relay: &Relay, request: &str) -> Self {
        Self::get_after(relay, request, future::ready(())).await
    }

    /// The same, but reads nothing until a condition holds.
    ///
    /// # Panics
    ///
    /// As [`Answer::get`].
    pub async fn get_after(
        relay: &Relay,
        request: &str,
        condition: impl future::Future<Output = ()>,
    ) -> Self {
        let mut caller = relay.caller().await;
        let asked = request.replacen("X-Left", "Connection: close\r\nX-Left", 1);
        caller.send(&asked).await;
        condition.await;
        let mut raw = Vec::new();
        let is_closed = caller.stream.read_to_end(&mut raw).await.is_ok();
        Self::parse(String::from_utf8(raw).unwrap(), is_closed)
    }

    /// Returns the status and body in short: `CUT` if it is visibly incomplete, without a body if
    /// the relay itself responded, and `closed` without a head.
    pub fn summary(&self) -> String {
        if self.status == 0 {
            return String::from("closed");
        }
        let is_own = self.body.starts_with("{\"error\"") && !self.raw.contains("X-Stamp");
        let body = match self.body.len() {
            _ if is_own => "",
            length if length > 1_000 => " long",
            _ => &format!(" {}", short(&self.body)),
        };
        let end = if self.is_whole { "" } else { " CUT" };
        format!("{}{body}{end}", self.status)
    }

    fn parse(raw: String, is_closed: bool) -> Self {
        let heads = raw.matches("HTTP/1.").count();
        assert!(heads <= 1, "{heads} heads: {raw:?}");
        let Some((head, rest)) = raw.split_once("\r\n\r\n") else {
            assert!(raw.is_empty(), "part of a head: {raw:?}");
            return Self::default();
        };
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let head = head.to_ascii_lowercase();
        let length = head.split_once("\r\ncontent-length: ");
        let length = length.map(|(_, rest)| rest.lines().next().unwrap().parse().unwrap());
        let (body, is_whole) = match length {
            Some(length) => {
                assert!(rest.len() <= length, "bytes after the response: {raw:?}");
                (String::from(rest), rest.len() == length)
            }
            None if head.contains("\r\ntransfer-encoding: chunked") => decode(rest),
            None => (String::from(rest), is_closed),
        };
        Self {
            status,
            body,
            is_whole,
            raw,
        }
    }
}

/// Returns events by their ids in brackets.
fn short(body: &str) -> String {
    let event =
        |text: String, id| text.replace(&format!("id: {id}\ndata: e{id}\n\n"), &format!("[{id}]"));
    (0..9).fold(String::from(body), event)
}

/// Decodes chunks as far as they go; returns whether they are complete.
fn decode(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, data)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16);
        let size = size.unwrap_or_else(|_| panic!("no chunk: {rest:?} after {body:?}"));
        let Some(data) = data.get(..size + 2).map(|chunk| (chunk, &data[size + 2..])) else {
            body.push_str(&data[..size.min(data.len())]);
            return (body, false);
        };
        let (chunk, after) = data;
        assert!(chunk.ends_with("\r\n"), "no end of a chunk: {rest:?}");
        body.push_str(&chunk[..size]);
        rest = after;
        if size == 0 {
            assert!(rest.is_empty(), "bytes after the response: {rest:?}");
            return (body, true);
        }
    }
    (body, false)
}
