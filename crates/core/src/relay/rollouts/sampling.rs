//! Which requests a new version gets during its rollout.
//!
//! It gets a fixed share of the requests of its service, and more of those of quiet routes, so that
//! it is judged on each of them before the rollout is completed.

use std::collections;
use std::hash::Hasher;

use super::rollout::LAST_DECISION_AFTER;
use crate::name;
use crate::relay::version_stats;

/// Share of the duration after which quiet routes get more than the usual share: until then it is
/// not known how many requests they have.
const SAMPLE_AFTER: f64 = 0.15;
/// Share of the allowed canary share up to which additional requests are sent.
const MAX_SHARE: f64 = 0.9;
/// Part of the allowed slack that additional requests may use. The remainder is for requests that
/// were sent before responses to others were known.
const SLACK_PART: f64 = 0.32;
/// Responses that a quiet route is to get where many routes are quiet: one failure without a success
/// holds a version back.
const MIN_TARGET: f64 = 1.0;
/// Factor for requests that end without a response that counts.
const SURPLUS: f64 = 1.5;
/// Largest share of a route's requests while all responses of the new version there are sound.
const MAX_ROUTE_SHARE: f64 = 0.5;
/// Responses of the old version from which all requests of a route may go to the new one.
const MIN_COMPARED: u32 = 2;

/// Requests that this process has sent to a new version.
#[derive(Clone, Debug, Default)]
pub(super) struct Sampler {
    requests: u64,
    regular: u64,
    all: u64,
    /// Fractions of additional requests that are due, by route.
    due: collections::BTreeMap<name::Name, f64>,
}

/// What is known when a request arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct View<'a> {
    /// The route of the request.
    pub route: &'a name::Name,
    /// Number in [0, 1) that differs between instances, so that they do not all begin alike.
    pub phase: f64,
    /// Share of the requests that any route gets.
    pub share: f64,
    /// Share of the requests that the new version may get.
    pub max_share: f64,
    /// Requests that it may get beyond that share.
    pub slack: f64,
    /// Elapsed share of the rollout's duration; `None` if it has not started.
    pub elapsed: Option<f64>,
    /// Number of instances for each of which the responses are known.
    pub scale: f64,
    /// Known responses on all routes together.
    pub sum: &'a version_stats::Pair,
    /// Known responses on the route of the request.
    pub pair: version_stats::Pair,
    /// Further responses that would show that the new version is sound on it, if more are needed.
    pub needed: Option<f64>,
    /// Number of routes with known responses.
    pub routes: usize,
}

impl Sampler {
    /// Counts a request and returns `true` if the new version gets it.
    pub fn takes(&mut self, view: &View<'_>) -> bool {
        self.requests += 1;
        let due = view.share * self.requests as f64 + view.phase;
        let is_regular = (self.regular + 1) as f64 <= due;
        self.regular += u64::from(is_regular);
        let is_taken = is_regular || self.takes_additional(view);
        self.all += u64::from(is_taken);
        is_taken
    }

    fn takes_additional(&mut self, view: &View<'_>) -> bool {
        let additional = view.additional_share(self.all);
        if additional <= 0.0 {
            return false;
        }
        let due = self.due.entry(view.route.clone()).or_insert(view.phase);
        *due += additional;
        let is_due = *due >= 1.0;
        if is_due {
            *due -= 1.0;
        }
        is_due
    }
}

impl View<'_> {
    /// Returns the share of the route's requests that the new version gets in addition.
    fn additional_share(&self, own: u64) -> f64 {
        let Some(elapsed) = self.elapsed else {
            return 0.0;
        };
        let all = self.scaled(self.sum.new) + self.scaled(self.sum.old);
        let received = self.scaled(self.sum.new).max(own as f64);
        let slack = self.slack * SLACK_PART;
        let is_sampled = (SAMPLE_AFTER..LAST_DECISION_AFTER).contains(&elapsed);
        if !is_sampled || received + 1.0 > self.max_share * MAX_SHARE * all + slack {
            return 0.0;
        }
        let allowance = (self.max_share * MAX_SHARE - self.share) * all + slack;
        let target = allowance / self.routes.max(1) as f64;
        let (new, old) = (self.pair.new, self.pair.old);
        let Some(needed) = self.needed else {
            return 0.0;
        };
        // What is in doubt is not divided among the routes.
        let is_unproven = new.responses == 0 || new.errors > 0;
        let missing = match is_unproven {
            true => needed,
            false => needed.min(target.max(MIN_TARGET) - self.scaled(new)),
        };
        if missing <= 0.0 {
            return 0.0;
        }
        let known = self.scaled(new) + self.scaled(old);
        let expected = known / elapsed * (LAST_DECISION_AFTER - elapsed);
        let max = match is_unproven && old.started() >= MIN_COMPARED {
            true => 1.0,
            false => MAX_ROUTE_SHARE,
        };
        (missing * SURPLUS / expected.max(1.0) - self.share).clamp(0.0, max)
    }

    /// Returns the responses of a version at all instances.
    fn scaled(&self, stats: version_stats::VersionStats) -> f64 {
        f64::from(stats.started()) * self.scale
    }
}

/// Returns the phase of an instance, a number in [0, 1).
pub(super) fn phase(instance: &name::Name, service: &name::Name, route: &name::Name) -> f64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    for name in [instance, service, route] {
        hasher.write(name.as_bytes());
        hasher.write_u8(0);
    }
    /// Bits of a number that a float holds exactly.
    const BITS: u32 = 32;
    (hasher.finish() >> BITS) as f64 / (1_u64 << BITS) as f64
}
