//! Requests for tokens.

use super::batch;
use crate::reply;
use crate::request;

/// The most tokens that one request may ask for.
const MAX_TOKENS: u64 = 100_000;

/// A request for tokens.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// The prompt.
    pub prompt: String,
    /// Offset after the last token.
    pub end: u64,
    /// Offset of the first token to send.
    pub first: u64,
    /// When the caller gives up, in Unix milliseconds.
    pub deadline: u64,
    /// The request's class.
    pub priority: batch::Priority,
    /// The caller's name for this attempt, if any.
    pub attempt: String,
    /// What the run is counted under, if the caller gave any name.
    pub key: String,
}

/// The body of a request for tokens.
#[derive(Debug, serde::Deserialize)]
struct Body {
    prompt: String,
    max_tokens: u64,
}

impl Ask {
    /// Parses a request, or answers what is wrong with it.
    pub(super) fn parse(request: &request::Request) -> Result<Self, Box<reply::Response>> {
        let body = request::json::<Body>(request)?;
        let first = request::number(request, "x-resume-offset")?.unwrap_or(0);
        check("max_tokens", body.max_tokens)?;
        check("x-resume-offset", first)?;
        Ok(Self {
            prompt: body.prompt,
            end: body.max_tokens.max(first),
            first,
            deadline: request::number(request, "x-deadline-ms")?.unwrap_or(u64::MAX),
            priority: priority(request),
            attempt: request::header(request, "x-attempt-id").to_owned(),
            key: key(request),
        })
    }
}

fn check(field: &str, tokens: u64) -> Result<(), Box<reply::Response>> {
    if tokens > MAX_TOKENS {
        return Err(Box::new(reply::bad(format!(
            "{field}: use at most {MAX_TOKENS}"
        ))));
    }
    Ok(())
}

fn priority(request: &request::Request) -> batch::Priority {
    match request::header(request, "x-priority") {
        "long" => batch::Priority::Long,
        _ => batch::Priority::Quick,
    }
}

fn key(request: &request::Request) -> String {
    let names = ["idempotency-key", "x-request-id", "x-attempt-id"];
    let texts = names.map(|name| request::header(request, name));
    texts
        .into_iter()
        .find(|text| !text.is_empty())
        .unwrap_or_default()
        .to_owned()
}
