//! One call to the platform over HTTP, mapped to its typed reply.

use std::io;
use std::io::Read;
use std::net;
use std::sync;
use std::time;

use guavausher_core::name;
use guavausher_core::store;
use guavausher_core::verdict;
use guavausher_wire::json;
use oxhttp::model;
use oxhttp::model::header;
use serde::de;

use crate::store::{Options, protocol};

/// Largest accepted body of a listing in bytes.
const MAX_LISTING_BYTES: usize = 4 * store::MAX_BODY_BYTES;
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// A call with less time left is not sent, as its outcome would only be unclear.
const MIN_LEFT: time::Duration = time::Duration::from_millis(20);

const NOT_RUN: store::Reply = store::Reply::Failed(verdict::Verdict::NotRun);
const UNCLEAR: store::Reply = store::Reply::Failed(verdict::Verdict::MayHaveRun);

/// Where and how calls are sent; each call opens a connection of its own.
#[derive(Debug)]
pub struct Connection {
    address: net::SocketAddr,
    wait: time::Duration,
}

impl Connection {
    /// Sets up calls with these options.
    pub const fn new(options: &Options) -> Self {
        Self {
            address: options.address,
            wait: options.wait,
        }
    }

    /// Runs one call; one whose deadline is too near is not sent.
    pub fn call(&self, call: &store::Call, deadline: time::Instant) -> store::Reply {
        if !key_of(call).is_none_or(is_key) {
            return NOT_RUN;
        }
        match call {
            store::Call::Read { key } => self.read(key, deadline),
            store::Call::Write {
                key,
                expected,
                body,
            } => self.write(key, *expected, body, deadline),
            store::Call::Delete { key, expected } => self.delete(key, *expected, deadline),
            store::Call::List { prefix } => {
                self.list(&format!("/objects?prefix={prefix}"), deadline)
            }
            store::Call::Watch { prefix, since } => {
                let wait = self.wait.as_millis();
                let path = format!("/watch?prefix={prefix}&since={since}&wait_ms={wait}");
                self.list(&path, deadline)
            }
            store::Call::Instances => self.instances(deadline),
            store::Call::Notices { since } => self.notices(*since, deadline),
        }
    }

    fn read(&self, key: &str, deadline: time::Instant) -> store::Reply {
        let Ok(mut response) = self.get(&format!("/objects/{key}"), deadline) else {
            return NOT_RUN;
        };
        if response.status() == model::StatusCode::NOT_FOUND {
            return store::Reply::Missing;
        }
        let version = version_of(&response);
        let body = body_of(&mut response, store::MAX_BODY_BYTES, deadline);
        match (response.status(), version, body) {
            (model::StatusCode::OK, Some(version), Ok(body)) => {
                store::Reply::Found(store::Object {
                    version,
                    body: sync::Arc::from(body),
                })
            }
            _ => NOT_RUN,
        }
    }

    fn write(
        &self,
        key: &str,
        expected: Option<store::Version>,
        body: &[u8],
        deadline: time::Instant,
    ) -> store::Reply {
        if body.len() > store::MAX_BODY_BYTES {
            return NOT_RUN;
        }
        let request = self.request(model::Method::PUT, &format!("/objects/{key}"));
        let request = match expected {
            Some(version) => request.header(header::IF_MATCH, format!("\"{version}\"")),
            None => request.header(header::IF_NONE_MATCH, "*"),
        };
        change(request.body(model::Body::from(body.to_vec())), deadline)
    }

    fn delete(&self, key: &str, expected: store::Version, deadline: time::Instant) -> store::Reply {
        let request = self
            .request(model::Method::DELETE, &format!("/objects/{key}"))
            .header(header::IF_MATCH, format!("\"{expected}\""));
        change(request.body(model::Body::empty()), deadline)
    }

    fn list(&self, path: &str, deadline: time::Instant) -> store::Reply {
        self.json(path, deadline)
            .map_or(NOT_RUN, |listing: protocol::Listing| store::Reply::Listed {
                revision: listing.revision,
                objects: listing.objects,
            })
    }

