//! One route of a manifest.

use std::time::Duration;

use crate::name;

/// Whether requests of a route may be retried, and the kind of their responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A request that runs at most once.
    AtMostOnce,
    /// A request that may run more than once.
    Idempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another engine may resume after the last event received.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns `true` if a request that may have run may be retried.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns `true` if the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: name::Name,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name in log lines.
    pub name: name::Name,
    /// Host that it serves, in lower case and without port.
    pub host: name::Name,
    /// Prefix of the paths that it serves.
    pub prefix: name::Name,
    /// Whether its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time from the arrival of a request to the end of its response.
    pub timeout: Duration,
    /// Time from the arrival of a request within which its response is on time.
    pub goal: Duration,
    /// Longest pause between the events of a stream that counts as on time.
    pub gap: Option<Duration>,
    /// Number of engines that a request may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Services that share the requests.
    pub shares: Vec<Share>,
}

impl Route {
    /// Picks the service of a request by a hash of its id, in proportion to the weights.
    pub fn service(&self, hash: u64) -> Option<&name::Name> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
