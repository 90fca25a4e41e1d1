//! The steps of a planned stop.

use std::time::Duration;

use guavausher_core::relay::route;
use guavausher_core::time;

use crate::clock;
use crate::runtime;

/// How long a stopping process accepts new requests, until new callers are routed elsewhere.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Divisor of the grace; new requests are accepted for the quotient at most.
const DRAIN_DIVISOR: u32 = 3;
/// Time before the end of the grace at which requests without a response are answered.
const ANSWER_LEAD: Duration = Duration::from_millis(600);
/// Time before the end of the grace at which responses in progress are cut off.
const CUT_LEAD: Duration = Duration::from_millis(400);
/// Time before the end of the grace at which the process ends.
const END_LEAD: Duration = Duration::from_millis(200);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// From then on new requests are refused.
    pub closes: time::Time,
    /// Then requests without a response are answered.
    pub answers: time::Time,
    /// Then responses in progress are cut off.
    pub cuts: time::Time,
    /// Then the process ends.
    pub ends: time::Time,
}

impl Shutdown {
    /// Plans a stop that begins now and may take `grace`.
    pub fn new(now: time::Time, grace: Duration) -> Self {
        let before_end = |lead| now.after(grace.saturating_sub(lead));
        Self {
            closes: now.after(DRAIN_DELAY.min(grace / DRAIN_DIVISOR)),
            answers: before_end(ANSWER_LEAD),
            cuts: before_end(CUT_LEAD),
            ends: before_end(END_LEAD),
        }
    }

    /// Returns `true` if a request on a route is accepted. One that may not be repeated is not if it
    /// may be in progress at the end.
    pub fn accepts(&self, now: time::Time, route: &route::Route) -> bool {
        let is_in_time = now.after(route.goal) <= self.answers;
        now < self.closes && (is_in_time || route.retry_policy.is_idempotent())
    }
}

/// Waits until no request is in progress and no caller's connection is busy, or the stop ends.
pub async fn wait_drained(runtime: &runtime::Runtime, shutdown: Shutdown) {
    /// Time between two checks.
    const CHECK_INTERVAL: Duration = Duration::from_millis(50);
    /// Checks in a row that must agree, since idle connections begin to close at the closing time.
    const MIN_QUIET: u32 = 2;
    let mut quiet = 0;
    while clock::now() < shutdown.ends && quiet < MIN_QUIET {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let is_drained = is_drained(runtime, shutdown).await;
        quiet = if is_drained { quiet + 1 } else { 0 };
    }
}

/// Returns `true` if nothing is left to do, also after what has arrived so far was read.
///
/// After a pause in which the process had no processor, the timer of this check and the requests of
/// that time are due together, and the check runs first.
async fn is_drained(runtime: &runtime::Runtime, shutdown: Shutdown) -> bool {
    /// Turns in which a connection is accepted, its request read and the response written.
    const TURNS: u32 = 4;
    const TURN: Duration = Duration::from_millis(2);
    /// Longest time that the turns may take; longer means another such pause.
    const MAX_DURATION: Duration = Duration::from_millis(50);
    let began = clock::now();
    for _ in 0..TURNS {
        if began < shutdown.closes || runtime.in_progress() > 0 || !runtime.is_quiet() {
            return false;
        }
        tokio::time::sleep(TURN).await;
    }
    began.until(clock::now()) < MAX_DURATION && runtime.is_quiet()
}
