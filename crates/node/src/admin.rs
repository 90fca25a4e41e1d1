//! The management address: liveness, readiness and metrics over HTTP.

mod readiness;

use std::io;
use std::net;
use std::time;

use oxhttp::model;
use prometheus_client::encoding::text;
use prometheus_client::registry;

pub use readiness::Readiness;

/// Connections that the management address serves at once.
pub const MAX_CONNECTIONS: usize = 16;

/// Longest wait for a management client to send or take bytes.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(5);

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `/livez`, `/readyz` and `/metrics` from threads of its own until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn serve(
    address: net::SocketAddr,
    readiness: Readiness,
    metrics: registry::Registry,
) -> io::Result<()> {
    oxhttp::Server::new(move |request| answer(request, &readiness, &metrics))
        .bind(address)
        .with_global_timeout(TIMEOUT)
        .with_max_concurrent_connections(MAX_CONNECTIONS)
        .spawn()?;
    Ok(())
}

fn answer(
    request: &model::Request<model::Body>,
    readiness: &Readiness,
    metrics: &registry::Registry,
) -> model::Response<model::Body> {
    match request.uri().path() {
        "/livez" => plain(model::StatusCode::OK, "alive"),
        "/readyz" => match readiness.reason() {
            None => plain(model::StatusCode::OK, "ready"),
            Some(reason) => plain(model::StatusCode::SERVICE_UNAVAILABLE, reason),
        },
        "/metrics" => exposition(metrics),
        _ => plain(
            model::StatusCode::NOT_FOUND,
            "unknown path: use /livez, /readyz or /metrics",
        ),
    }
}

fn exposition(metrics: &registry::Registry) -> model::Response<model::Body> {
    let mut body = String::new();
    if text::encode(&mut body, metrics).is_err() {
        return plain(
            model::StatusCode::INTERNAL_SERVER_ERROR,
            "metrics cannot be encoded",
        );
    }
    let mut response = model::Response::new(model::Body::from(body));
    let kind = model::HeaderValue::from_static(METRICS_TYPE);
    response
        .headers_mut()
        .insert(model::header::CONTENT_TYPE, kind);
    response
}

fn plain(status: model::StatusCode, message: &'static str) -> model::Response<model::Body> {
    let mut response = model::Response::new(model::Body::from(format!("{message}\n")));
    *response.status_mut() = status;
    response
}
