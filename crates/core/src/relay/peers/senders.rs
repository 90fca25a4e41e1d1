//! Which instances send requests to an engine with a rate limit, and at which rate each.
//!
//! A limit of a few requests per second cannot be divided among hundreds of instances: each could
//! send one request in minutes. Each group therefore has a few senders for each engine, on which
//! its members agree without messages by rendezvous hashing. A group's part of the limit is that of
//! its reachable members among all instances, so that the parts add up to at most the limit also
//! while some instances cannot reach each other.

use std::time::Duration;

use super::Peers;
use crate::name;
use crate::relay::group;
use crate::time;

/// Rate for which a further sender is added, in requests per second.
pub(in crate::relay) const RATE_PER_SENDER: f64 = 0.75;
/// Time without a confirmation of the limit after which the number of senders doubles, since the
/// present ones may have no requests for the engine.
const WIDENING_TIME: Duration = Duration::from_secs(5);
/// Maximum number of times that it doubles.
const MAX_WIDENINGS: u32 = 16;

impl Peers {
    /// Returns the requests per second that this instance may send to an engine that takes `rate`
    /// from all instances together; 0 if others send. `unconfirmed` is the time since a response
    /// last contained the limit.
    pub fn sending_rate(
        &self,
        now: time::Time,
        engine: &name::Name,
        rate: f64,
        unconfirmed: Duration,
        leaving: bool,
    ) -> f64 {
        let own = rank(engine, &self.own.name);
        let mut members = 1_usize;
        let mut ranked_before = 0_u32;
        for name in self.serving(now) {
            members += 1;
            ranked_before += u32::from(rank(engine, name) > own);
        }
        let group_rate = rate * members as f64 / self.limit_holders() as f64;
        let widenings = unconfirmed.as_secs() / WIDENING_TIME.as_secs();
        let widenings = u32::try_from(widenings).unwrap_or(MAX_WIDENINGS);
        let factor = 1_u32 << widenings.min(MAX_WIDENINGS);
        let senders = (group_rate / RATE_PER_SENDER).ceil().max(1.0) * f64::from(factor);
        let senders = senders.min(members as f64);
        if leaving || f64::from(ranked_before) >= senders {
            return 0.0;
        }
        group_rate / senders
    }
}

/// Returns a number between 0 and 1 that differs between instances and engines, and does not depend
/// on their rank: senders have the highest ranks.
pub fn phase(engine: &name::Name, instance: &name::Name) -> f64 {
    let draw = group::rendezvous_rank(group::selection_key(instance), engine);
    draw as f64 / u64::MAX as f64
}

/// Returns the rank of an instance among the senders of an engine.
fn rank(engine: &name::Name, instance: &name::Name) -> u64 {
    group::rendezvous_rank(group::selection_key(engine), instance)
}
