//! Final responses that an entry gives in place of an upstream's.

use crate::time;
use crate::verdict;

/// A refusal of a request by the entry itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// What happened.
    pub code: Code,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// When to retry, if that may succeed.
    pub retry_at: Option<time::Time>,
}

impl Refusal {
    /// Returns a refusal of a request that no upstream has run.
    pub const fn not_run(code: Code, retry_at: Option<time::Time>) -> Self {
        Self {
            code,
            verdict: verdict::Verdict::NotRun,
            retry_at,
        }
    }
}

/// Why the entry refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, displaydoc::Display)]
pub enum Code {
    /// this entry has no configuration yet; retry later
    NotReady,
    /// this entry is stopping; reconnect to reach another one
    Stopping,
    /// no declared route has this path; check the path
    NoRoute,
    /// the header x-workspace names no declared workspace
    NoWorkspace,
    /// the workspace exceeds its declared rate or concurrency; retry later
    Limited,
    /// the request would miss its deadline in the queue; retry later
    Overloaded,
    /// no upstream of the service is available; retry later
    NoUpstream,
    /// the deadline of the request has passed
    Deadline,
    /// this request crashed two upstreams and is not run again
    Blocked,
    /// the idempotency key was used with another body; use a new key
    KeyMismatch,
    /// the request with this idempotency key is still running; retry later for its response
    KeyRunning,
    /// the outcome of an earlier run with this idempotency key is unknown; it is not repeated
    KeyUnclear,
    /// the platform's store cannot record the request now; retry later
    Unrecorded,
    /// the upstream failed while it ran the request
    UpstreamFailed,
    /// the request has no valid key of a workspace; check the key
    UnknownKey,
    /// upstreams crashed while they ran this request; it is not run again for now
    Suspect,
    /// the request is not valid HTTP/1.1
    Malformed,
    /// the request body is longer than the limit
    BodyTooLarge,
    /// the request head is longer than the limit
    HeadTooLarge,
    /// the request head or body did not arrive before its timeout
    TooSlow,
}

impl Code {
    /// Returns the HTTP status.
    pub const fn status(self) -> u16 {
        status_and_text(self).0
    }

    /// Returns the short text of the `error` field.
    pub const fn as_str(self) -> &'static str {
        status_and_text(self).1
    }
}

const fn status_and_text(code: Code) -> (u16, &'static str) {
    match code {
        Code::NotReady => (503, "not-ready"),
        Code::Stopping => (503, "stopping"),
        Code::NoRoute => (404, "no-route"),
        Code::NoWorkspace => (403, "no-workspace"),
        Code::Limited => (429, "limited"),
        Code::Overloaded => (503, "overloaded"),
        Code::NoUpstream => (503, "no-upstream"),
        Code::Deadline => (504, "deadline"),
        Code::Blocked => (422, "blocked"),
        Code::KeyMismatch => (422, "key-mismatch"),
        Code::KeyRunning => (409, "key-running"),
        Code::KeyUnclear => (409, "key-unclear"),
        Code::Unrecorded => (503, "unrecorded"),
        Code::UpstreamFailed => (502, "upstream-failed"),
        Code::UnknownKey => (401, "unknown-key"),
        Code::Suspect => (503, "suspect"),
        Code::Malformed => (400, "malformed"),
        Code::BodyTooLarge => (413, "body-too-large"),
        Code::HeadTooLarge => (431, "head-too-large"),
        Code::TooSlow => (408, "too-slow"),
    }
}
