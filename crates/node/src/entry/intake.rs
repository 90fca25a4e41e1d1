//! Checks of a caller's HTTP request.

use std::time;

use bytes::Bytes;
use guavausher_core::{name, prompt, request, time as point, verdict};
use http_body_util::{BodyExt, Limited};
use hyper::{body, header};

use crate::entry::answer;

/// The largest request body in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// How long a caller may take to send its body.
const BODY_WAIT: time::Duration = time::Duration::from_secs(10);

/// Longest timeout that a caller may state, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Output tokens expected if the caller states none.
const DEFAULT_OUTPUT: u32 = 128;

/// A checked request with its body.
#[derive(Debug)]
pub struct Intake {
    /// What the reducer sees.
    pub request: request::Request,
    /// What the upstream gets.
    pub body: Bytes,
}

/// The fields of a body that the router looks at; others are the upstream's.
#[derive(Debug, Default, serde::Deserialize)]
struct Prompt {
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u32>,
}

/// Reads and checks a request.
///
/// # Errors
///
/// Returns the answer that names the header or limit at fault.
pub async fn read(
    id: u64,
    now: point::Time,
    http: hyper::Request<body::Incoming>,
) -> Result<Intake, answer::Whole> {
    if http.method() != hyper::Method::POST {
        return Err(bad(
            405,
            "method",
            "only POST is served; send the request by POST",
        ));
    }
    let (head, body) = http.into_parts();
    let headers = Headers(&head.headers);
    let workspace = headers.name("x-workspace")?.ok_or_else(|| {
        bad(
            400,
            "header",
            "header x-workspace is missing; name the workspace",
        )
    })?;
    let key = headers.name("idempotency-key")?;
    let timeout = headers.number("x-timeout-ms", MAX_TIMEOUT_MS)?;
    let last = headers.number("last-event-id", u64::from(u32::MAX - 1))?;
    let body = collect(body).await?;
    let path = head.uri.path().to_owned();
    let parsed: Prompt = serde_json::from_slice(&body)
        .map_err(|e| bad(400, "body", &format!("the body is not a JSON object: {e}")))?;
    let request = request::Request {
        id,
        fingerprint: fingerprint(&path, &body),
        path,
        workspace,
        key,
        prompt: prompt::hash_blocks(&parsed.prompt),
        output: parsed.max_tokens.unwrap_or(DEFAULT_OUTPUT),
        deadline: timeout.map(|ms| now.after(time::Duration::from_millis(ms))),
        offset: last.map_or(0, |id| u32::try_from(id).map_or(0, |id| id + 1)),
    };
    Ok(Intake { request, body })
}

struct Headers<'a>(&'a header::HeaderMap);

impl Headers<'_> {
    fn text(&self, field: &str) -> Result<Option<&str>, answer::Whole> {
        let Some(value) = self.0.get(field) else {
            return Ok(None);
        };
        let text = value.to_str().ok().filter(|t| !t.is_empty());
        text.map(Some)
            .ok_or_else(|| unusable(field, "visible ASCII text"))
    }

    fn name(&self, field: &str) -> Result<Option<name::Name>, answer::Whole> {
        let text = self.text(field)?;
        match text.filter(|t| t.len() > name::MAX_BYTES) {
            Some(_) => Err(unusable(
                field,
                &format!("at most {} bytes", name::MAX_BYTES),
            )),
            None => Ok(text.map(name::Name::from)),
        }
    }

    fn number(&self, field: &str, max: u64) -> Result<Option<u64>, answer::Whole> {
        let Some(text) = self.text(field)? else {
            return Ok(None);
        };
        let number = text.parse().ok().filter(|n| *n <= max);
        number
            .map(Some)
            .ok_or_else(|| unusable(field, &format!("a whole number up to {max}")))
    }
}

async fn collect(body: body::Incoming) -> Result<Bytes, answer::Whole> {
    let limited = Limited::new(body, MAX_BODY_BYTES).collect();
    let Ok(read) = tokio::time::timeout(BODY_WAIT, limited).await else {
        return Err(bad(
            408,
            "body",
            "the body did not come within 10 s; send it at once",
        ));
    };
    let limit = format!("the body is cut or larger than {MAX_BODY_BYTES} bytes; send a whole one");
    read.map(http_body_util::Collected::to_bytes)
        .map_err(|_| bad(413, "body", &limit))
}

fn fingerprint(path: &str, body: &[u8]) -> u64 {
    let seed = twox_hash::XxHash64::oneshot(0, path.as_bytes());
    twox_hash::XxHash64::oneshot(seed, body)
}

fn unusable(field: &str, expected: &str) -> answer::Whole {
    bad(
        400,
        "header",
        &format!("header {field} cannot be used; give {expected}"),
    )
}

fn bad(status: u16, error: &str, message: &str) -> answer::Whole {
    answer::Whole::error(status, error, message, verdict::Verdict::NotRun)
}
