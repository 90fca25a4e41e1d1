//! The calls of the object API.

use super::objects;
use super::state;
use crate::body;
use crate::reply;
use crate::request;

/// Reads an object.
pub(super) fn read(platform: &state::Platform, key: &str) -> reply::Response {
    match platform.lock().objects.read(key) {
        Some((version, content)) => {
            let mut response = http::Response::new(body::Body::whole(content));
            tag(&mut response, version);
            response
        }
        None => reply::missing(),
    }
}

/// Writes an object under a condition.
pub(super) fn write(
    platform: &state::Platform,
    request: &request::Request,
    key: &str,
) -> reply::Response {
    let condition = match condition(request) {
        Ok(condition) => condition,
        Err(response) => return *response,
    };
    let written = platform
        .lock()
        .objects
        .write(key, condition, request.body().clone());
    match written {
        Ok(version) => {
            platform.wake();
            let mut response = reply::done();
            tag(&mut response, version);
            response
        }
        Err(refusal) => refuse(refusal),
    }
}

/// Deletes an object under a condition.
pub(super) fn delete(
    platform: &state::Platform,
    request: &request::Request,
    key: &str,
) -> reply::Response {
    let condition = match condition(request) {
        Ok(condition) => condition,
        Err(response) => return *response,
    };
    let deleted = platform.lock().objects.delete(key, condition);
    match deleted {
        Ok(()) => {
            platform.wake();
            reply::done()
        }
        Err(refusal) => refuse(refusal),
    }
}

/// Lists the objects under a prefix.
pub(super) fn list(platform: &state::Platform, request: &request::Request) -> reply::Response {
    let prefix = request::query(request, "prefix");
    reply::json(http::StatusCode::OK, &platform.lock().objects.list(&prefix))
}

/// Waits for a change under a prefix.
pub(super) async fn watch(
    platform: &state::Platform,
    request: &request::Request,
) -> reply::Response {
    let prefix = request::query(request, "prefix");
    let since = match request::query_number(request, "since", 0) {
        Ok(since) => since,
        Err(response) => return *response,
    };
    let page = || {
        let listing = platform.lock().objects.changed(&prefix, since);
        (!listing.objects.is_empty(), listing)
    };
    platform.wait(request, page).await
}

fn condition(request: &request::Request) -> Result<objects::Condition, Box<reply::Response>> {
    let version = request::header(request, "if-match");
    if request::header(request, "if-none-match") == "*" {
        return Ok(objects::Condition::Absent);
    }
    if version.is_empty() {
        let status = http::StatusCode::PRECONDITION_REQUIRED;
        return Err(Box::new(reply::error(
            status,
            "give if-match or if-none-match: *",
        )));
    }
    let bad = |_| {
        Box::new(reply::bad(format!(
            "if-match: {version} is not a quoted version"
        )))
    };
    version
        .trim_matches('"')
        .parse()
        .map(objects::Condition::Version)
        .map_err(bad)
}

fn refuse(refusal: objects::Refusal) -> reply::Response {
    match refusal {
        objects::Refusal::Conflict(current) => conflict(current),
        objects::Refusal::Limit => {
            let status = http::StatusCode::INSUFFICIENT_STORAGE;
            reply::error(status, "too many objects or too long a key")
        }
    }
}

fn conflict(current: Option<u64>) -> reply::Response {
    let status = http::StatusCode::PRECONDITION_FAILED;
    let mut response = reply::error(status, "the condition does not hold");
    if let Some(version) = current {
        tag(&mut response, version);
    }
    response
}

fn tag(response: &mut reply::Response, version: u64) {
    reply::set(response, "etag", &format!("\"{version}\""));
}
