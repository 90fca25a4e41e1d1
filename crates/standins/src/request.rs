//! Parts of requests.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;

use crate::reply;

/// The largest accepted body in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// A request with its whole body.
pub type Request = http::Request<Bytes>;

/// Reads the whole body, or answers why it can't be read.
pub async fn read(request: http::Request<body::Incoming>) -> Result<Request, Box<reply::Response>> {
    read_limited(request, MAX_BODY_BYTES).await
}

/// Reads the whole body of at most `limit` bytes, or answers why it can't be read.
pub async fn read_limited(
    request: http::Request<body::Incoming>,
    limit: usize,
) -> Result<Request, Box<reply::Response>> {
    let (head, incoming) = request.into_parts();
    let limited = http_body_util::Limited::new(incoming, limit);
    match limited.collect().await {
        Ok(collected) => Ok(http::Request::from_parts(head, collected.to_bytes())),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Box::new(too_large())),
        Err(error) => Err(Box::new(reply::bad(error))),
    }
}

/// Returns a header's text, or an empty one.
pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns a header's number, `None` if it is absent, or an answer if it is no number.
pub fn number(request: &Request, name: &str) -> Result<Option<u64>, Box<reply::Response>> {
    let text = header(request, name);
    if text.is_empty() {
        return Ok(None);
    }
    let bad = |_| {
        Box::new(reply::bad(format!(
            "header {name}: {text:?} is not a whole number"
        )))
    };
    text.parse().map(Some).map_err(bad)
}

/// Returns a parameter of the query, decoded, or an empty text.
pub fn query(request: &Request, name: &str) -> String {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode(value))
        .unwrap_or_default()
}

/// Returns a number in the query, or `default` if it is absent, or an answer if it is none.
pub fn query_number(
    request: &Request,
    name: &str,
    default: u64,
) -> Result<u64, Box<reply::Response>> {
    let text = query(request, name);
    if text.is_empty() {
        return Ok(default);
    }
    let bad = |_| {
        Box::new(reply::bad(format!(
            "query {name}: {text:?} is not a whole number"
        )))
    };
    text.parse().map_err(bad)
}

/// Parses the body as JSON, or answers why it is none.
pub fn json<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, Box<reply::Response>> {
    let bad = |error| Box::new(reply::bad(format!("body: {error}")));
    serde_json::from_slice(request.body()).map_err(bad)
}

/// Decodes percent signs; a malformed sequence stays as it is.
pub fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = tail.get(..2).filter(|_| first == b'%').and_then(hex);
        bytes.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(text, 16).ok()
}

fn too_large() -> reply::Response {
    let message = format!("the body is larger than {MAX_BODY_BYTES} bytes");
    reply::error(http::StatusCode::PAYLOAD_TOO_LARGE, message)
}