    fn instances(&self, deadline: time::Instant) -> store::Reply {
        self.json("/instances", deadline)
            .map_or(NOT_RUN, |list: protocol::Instances| {
                store::Reply::Instances {
                    revision: list.revision,
                    instances: list.instances,
                }
            })
    }

    fn notices(&self, since: u64, deadline: time::Instant) -> store::Reply {
        let wait = self.wait.as_millis();
        let path = format!("/cloud/notices?since={since}&wait_ms={wait}");
        self.json(&path, deadline)
            .map_or(NOT_RUN, |list: protocol::Notices| store::Reply::Notices {
                next: list.next,
                notices: list.notices,
            })
    }

    fn json<T: de::DeserializeOwned>(&self, path: &str, deadline: time::Instant) -> io::Result<T> {
        let mut response = self.get(path, deadline)?;
        if response.status() != model::StatusCode::OK {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let body = body_of(&mut response, MAX_LISTING_BYTES, deadline)?;
        let parsed = serde_json::from_slice(&body);
        Ok(parsed.or_else(|_| serde_json::from_slice(&json::repair(&body)))?)
    }

    fn get(&self, path: &str, deadline: time::Instant) -> io::Result<model::Response<model::Body>> {
        let request = self
            .request(model::Method::GET, path)
            .body(model::Body::empty())
            .map_err(io::Error::other)?;
        let client = client(deadline).ok_or(io::ErrorKind::TimedOut)?;
        client.request(request)
    }

    fn request(&self, method: model::Method, path: &str) -> model::request::Builder {
        model::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
    }
}

fn key_of(call: &store::Call) -> Option<&name::Name> {
    match call {
        store::Call::Read { key }
        | store::Call::Write { key, .. }
        | store::Call::Delete { key, .. } => Some(key),
        store::Call::List { prefix } | store::Call::Watch { prefix, .. } => Some(prefix),
        store::Call::Instances | store::Call::Notices { .. } => None,
    }
}

/// Tells whether a key can stand in a path or query as it is.
fn is_key(key: &name::Name) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '/' | '_' | '~');
    key.len() <= name::MAX_BYTES && key.chars().all(plain)
}

/// Returns a client that gives up at the deadline, or `None` if that is too near.
fn client(deadline: time::Instant) -> Option<oxhttp::Client> {
    let left = deadline.saturating_duration_since(time::Instant::now());
    let left = Some(left).filter(|left| *left >= MIN_LEFT)?;
    Some(oxhttp::Client::new().with_global_timeout(left))
}

/// Sends a call that changes an object.
fn change(
    request: Result<model::Request<model::Body>, model::Error>,
    deadline: time::Instant,
) -> store::Reply {
    let (Ok(request), Some(client)) = (request, client(deadline)) else {
        return NOT_RUN;
    };
    let deleted = request.method() == model::Method::DELETE;
    match client.request(request) {
        Ok(response) if deleted && response.status().is_success() => store::Reply::Written(0),
        Ok(response) => written(&response),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => NOT_RUN,
        Err(_) => UNCLEAR,
    }
}

fn written(response: &model::Response<model::Body>) -> store::Reply {
    match (response.status(), version_of(response)) {
        (model::StatusCode::OK | model::StatusCode::CREATED, Some(version)) => {
            store::Reply::Written(version)
        }
        (model::StatusCode::PRECONDITION_FAILED, _) => store::Reply::Conflict,
        (
            model::StatusCode::BAD_REQUEST
            | model::StatusCode::PAYLOAD_TOO_LARGE
            | model::StatusCode::TOO_MANY_REQUESTS,
            _,
        ) => NOT_RUN,
        _ => UNCLEAR,
    }
}

fn version_of(response: &model::Response<model::Body>) -> Option<store::Version> {
    let tag = response.headers().get(header::ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

/// Reads a body up to a size; a slow one is given up soon after the deadline.
fn body_of(
    response: &mut model::Response<model::Body>,
    limit: usize,
    deadline: time::Instant,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        let read = response.body_mut().read(&mut chunk)?;
        if read == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..read]);
        if body.len() > limit {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if time::Instant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}
