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
    /// no configuration is in force at this entry yet
    NotReady,
    /// this entry is stopping; connect again to reach another one
    Stopping,
    /// no declared route has this path
    NoRoute,
    /// the header x-workspace names no declared workspace
    NoWorkspace,
    /// the workspace is over its declared rate or concurrency
    Limited,
    /// the request would miss its deadline in the queue
    Overloaded,
    /// no upstream of the service can take the request
    NoUpstream,
    /// the deadline passed
    Deadline,
    /// this request has brought down two upstreams and is not run again
    Blocked,
    /// the idempotency key was used with another body
    KeyMismatch,
    /// the request with this idempotency key is still running; its answer will be kept
    KeyRunning,
    /// an earlier run with this idempotency key ended unclear and is not repeated
    KeyUnclear,
    /// the platform's store cannot record the request now
    Unrecorded,
    /// the upstream failed
    UpstreamFailed,
    /// the request names no key of a workspace
    UnknownKey,
    /// upstreams crashed under this request; it is not run again for now
    Suspect,
    /// the request is not proper HTTP/1.1
    Malformed,
    /// the request's body is longer than the limit
    BodyTooLarge,
    /// the request's head is longer than the limit
    HeadTooLarge,
    /// the request's head or body did not come within its time
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
