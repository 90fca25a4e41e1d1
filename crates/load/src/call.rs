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

/// A request that is sent once, and again at another target if that can't be reached or the
/// stream is cut.
#[derive(Clone, Debug)]
pub struct Call {
    intended: time::Instant,
    deadline: time::Instant,
    target: usize,
    reconnects: u32,
    tokens: Option<u64>,
    path: String,
    workspace: String,
    key: Option<String>,
    body: Bytes,
}

impl Call {
    /// Builds the request of a shot; `run` makes its key unique among runs.
    pub fn new(
        scenario: &scenario::Scenario,
        shot: &plan::Shot,
        run: u64,
        start: time::Instant,
    ) -> Self {
        let kind = &scenario.requests[shot.kind];
        let prompt = plan::prompt(kind, shot.kind, shot.seed);
        let body = match kind.max_tokens {
            Some(max_tokens) => serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens }),
            None => serde_json::json!({ "prompt": prompt }),
        };
        let intended = start + shot.at;
        Self {
            intended,
            deadline: intended + time::Duration::from_secs(scenario.timeout),
            target: shot.target,
            reconnects: scenario.reconnects,
            tokens: kind.max_tokens,
            path: kind.path.clone(),
            workspace: kind.workspace.clone(),
            key: kind.key.then(|| format!("load-{run}-{}", shot.serial)),
            body: Bytes::from(body.to_string()),
        }
    }

    /// Sends the request and measures its answer.
    pub async fn run(self, pools: &[pool::Pool]) -> measure::Measure {
        let mut measure = measure::Measure::new();
        let deadline = tokio::time::Instant::from_std(self.deadline);
        tokio::time::timeout_at(deadline, self.exchange(pools, &mut measure))
            .await
            .ok();
        measure
    }

    async fn exchange(&self, pools: &[pool::Pool], measure: &mut measure::Measure) {
        for turn in 0..=self.reconnects as usize {
            let pool = &pools[(self.target + turn) % pools.len()];
            measure.reconnects += u64::from(turn > 0);
            self.attempt(pool, measure).await;
            if !matches!(
                measure.end,
                measure::End::Truncated | measure::End::Unreached
            ) {
                return;
            }
        }
    }

    async fn attempt(&self, pool: &pool::Pool, measure: &mut measure::Measure) {
        let Ok(request) = self.request(pool, measure.progress.last()) else {
            return;
        };
        let (sender, response) = match pool.send(request).await {
            Ok(exchange) => exchange,
            Err(error) => return measure.end = error.end(measure.end),
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

    fn request(
        &self,
        pool: &pool::Pool,
        last: Option<u64>,
    ) -> Result<hyper::Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = hyper::Request::post(&self.path)
            .header("host", pool.target().to_string())
            .header("content-type", "application/json");
        if !self.workspace.is_empty() {
            request = request.header("x-workspace", &self.workspace);
        }
        if let Some(key) = &self.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(last) = last {
            request = request.header("last-event-id", last);
        }
        request.body(Full::from(self.body.clone()))
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
