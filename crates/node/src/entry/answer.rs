//! Answers in HTTP form.

use std::convert;

use bytes::Bytes;
use guavausher_core::{ledger, refusal, time, verdict};
use http_body_util::combinators;
use http_body_util::{BodyExt, Full};
use hyper::header;

/// Header that states whether the request ran.
pub const VERDICT: &str = "x-verdict";

/// Header with the id of the request at the entry.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the version that answered.
pub const VERSION: &str = "x-version";

/// Content type of a token stream.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The body of an answer.
pub type Body = combinators::BoxBody<Bytes, convert::Infallible>;

/// An answer that is known as a whole.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: String,
    /// Body.
    pub body: Bytes,
    /// Whether the request ran.
    pub verdict: verdict::Verdict,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
}

#[derive(serde::Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
    message: String,
    verdict: verdict::Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Whole {
    /// Returns the kept answer of an earlier run.
    pub fn replay(kept: ledger::StoredResponse) -> Self {
        let Some(body) = kept.body else {
            let message = "the request ran; its answer was too large to be kept";
            return Self::error(200, "answer-not-kept", message, verdict::Verdict::Ran);
        };
        Self {
            status: kept.status,
            media: kept.media,
            body: Bytes::from(body),
            verdict: verdict::Verdict::Ran,
            retry_after: None,
        }
    }

    /// Returns a refusal by the reducer.
    pub fn refusal(refusal: refusal::Refusal, now: time::Time) -> Self {
        let body = refusal_json(refusal, now);
        Self {
            status: refusal.code.status(),
            media: String::from("application/json"),
            body: Bytes::from(body),
            verdict: refusal.verdict,
            retry_after: refusal
                .retry_at
                .map(|at| now.until(at).as_secs_f64().ceil() as u64),
        }
    }

    /// Returns an error found before the reducer saw the request.
    pub fn error(status: u16, error: &str, message: &str, verdict: verdict::Verdict) -> Self {
        let body = ErrorBody {
            error,
            message: message.to_owned(),
            verdict,
            retry_after_ms: None,
        };
        Self {
            status,
            media: String::from("application/json"),
            body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
            verdict,
            retry_after: None,
        }
    }

    /// Builds the HTTP response.
    pub fn response(self, id: &str) -> hyper::Response<Body> {
        let body = Full::new(self.body).boxed();
        let mut builder = hyper::Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, self.media)
            .header(VERDICT, self.verdict.as_str())
            .header(REQUEST_ID, id);
        if let Some(seconds) = self.retry_after {
            builder = builder.header(header::RETRY_AFTER, seconds);
        }
        builder
            .body(body)
            .unwrap_or_else(|_| hyper::Response::new(empty()))
    }
}

/// Returns the JSON text of a refusal.
pub fn refusal_json(refusal: refusal::Refusal, now: time::Time) -> Vec<u8> {
    let body = ErrorBody {
        error: refusal.code.as_str(),
        message: refusal.code.to_string(),
        verdict: refusal.verdict,
        retry_after_ms: refusal.retry_at.map(|at| now.until(at).as_millis() as u64),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn empty() -> Body {
    Full::new(Bytes::new())
        .map_err(|never| match never {})
        .boxed()
}
