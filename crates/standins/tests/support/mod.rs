//! A small client for the contract tests.
#![allow(dead_code)]

use std::io;
use std::io::Read;
use std::net;
use std::thread;
use std::time;

use oxhttp::model;

/// How long a test waits for a condition.
pub const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// An answer with as much of its body as came.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: model::HeaderMap,
    pub body: String,
    /// Whether the body ended as HTTP demands.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// The token events as offset, token and attempt.
    pub fn tokens(&self) -> Vec<(u64, String, String)> {
        let events = self
            .body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("id: "));
        events.map(token).collect()
    }

    pub fn offsets(&self) -> Vec<u64> {
        self.tokens()
            .into_iter()
            .map(|(offset, _, _)| offset)
            .collect()
    }

    pub fn done(&self) -> Option<serde_json::Value> {
        let event = self
            .body
            .split("\n\n")
            .find_map(|e| e.strip_prefix("event: done\ndata: "));
        event.map(|data| serde_json::from_str(data).unwrap())
    }
}

/// Opens a request and returns its answer before the body is read.
pub fn open(
    address: net::SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<model::Response<model::Body>> {
    let mut request = model::Request::builder().method(method);
    request = request.uri(format!("http://{address}{target}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(model::Body::from(body.to_owned())).unwrap();
    oxhttp::Client::new()
        .with_global_timeout(PATIENCE)
        .request(request)
}

/// Sends a request and reads its answer.
pub fn send(
    address: net::SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<Answer> {
    open(address, method, target, headers, body).map(read)
}

/// Reads the body of an answer.
pub fn read(response: model::Response<model::Body>) -> Answer {
    let (head, mut rest) = response.into_parts();
    let mut body = Vec::new();
    let whole = rest.read_to_end(&mut body).is_ok();
    let body = String::from_utf8(body).unwrap();
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        whole,
    }
}

pub fn get(address: net::SocketAddr, target: &str) -> Answer {
    send(address, "GET", target, &[], "").unwrap()
}

pub fn post(address: net::SocketAddr, target: &str, body: &str) -> Answer {
    send(address, "POST", target, &[], body).unwrap()
}

pub fn set_faults(address: net::SocketAddr, faults: &str) {
    assert_eq!(post(address, "/standin/faults", faults).status, 200);
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let end = time::Instant::now() + PATIENCE;
    while !condition() {
        assert!(time::Instant::now() < end, "waited in vain for {what}");
        thread::sleep(time::Duration::from_millis(2));
    }
}

fn token(event: &str) -> (u64, String, String) {
    let (offset, data) = event.split_once("\ndata: ").unwrap();
    let data = serde_json::from_str::<serde_json::Value>(data).unwrap();
    let text = |name: &str| data[name].as_str().unwrap().to_owned();
    (offset.parse().unwrap(), text("token"), text("attempt"))
}
