//! One route of a manifest.

use std::time::Duration;

use crate::name;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A plain request that runs at most once.
    AtMostOnce,
    /// A plain request that may run again.
    Idempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another engine after its last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Tells whether a request that may have run may be sent again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
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
    /// Name, for logs.
    pub name: name::Name,
    /// Host that it serves, in lower case and without port.
    pub host: name::Name,
    /// Start of the paths that it serves.
    pub prefix: name::Name,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time from arrival to the end of the answer.
    pub timeout: Duration,
    /// Time from arrival within which an answer is on time.
    pub goal: Duration,
    /// Longest pause between events of a stream that is on time.
    pub gap: Option<Duration>,
    /// Engines to which a request may be sent.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Whether no key is needed.
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
