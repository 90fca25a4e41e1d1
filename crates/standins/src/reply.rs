//! Builders for whole responses.

use std::fmt;
use std::io;

use http::header;

use crate::body;

/// A response of a stand-in.
pub type Response = http::Response<body::Body>;

/// The outcome of handling a request; an error closes the connection without an answer.
pub type Outcome = io::Result<Response>;

/// Seconds named in `retry-after` by every refusal.
pub const RETRY_AFTER_SECONDS: &str = "1";

/// Answers with a JSON body.
pub fn json(status: http::StatusCode, value: &impl serde::Serialize) -> Response {
    raw_json(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Answers with a JSON body that is already encoded.
pub fn raw_json(status: http::StatusCode, text: Vec<u8>) -> Response {
    let mut response = http::Response::new(body::Body::whole(text));
    *response.status_mut() = status;
    set(&mut response, "content-type", "application/json");
    response
}

/// Answers with a JSON body that holds an error message.
pub fn error(status: http::StatusCode, message: impl fmt::Display) -> Response {
    json(status, &serde_json::json!({ "error": message.to_string() }))
}

/// Answers 200 with an empty JSON object.
pub fn done() -> Response {
    json(http::StatusCode::OK, &serde_json::json!({}))
}

/// Answers 400 with a message.
pub fn bad(message: impl fmt::Display) -> Response {
    error(http::StatusCode::BAD_REQUEST, message)
}

/// Answers 404.
pub fn missing() -> Response {
    error(http::StatusCode::NOT_FOUND, "no such resource")
}

/// Refuses with 503, stating that the request was not run.
pub fn refused(message: &str) -> Response {
    let mut response = error(http::StatusCode::SERVICE_UNAVAILABLE, message);
    set(&mut response, "x-verdict", "not-run");
    set(&mut response, "retry-after", RETRY_AFTER_SECONDS);
    response
}

/// Fails with 503 without a statement about whether the request ran.
pub fn failed() -> Response {
    error(http::StatusCode::SERVICE_UNAVAILABLE, "told to fail")
}

/// Sets a header; a value that is no header text is left out.
pub fn set(response: &mut Response, name: &'static str, value: &str) {
    let name = header::HeaderName::from_static(name);
    if let Ok(value) = header::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// The error that closes a connection without an answer.
pub fn cut() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "told to cut the connection",
    )
}
