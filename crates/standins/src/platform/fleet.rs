//! The calls of instance list, cloud API and weight store.

use std::time;

use super::cloud;
use super::instances;
use super::state;
use crate::body;
use crate::reply;
use crate::request;

/// The most bytes that one read of weights returns.
const MAX_WEIGHT_BYTES: u64 = 16 << 20;

/// Lists the instances as they were before the lag.
pub(super) fn list(platform: &state::Platform) -> reply::Response {
    let lag = time::Duration::from_millis(platform.switch.get().list_lag_ms);
    reply::json(http::StatusCode::OK, &platform.lock().instances.list(lag))
}

/// Adds or replaces an instance.
pub(super) fn register(platform: &state::Platform, request: &request::Request) -> reply::Response {
    let instance = match request::json::<instances::Instance>(request) {
        Ok(instance) => instance,
        Err(response) => return *response,
    };
    if platform.lock().instances.register(instance) {
        return reply::done();
    }
    reply::error(http::StatusCode::INSUFFICIENT_STORAGE, "too many instances")
}

/// Removes an instance from the list.
pub(super) fn remove(platform: &state::Platform, name: &str) -> reply::Response {
    found(platform.lock().instances.remove(name))
}

/// Rents an instance.
pub(super) fn rent(platform: &state::Platform, request: &request::Request) -> reply::Response {
    let start = match request::json::<cloud::Start>(request) {
        Ok(start) => start,
        Err(response) => return *response,
    };
    let refused = platform.chance(platform.switch.get().refuse_rate);
    let name = if refused {
        None
    } else {
        platform.lock().cloud.start(start)
    };
    match name {
        Some(name) => reply::json(
            http::StatusCode::CREATED,
            &serde_json::json!({ "name": name }),
        ),
        None => reply::error(http::StatusCode::CONFLICT, "no such instance is free"),
    }
}

/// Returns the rented instances.
pub(super) fn rented(platform: &state::Platform) -> reply::Response {
    reply::json(http::StatusCode::OK, platform.lock().cloud.rented())
}

/// Gives an instance back and takes it off the list.
pub(super) fn release(platform: &state::Platform, name: &str) -> reply::Response {
    let mut state = platform.lock();
    state.instances.remove(name);
    found(state.cloud.stop(name))
}

/// Sends a notice.
pub(super) fn notify(platform: &state::Platform, request: &request::Request) -> reply::Response {
    match request::json::<cloud::Draft>(request) {
        Ok(draft) => {
            platform.lock().cloud.notify(draft);
            platform.wake();
            reply::done()
        }
        Err(response) => *response,
    }
}

/// Waits for notices.
pub(super) async fn notices(
    platform: &state::Platform,
    request: &request::Request,
) -> reply::Response {
    let since = match request::query_number(request, "since", 0) {
        Ok(since) => since,
        Err(response) => return *response,
    };
    let page = || {
        let page = platform.lock().cloud.notices(since);
        (!page.notices.is_empty(), page)
    };
    platform.wait(request, page).await
}

/// Reads weights at the store's rate.
pub(super) fn weights(platform: &state::Platform, request: &request::Request) -> reply::Response {
    let bytes = match request::query_number(request, "bytes", 0) {
        Ok(bytes) if bytes <= MAX_WEIGHT_BYTES => bytes,
        Ok(_) => return reply::bad(format!("query bytes: use at most {MAX_WEIGHT_BYTES}")),
        Err(response) => return *response,
    };
    match platform.lock().bucket.take(bytes, time::Instant::now()) {
        Ok(()) => {
            let content = vec![0; usize::try_from(bytes).unwrap_or(0)];
            http::Response::new(body::Body::whole(content))
        }
        Err(seconds) => {
            let status = http::StatusCode::TOO_MANY_REQUESTS;
            let mut response = reply::error(status, "beyond the rate of the weight store");
            reply::set(&mut response, "retry-after", &seconds.to_string());
            response
        }
    }
}

fn found(found: bool) -> reply::Response {
    if found {
        reply::done()
    } else {
        reply::missing()
    }
}
