//! One request and its answer.

use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body;

use crate::event;
use crate::measure;
use crate::plan;
use crate::pool;
use crate::scenario;

/// A request with what is needed to measure it.
#[derive(Debug)]
pub struct Call {
    /// Intended send time.
    pub intended: time::Instant,
    /// Tokens that were asked for; `None` if the answer is no stream.
    pub tokens: Option<u64>,
    /// The request.
    pub request: hyper::Request<Full<Bytes>>,
}

impl Call {
    /// Builds the request of a shot; `run` makes its key unique among runs.
    ///
    /// # Errors
    ///
    /// Fails if the path or a header of the kind can't be sent.
    pub fn new(
        kind: &scenario::Kind,
        shot: &plan::Shot,
        pool: &pool::Pool,
        run: u64,
        start: time::Instant,
    ) -> Result<Self, hyper::http::Error> {
        let mut request =
            hyper::Request::post(&kind.path).header("host", pool.target().to_string());
        request = request.header("content-type", "application/json");
        if !kind.workspace.is_empty() {
            request = request.header("x-workspace", &kind.workspace);
        }
        if kind.key {
            request = request.header("idempotency-key", format!("load-{run}-{}", shot.serial));
        }
        let prompt = plan::prompt(kind, shot.kind, shot.seed);
        let body = match kind.max_tokens {
            Some(max_tokens) => serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens }),
            None => serde_json::json!({ "prompt": prompt }),
        };
        let request = request.body(Full::from(body.to_string()))?;
        Ok(Self {
            intended: start + shot.at,
            tokens: kind.max_tokens,
            request,
        })
    }

    /// Sends the request and measures its answer.
    pub async fn run(self, pool: &pool::Pool, timeout: time::Duration) -> measure::Measure {
        let mut measure = measure::Measure::new();
        let end = tokio::time::Instant::from_std(self.intended + timeout);
        tokio::time::timeout_at(end, self.exchange(pool, &mut measure))
            .await
            .ok();
        measure
    }

    async fn exchange(self, pool: &pool::Pool, measure: &mut measure::Measure) {
        let Ok((sender, response)) = pool.send(self.request).await else {
            return;
        };
        let (head, body) = response.into_parts();
        let whole = match self.tokens {
            Some(tokens) if head.status.is_success() => {
                read_stream(body, tokens, self.intended, measure).await
            }
            _ => read_answer(head, body, self.intended, measure).await,
        };
        if whole {
            pool.keep(sender);
        }
    }
}

/// Reads an answer that is no stream; returns whether its body was whole.
async fn read_answer(
    head: hyper::http::response::Parts,
    body: body::Incoming,
    intended: time::Instant,
    measure: &mut measure::Measure,
) -> bool {
    if head
        .headers
        .get("x-verdict")
        .is_some_and(|verdict| verdict == "not-run")
    {
        measure.end = measure::End::Refused;
    }
    let whole = drain(body).await;
    if head.status.is_success() && whole {
        measure.end = measure::End::Ok;
        measure.answer = Some(intended.elapsed());
    }
    whole
}

/// Reads a token stream; returns whether its body was whole.
async fn read_stream(
    mut body: body::Incoming,
    tokens: u64,
    intended: time::Instant,
    measure: &mut measure::Measure,
) -> bool {
    measure.end = measure::End::Truncated;
    let mut parser = event::Parser::default();
    loop {
        let bytes = match body.frame().await {
            None => return true,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let now = time::Instant::now();
        let take = |event| take(event, tokens, now, intended, measure);
        if !parser.feed(&bytes, take) {
            return false;
        }
    }
}

fn take(
    event: event::Event,
    tokens: u64,
    now: time::Instant,
    intended: time::Instant,
    measure: &mut measure::Measure,
) {
    match event {
        event::Event::Token(offset) => {
            measure
                .first
                .get_or_insert_with(|| now.duration_since(intended));
            measure.progress.token(offset, now);
        }
        event::Event::Done => {
            measure.end = measure::End::Ok;
            measure.progress.finish(tokens);
        }
        event::Event::Other => {}
    }
}

async fn drain(mut body: body::Incoming) -> bool {
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}
