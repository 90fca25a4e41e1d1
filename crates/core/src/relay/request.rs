//! A caller's request as the reducer handles it.

use std::sync;

use super::rank;
use super::route;
use crate::name;
use crate::time;

/// One part of a prompt, shared with other prompts or specific to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier of its content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number, unique at this instance.
    pub id: u64,
    /// The caller's id of this attempt, for the log.
    pub trace: name::Name,
    /// Its route.
    pub route: sync::Arc<route::Route>,
    /// The service selected by the shares of its route.
    pub service: name::Name,
    /// The workspace that is charged, if any.
    pub workspace: Option<name::Name>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Units charged against the cap of its workspace.
    pub units: u32,
    /// When its head had been received.
    pub arrived: time::Time,
    /// Latest time at which a response is on time.
    pub goal: time::Time,
    /// Deadline of the final response.
    pub deadline: time::Time,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
    /// Parts of the prompt in order; the last one is specific to this request.
    pub parts: Vec<Part>,
    /// Hash of method, path, caller and body.
    pub fingerprint: u64,
}

impl Request {
    /// Returns the rank among the requests that compete for the same engines.
    pub fn rank(&self) -> rank::Rank {
        rank::Rank {
            priority: self.priority,
            route: self.route.priority,
        }
    }

    /// Returns the parts of the prompt that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}
