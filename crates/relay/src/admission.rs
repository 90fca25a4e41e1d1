//! Admission of requests: their route, their workspace and the facts that the reducer needs.

use std::hash::Hasher;
use std::net;
use std::time::Duration;

use guavausher_core::name;
use guavausher_core::refusal;
use guavausher_core::relay::{manifest, memory, request};
use guavausher_core::time;

use crate::body_reader;
use crate::clock;
use crate::forwarding;
use crate::head;
use crate::request_reader;
use crate::runtime;

/// Upper limit of the wait that a caller may state in the deadline header.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Longest time to read a body whose route is not known.
const MAX_BODY_TIME: Duration = Duration::from_secs(60);

/// Returns the route and workspace of a request, or why it is refused.
pub(crate) fn find(
    runtime: &runtime::Runtime,
    incoming: &request_reader::Request,
) -> Result<manifest::Admission, refusal::Refusal> {
    let state = runtime.state.borrow();
    let at = incoming.arrived.after(forwarding::DEFAULT_RETRY_DELAY);
    let stopping = refusal::Refusal::not_run(refusal::Code::Stopping, Some(at));
    // The end of its body may have come long after its head.
    let now = clock::now();
    if now >= runtime.closing_time() {
        return Err(stopping);
    }
    let Some(manifest) = &state.manifest else {
        return Err(refusal::Refusal::not_run(refusal::Code::NotReady, Some(at)));
    };
    let host = host_name(incoming.head.get("host").unwrap_or(""));
    let path = incoming.target.split(['?', '#']).next().unwrap_or("");
    let key = incoming.head.get(runtime.protocol.key);
    let admission = manifest.admit(&host, path, key).map_err(|denial| {
        let code = match denial {
            manifest::Denial::NoRoute => refusal::Code::NoRoute,
            manifest::Denial::UnknownKey => refusal::Code::UnknownKey,
        };
        refusal::Refusal::not_run(code, None)
    })?;
    let shutdown = runtime.shutdown();
    match shutdown.is_none_or(|shutdown| shutdown.accepts(now, &admission.route)) {
        true => Ok(admission),
        false => Err(stopping),
    }
}

/// Returns who sends a body, and until when it may be read: a request whose time has passed would be
/// refused.
pub(crate) fn source(
    runtime: &runtime::Runtime,
    address: net::IpAddr,
    head: &head::Head,
    target: &str,
    arrived: time::Time,
) -> body_reader::Source {
    let state = runtime.state.borrow();
    let host = host_name(head.get("host").unwrap_or(""));
    let path = target.split(['?', '#']).next().unwrap_or("");
    let key = head.get(runtime.protocol.key);
    let manifest = state.manifest.as_ref();
    let admission = manifest.and_then(|manifest| manifest.admit(&host, path, key).ok());
    let timeout = admission
        .as_ref()
        .map_or(MAX_BODY_TIME, |a| a.route.timeout);
    body_reader::Source {
        sender: memory::Sender {
            address,
            workspace: admission.and_then(|a| a.workspace).map(|w| w.name),
        },
        deadline: arrived.after(timeout),
    }
}

fn host_name(value: &str) -> String {
    let host = value
        .rsplit_once(':')
        .filter(|(_, port)| !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit()));
    host.map_or(value, |(host, _)| host).to_ascii_lowercase()
}

/// Returns a request as the reducer handles it.
pub(crate) fn build_request(
    runtime: &runtime::Runtime,
    incoming: &request_reader::Request,
    admission: manifest::Admission,
    id: u64,
) -> request::Request {
    let names = &runtime.protocol;
    let shape = (names.request_size)(&incoming.head);
    let trace = name::Name::from(incoming.head.get(names.id).unwrap_or(""));
    let route = admission.route;
    let hash = hash_parts(&[trace.as_bytes()]);
    let service = route.service(hash).cloned().unwrap_or_default();
    let tokens = shape
        .prompt
        .map(|p| p.saturating_add(shape.output.unwrap_or(0)));
    let workspace = admission.workspace;
    let caller = workspace.as_ref().map(|w| w.name.clone());
    request::Request {
        id,
        trace,
        service,
        units: workspace.as_ref().map_or(0, |w| w.units(tokens)),
        priority: workspace
            .as_ref()
            .and_then(|w| w.priority)
            .unwrap_or(route.priority),
        workspace: workspace.map(|w| w.name),
        arrived: incoming.arrived,
        goal: incoming.arrived.after(route.goal),
        deadline: deadline(incoming, route.timeout, names.deadline),
        prompt: shape.prompt.unwrap_or(0),
        output: shape.output.unwrap_or(0),
        parts: shape.parts,
        fingerprint: fingerprint(incoming, &caller.unwrap_or_default()),
        route,
    }
}

fn deadline(incoming: &request_reader::Request, timeout: Duration, header: &str) -> time::Time {
    let stated = incoming
        .head
        .get(header)
        .and_then(|value| value.parse().ok());
    let stated = stated.map_or(MAX_WAIT, Duration::from_millis);
    incoming.arrived.after(stated.min(timeout))
}

/// Identifies equal requests of a workspace by their method, target and body.
fn fingerprint(incoming: &request_reader::Request, workspace: &str) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for part in [&incoming.method, &incoming.target, workspace] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    let body = incoming.body();
    hasher.write_u64(body.len() as u64);
    for part in body.parts() {
        hasher.write(part);
    }
    hasher.finish()
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}
