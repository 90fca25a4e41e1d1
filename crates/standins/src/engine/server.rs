//! The engine's HTTP interface.

use std::io;
use std::sync;
use std::time;

use hyper::body;
use tokio::sync::mpsc;

use super::ask;
use super::config;
use super::kv;
use super::orders;
use super::slot;
use super::state;
use super::stream;
use crate::body as reply_body;
use crate::faults;
use crate::handle;
use crate::reply;
use crate::request;
use crate::server;

/// Pieces of one answer that may wait for a slow caller.
const MAX_PIECES: usize = 64;

/// The word that crashes an engine that is told to crash on poison.
const POISON: &[u8] = b"CRASH";

/// Path of the KV cache of one stream.
const KV_PATH: &str = "/kv/";

/// Path of one running stream.
const STREAM_PATH: &str = "/v1/streams/";

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(config: config::Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, config.threads)?;
    let engine = sync::Arc::new(state::Engine::new(config, server.phase()));
    server.run(move |request| respond(engine.clone(), request))
}

async fn respond(
    engine: sync::Arc<state::Engine>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    let control = request.uri().path().starts_with("/standin/");
    if !control {
        engine.switch.hold().await;
        if engine.switch.get().reset_at == Some(faults::ResetAt::BeforeBody) {
            return Err(reply::cut());
        }
    }
    let request = match request::read(request).await {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    if control {
        return Ok(steer(&engine, &request));
    }
    if engine.switch.get().fail {
        return Ok(reply::failed());
    }
    route(engine, request).await
}

fn steer(engine: &state::Engine, request: &request::Request) -> reply::Response {
    match request.uri().path() {
        "/standin/faults" => {
            let response = engine.switch.respond(request);
            refuse_waiting(engine);
            response
        }
        "/standin/runs" => reply::json(http::StatusCode::OK, &engine.lock().runs),
        "/standin/orders" => reply::json(http::StatusCode::OK, &engine.lock().orders.log()),
        _ => reply::missing(),
    }
}

async fn route(engine: sync::Arc<state::Engine>, request: request::Request) -> reply::Outcome {
    let path = request.uri().path();
    let response = match (request.method().as_str(), path) {
        ("GET", "/load") => reply::json(http::StatusCode::OK, &engine.load()),
        ("GET", "/cache/events") => events(&engine, &request),
        ("POST", "/orders") => order(&engine, &request),
        ("POST", "/kv/import") => import(&engine, &request),
        ("GET", _) if path.starts_with(KV_PATH) => export(&engine, &path[KV_PATH.len()..]),
        ("DELETE", _) if path.starts_with(STREAM_PATH) => {
            cancel(&engine, &path[STREAM_PATH.len()..])
        }
        ("POST", _) if path.starts_with("/v1/") => return run(engine, request).await,
        _ => reply::missing(),
    };
    Ok(response)
}

async fn run(engine: sync::Arc<state::Engine>, request: request::Request) -> reply::Outcome {
    let ask = match ask::Ask::parse(&request) {
        Ok(ask) => ask,
        Err(response) => return Ok(*response),
    };
    let slot = match slot::Slot::wait(&engine, &ask).await {
        Ok(slot) => slot,
        Err(message) => return Ok(reply::refused(message)),
    };
    if engine.config.crash_on_poison && contains(request.body(), POISON) {
        engine.crash();
        return Err(reply::cut());
    }
    if engine.switch.lose() {
        return Err(reply::cut());
    }
    if engine.chance(engine.switch.get().error_rate) {
        let status = http::StatusCode::INTERNAL_SERVER_ERROR;
        return Ok(reply::error(status, "told to answer with an error"));
    }
    Ok(stream(engine, ask, slot))
}

fn stream(engine: sync::Arc<state::Engine>, ask: ask::Ask, slot: slot::Slot) -> reply::Response {
    let other = if engine.switch.get().wrong_attempt {
        "other-"
    } else {
        ""
    };
    let attempt = format!("{other}{}", slot.attempt());
    let plan = engine.plan(ask, slot.attempt());
    let (sender, pieces) = mpsc::channel(MAX_PIECES);
    let mut response = http::Response::new(reply_body::Body::Pieces(pieces));
    reply::set(&mut response, "content-type", "text/event-stream");
    reply::set(&mut response, "cache-control", "no-cache");
    reply::set(&mut response, "x-attempt-id", &attempt);
    reply::set(&mut response, "x-load", &engine.load().to_string());
    reply::set(&mut response, "x-version", engine.lock().orders.version());
    tokio::spawn(stream::Stream::new(engine, plan, sender, slot).run());
    response
}

fn refuse_waiting(engine: &state::Engine) {
    let mut state = engine.lock();
    if engine.switch.get().leave {
        state.batch.clear();
    }
    engine.note(&mut state);
}

fn events(engine: &state::Engine, request: &request::Request) -> reply::Response {
    let lag = time::Duration::from_millis(engine.switch.get().cache_lag_ms);
    match request::query_number(request, "since", 0) {
        Ok(since) => reply::json(
            http::StatusCode::OK,
            &engine.lock().cache.events(since, lag),
        ),
        Err(response) => *response,
    }
}

fn order(engine: &state::Engine, request: &request::Request) -> reply::Response {
    let fenced = match request::json::<orders::Fenced>(request) {
        Ok(fenced) => fenced,
        Err(response) => return *response,
    };
    let mut state = engine.lock();
    let taken = state.orders.take(fenced);
    engine.note(&mut state);
    match taken {
        Ok(()) => reply::done(),
        Err(fence) => {
            let body = serde_json::json!({ "fence": fence });
            reply::json(http::StatusCode::CONFLICT, &body)
        }
    }
}

fn export(engine: &state::Engine, attempt: &str) -> reply::Response {
    match engine.lock().kv.export(attempt) {
        Some(export) => reply::json(http::StatusCode::OK, export),
        None => reply::missing(),
    }
}

fn import(engine: &state::Engine, request: &request::Request) -> reply::Response {
    match request::json::<kv::Export>(request) {
        Ok(export) => {
            engine.lock().kv.import(&export);
            reply::done()
        }
        Err(response) => *response,
    }
}

fn cancel(engine: &state::Engine, attempt: &str) -> reply::Response {
    match engine.lock().streams.get(attempt) {
        Some(cancel) => {
            cancel.notify_one();
            reply::done()
        }
        None => reply::missing(),
    }
}

fn contains(body: &[u8], word: &[u8]) -> bool {
    body.windows(word.len()).any(|window| window == word)
}
