//! What may be the cause of an engine's crash.

use std::fmt;

use super::request;

/// A request, or a part of prompts, that may be the cause of an engine's crash.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub enum Subject {
    /// A request and its repeats, by their fingerprint.
    Request(u64),
    /// A part of prompts that requests to a service share.
    Part {
        /// Hash of the service's name.
        service: u64,
        /// Identifier of the part.
        id: u64,
    },
}

impl Subject {
    /// Number of crashes after which it is blocked.
    ///
    /// Requests share parts, so more of them run at an engine that crashes for another reason.
    pub const fn crash_limit(self) -> usize {
        match self {
            Self::Request(_) => 3,
            Self::Part { .. } => 4,
        }
    }

    /// Returns what it is, as text: `request` or `part`.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part { .. } => "part",
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request:{fingerprint:016x}"),
            Self::Part { id, .. } => write!(f, "part:{id:x}"),
        }
    }
}

/// Returns what may be the cause if an engine crashes while it runs a request: the request, and each
/// part of its prompt that others share.
pub fn of_request(request: &request::Request) -> impl Iterator<Item = Subject> {
    [Subject::Request(request.fingerprint)]
        .into_iter()
        .chain(parts_of(request))
}

/// Returns the parts of a request's prompt that others share.
pub fn parts_of(request: &request::Request) -> impl Iterator<Item = Subject> {
    let service = twox_hash::XxHash64::oneshot(0, request.service.as_bytes());
    let parts = request.shared_parts().iter();
    parts.map(move |part| Subject::Part {
        service,
        id: part.id,
    })
}
