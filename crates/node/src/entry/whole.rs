//! Attempts whose answer is relayed as a whole.

use guavausher_core::{effect, event, ledger, verdict};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body as _;
use hyper::{body, header};
use serde::de;

use crate::entry::{answer, exchange, patience, signal, worker};

/// The largest whole answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Content type of the answers of the product's own services.
const JSON: &str = "application/json";

/// The end of an attempt with a whole answer.
#[derive(Debug)]
pub struct End {
    /// What the reducer is told.
    pub signal: event::Signal,
    /// The answer, held until the reducer lets it go.
    pub answer: Option<answer::Whole>,
}

impl End {
    fn failed(verdict: verdict::Verdict, died: bool) -> Self {
        Self {
            signal: signal::failed(verdict, died, 0),
            answer: None,
        }
    }

    fn finished(whole: answer::Whole) -> Self {
        let kept = ledger::StoredResponse {
            status: whole.status,
            media: whole.media.clone(),
            body: String::from_utf8(whole.body.to_vec()).ok(),
        };
        let finish = event::Finish {
            kept: Some(kept),
            ..event::Finish::default()
        };
        Self {
            signal: event::Signal::Finished(finish),
            answer: Some(whole),
        }
    }
}

/// Runs an attempt at a plain service and collects its answer.
pub async fn run(
    worker: &worker::Worker,
    mut patience: patience::Patience<'_>,
    dispatch: effect::Dispatch,
) -> End {
    let front = &worker.front;
    let open = match worker.open(&mut patience, &dispatch).await {
        Ok(open) => open,
        Err(broken) => return End::failed(broken.verdict, broken.died),
    };
    if exchange::is_refusal(&open.response, front.writer, dispatch.attempt) {
        return End {
            signal: signal::refused(open),
            answer: None,
        };
    }
    let exchange::Open {
        sent,
        response,
        connection,
    } = open;
    let (head, body) = response.into_parts();
    let own = exchange::is_own(&head.headers, front.writer, dispatch.attempt);
    if head.status.is_server_error() || !own {
        return End::failed(sent.fail(), false);
    }
    let is_delimited = is_delimited(&head.headers, &body);
    let media = media(&head.headers);
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    drop(connection);
    let Ok(collected) = collected else {
        return End::failed(sent.fail(), true);
    };
    let body = collected.to_bytes();
    if !is_delimited && is_cut(media, &body) {
        return End::failed(sent.fail(), true);
    }
    let whole = answer::Whole {
        status: head.status.as_u16(),
        media: media.to_owned(),
        body,
        verdict: sent.finish(),
        retry_after: None,
    };
    End::finished(whole)
}

/// Returns `true` if the answer states where its body ends; any other one ends with the connection.
fn is_delimited(headers: &header::HeaderMap, body: &body::Incoming) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) || body.size_hint().exact().is_some()
}

fn media(headers: &header::HeaderMap) -> &str {
    let media = headers.get(header::CONTENT_TYPE);
    media.and_then(|m| m.to_str().ok()).unwrap_or(JSON)
}

/// Returns `true` if a body is JSON and stops short of its end.
fn is_cut(media: &str, body: &[u8]) -> bool {
    let kind = media.split(';').next().unwrap_or_default().trim();
    let is_json = kind.eq_ignore_ascii_case(JSON);
    is_json && serde_json::from_slice::<de::IgnoredAny>(body).is_err()
}
