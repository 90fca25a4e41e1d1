//! Orders to upstreams over HTTP, by a small pool of threads.

use std::io;
use std::thread;

use crossbeam::channel;
use guavausher_core::control;
use guavausher_core::name;
use oxhttp::model;

use crate::clock;

/// Threads that give orders.
const WORKERS: usize = 4;
/// Orders that may wait for a thread; the reducer has fewer on their way.
const MAX_WAITING: usize = 64;

/// The end of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// The upstream.
    pub upstream: name::Name,
    /// How it ended.
    pub outcome: control::Outcome,
}

#[derive(serde::Serialize)]
struct Body<'a> {
    fence: u64,
    order: Wanted<'a>,
}

#[derive(serde::Serialize)]
struct Wanted<'a> {
    version: &'a str,
}

/// Starts the threads; returns where orders go and where their ends come from.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start(
    clock: clock::Clock,
) -> io::Result<(channel::Sender<control::Order>, channel::Receiver<Ended>)> {
    let (orders, waiting) = channel::bounded::<control::Order>(MAX_WAITING);
    let (ends, ended) = channel::unbounded();
    for _ in 0..WORKERS {
        let (waiting, ends) = (waiting.clone(), ends.clone());
        thread::Builder::new()
            .name(String::from("orders"))
            .spawn(move || {
                for order in waiting {
                    let outcome = give(clock, &order);
                    let upstream = order.upstream;
                    if ends.send(Ended { upstream, outcome }).is_err() {
                        return;
                    }
                }
            })?;
    }
    Ok((orders, ended))
}

/// Gives one order; one whose deadline has passed is not sent.
fn give(clock: clock::Clock, order: &control::Order) -> control::Outcome {
    let left = clock.now().until(order.deadline);
    let body = Body {
        fence: order.fencing_token,
        order: Wanted {
            version: &order.version,
        },
    };
    let request = serde_json::to_vec(&body).ok().and_then(|body| {
        model::Request::builder()
            .method(model::Method::POST)
            .uri(format!("http://{}/orders", order.address))
            .header(model::header::CONTENT_TYPE, "application/json")
            .body(model::Body::from(body))
            .ok()
    });
    let Some(request) = request.filter(|_| !left.is_zero()) else {
        return control::Outcome::Failed;
    };
    let client = oxhttp::Client::new().with_global_timeout(left);
    match client.request(request).map(|response| response.status()) {
        Ok(status) if status.is_success() => control::Outcome::Accepted,
        Ok(model::StatusCode::CONFLICT) => control::Outcome::Fenced,
        _ => control::Outcome::Failed,
    }
}
