//! The platform's object API and instance list over HTTP.

use std::io;
use std::io::Read;
use std::net;
use std::sync;
use std::time;

use oxhttp::model;

use guavausher_core::exchange;
use guavausher_core::store;

/// The largest accepted list in bytes.
pub const MAX_LIST_BYTES: u64 = 16 << 20;

/// How long one call may take beyond a watch's own wait.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long a watch waits for a change.
pub const WATCH_WAIT: time::Duration = time::Duration::from_secs(2);

/// The platform at one address.
#[derive(Clone, Debug)]
pub struct Platform {
    address: net::SocketAddr,
}

#[derive(serde::Deserialize)]
struct Listing {
    revision: u64,
    objects: Vec<store::Entry>,
}

#[derive(serde::Deserialize)]
struct Instances {
    revision: u64,
    instances: Vec<store::Instance>,
}

impl Platform {
    /// Names the platform; no connection is opened.
    pub const fn new(address: net::SocketAddr) -> Self {
        Self { address }
    }

    /// Reads an object, without a retry.
    pub fn read(&self, key: &str) -> store::Reply {
        reply(self.try_read(key))
    }

    /// Writes an object if `expected` is still its version, without a retry.
    pub fn write(&self, key: &str, expected: Option<store::Version>, body: &[u8]) -> store::Reply {
        reply(self.try_write(key, expected, body))
    }

    /// Removes an object if `expected` is still its version, without a retry.
    pub fn remove(&self, key: &str, expected: store::Version) -> store::Reply {
        reply(self.try_remove(key, expected))
    }

    /// Lists the objects under a key prefix, without a retry.
    pub fn list(&self, prefix: &str) -> store::Reply {
        reply(self.try_list(&format!("/objects?prefix={prefix}")))
    }

    /// Waits [`WATCH_WAIT`] at most for a change after a revision, without a retry.
    pub fn watch(&self, prefix: &str, since: u64) -> store::Reply {
        let wait = WATCH_WAIT.as_millis();
        reply(self.try_list(&format!(
            "/watch?prefix={prefix}&since={since}&wait_ms={wait}"
        )))
    }

    /// Lists the instances that the platform knows, without a retry.
    pub fn instances(&self) -> store::Reply {
        reply(self.try_instances())
    }

    fn try_read(&self, key: &str) -> io::Result<store::Reply> {
        let request = self.request(model::Method::GET, &format!("/objects/{key}"));
        let response = send(request, model::Body::empty(), CALL_TIMEOUT)?;
        match response.status() {
            model::StatusCode::OK => {
                let version = version(&response)?;
                let limit = u64::try_from(store::MAX_BODY_BYTES).unwrap_or(u64::MAX);
                let body = sync::Arc::from(body(response, limit)?);
                Ok(store::Reply::Found(store::Object { version, body }))
            }
            model::StatusCode::NOT_FOUND => Ok(store::Reply::Missing),
            status => Err(unexpected(status)),
        }
    }

    fn try_write(
        &self,
        key: &str,
        expected: Option<store::Version>,
        body: &[u8],
    ) -> io::Result<store::Reply> {
        let request = self.request(model::Method::PUT, &format!("/objects/{key}"));
        let request = match expected {
            Some(version) => request.header("if-match", format!("\"{version}\"")),
            None => request.header("if-none-match", "*"),
        };
        let response = send(request, model::Body::from(body.to_vec()), CALL_TIMEOUT)?;
        match response.status() {
            model::StatusCode::OK | model::StatusCode::CREATED => {
                version(&response).map(store::Reply::Written)
            }
            model::StatusCode::PRECONDITION_FAILED => Ok(store::Reply::Conflict),
            status => Err(unexpected(status)),
        }
    }

    fn try_remove(&self, key: &str, expected: store::Version) -> io::Result<store::Reply> {
        let request = self.request(model::Method::DELETE, &format!("/objects/{key}"));
        let request = request.header("if-match", format!("\"{expected}\""));
        let response = send(request, model::Body::empty(), CALL_TIMEOUT)?;
        match response.status() {
            model::StatusCode::OK | model::StatusCode::NO_CONTENT => Ok(store::Reply::Missing),
            model::StatusCode::PRECONDITION_FAILED => Ok(store::Reply::Conflict),
            status => Err(unexpected(status)),
        }
    }

    fn try_list(&self, path: &str) -> io::Result<store::Reply> {
        let request = self.request(model::Method::GET, path);
        let response = send(request, model::Body::empty(), CALL_TIMEOUT + WATCH_WAIT)?;
        if response.status() != model::StatusCode::OK {
            return Err(unexpected(response.status()));
        }
        let listing: Listing = serde_json::from_slice(&body(response, MAX_LIST_BYTES)?)?;
        Ok(store::Reply::Listed {
            revision: listing.revision,
            objects: listing.objects,
        })
    }

    fn try_instances(&self) -> io::Result<store::Reply> {
        let request = self.request(model::Method::GET, "/instances");
        let response = send(request, model::Body::empty(), CALL_TIMEOUT)?;
        if response.status() != model::StatusCode::OK {
            return Err(unexpected(response.status()));
        }
        let instances: Instances = serde_json::from_slice(&body(response, MAX_LIST_BYTES)?)?;
        Ok(store::Reply::Instances {
            revision: instances.revision,
            instances: instances.instances,
        })
    }

    fn request(&self, method: model::Method, path: &str) -> model::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        model::Request::builder().method(method).uri(uri)
    }
}

/// Turns a failure into a reply that leaves open whether a write took effect.
fn reply(answer: io::Result<store::Reply>) -> store::Reply {
    let exchange = exchange::Unsent::open().send();
    answer.unwrap_or_else(|_| store::Reply::Failed(exchange.fail()))
}

fn send(
    request: model::request::Builder,
    body: model::Body,
    timeout: time::Duration,
) -> io::Result<model::Response<model::Body>> {
    let request = request.body(body).map_err(io::Error::other)?;
    let client = oxhttp::Client::new().with_global_timeout(timeout);
    client.request(request)
}

fn version(response: &model::Response<model::Body>) -> io::Result<store::Version> {
    let tag = response.headers().get("etag");
    let text = tag.and_then(|tag| tag.to_str().ok()).unwrap_or_default();
    text.trim_matches('"').parse().map_err(io::Error::other)
}

fn body(response: model::Response<model::Body>, limit: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    response
        .into_body()
        .take(limit + 1)
        .read_to_end(&mut bytes)?;
    if u64::try_from(bytes.len()).is_ok_and(|len| len <= limit) {
        return Ok(bytes);
    }
    Err(io::Error::other("the answer is too large"))
}

fn unexpected(status: model::StatusCode) -> io::Error {
    io::Error::other(format!("unexpected status {status}"))
}
