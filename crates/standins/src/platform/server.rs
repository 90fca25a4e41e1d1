//! The platform's HTTP interface.

use std::io;
use std::sync;

use hyper::body;

use super::config;
use super::fleet;
use super::state;
use super::store;
use crate::faults;
use crate::handle;
use crate::reply;
use crate::request;
use crate::server;

/// Starts a platform.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(config: config::Config) -> io::Result<handle::Handle> {
    let server = server::Server::bind(config.listen, config.threads)?;
    let platform = sync::Arc::new(state::Platform::new(config));
    server.run(move |request| respond(platform.clone(), request))
}

async fn respond(
    platform: sync::Arc<state::Platform>,
    request: http::Request<body::Incoming>,
) -> reply::Outcome {
    let control = request.uri().path().starts_with("/standin/");
    if !control {
        count(&platform, &request);
        platform.hold().await;
        if platform.switch.get().reset_at == Some(faults::ResetAt::BeforeBody) {
            return Err(reply::cut());
        }
    }
    let request = match request::read(request).await {
        Ok(request) => request,
        Err(response) => return Ok(*response),
    };
    if control {
        return Ok(steer(&platform, &request));
    }
    let faults = platform.switch.get();
    if faults.fail || platform.chance(faults.error_rate) {
        return Ok(reply::failed());
    }
    let response = route(&platform, &request).await;
    platform.switch.thaw().await;
    let lost = *request.method() != http::Method::GET && platform.switch.lose();
    if lost || platform.switch.get().reset_at.is_some() {
        return Err(reply::cut());
    }
    Ok(response)
}

fn count(platform: &state::Platform, request: &http::Request<body::Incoming>) {
    let mut state = platform.lock();
    let path = request.uri().path();
    if let Some(counter) = state.calls.counter(request.method().as_str(), path) {
        *counter += 1;
    }
}

fn steer(platform: &state::Platform, request: &request::Request) -> reply::Response {
    match request.uri().path() {
        "/standin/faults" => platform.switch.respond(request),
        "/standin/calls" => reply::json(http::StatusCode::OK, &platform.lock().calls),
        "/standin/notices" => fleet::notify(platform, request),
        _ => reply::missing(),
    }
}

async fn route(platform: &state::Platform, request: &request::Request) -> reply::Response {
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/objects") => store::list(platform, request),
        ("GET", "/watch") => store::watch(platform, request).await,
        ("GET", "/instances") => fleet::list(platform),
        ("POST", "/instances") => fleet::register(platform, request),
        ("GET", "/cloud/notices") => fleet::notices(platform, request).await,
        ("GET", "/cloud/instances") => fleet::rented(platform),
        ("POST", "/cloud/instances") => fleet::rent(platform, request),
        _ => named(platform, request),
    }
}

fn named(platform: &state::Platform, request: &request::Request) -> reply::Response {
    let path = request.uri().path();
    let bases = ["/objects/", "/instances/", "/cloud/instances/", "/weights/"];
    let split = |base| {
        path.strip_prefix(base)
            .map(|name| (base, request::decode(name)))
    };
    let Some((base, name)) = bases.into_iter().find_map(split) else {
        return reply::missing();
    };
    match (request.method().as_str(), base) {
        ("GET", "/objects/") => store::read(platform, &name),
        ("PUT", "/objects/") => store::write(platform, request, &name),
        ("DELETE", "/objects/") => store::delete(platform, request, &name),
        ("DELETE", "/instances/") => fleet::remove(platform, &name),
        ("DELETE", "/cloud/instances/") => fleet::release(platform, &name),
        ("GET", "/weights/") => fleet::weights(platform, request),
        _ => reply::missing(),
    }
}
