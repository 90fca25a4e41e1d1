//! Labels of the metrics.

use prometheus_client::encoding;

/// Labels of a request's outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Outcome {
    /// `answered`, `refused`, `cut` or `abandoned`.
    pub outcome: &'static str,
    /// Reason code of a refusal.
    pub reason: &'static str,
}

/// Labels of an attempt's outcome.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct AttemptEnd {
    /// Outcome of the attempt.
    pub ending: &'static str,
}

/// Labels of an engine notice.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Notice {
    /// `leaving`, `hold` or `limit`.
    pub word: &'static str,
    /// `answer`, `list`, `peer` or `expiry`.
    pub source: &'static str,
}

/// Label of the effect of a rate limit on a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Limited {
    /// `placed-elsewhere` or `refused`.
    pub outcome: &'static str,
}

/// Labels of the number of engines.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Engines {
    /// Name of the service.
    pub service: String,
    /// What is believed of the engines.
    pub standing: &'static str,
}

/// Label of the number of blocked requests and parts of prompts.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Blocked {
    /// `request` or `part`.
    pub kind: &'static str,
}

/// Label of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Workspace {
    /// Name of the workspace.
    pub workspace: String,
}

/// Labels of a call to the platform.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Call {
    /// Name of the call.
    pub call: &'static str,
    /// HTTP status, or 0 without a reply.
    pub status: u16,
}

/// Labels of a response that ended although it was begun.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Truncated {
    /// What ended its last attempt.
    pub ended_by: &'static str,
    /// Why no other attempt continued it.
    pub no_retry: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Service {
    /// Name of the service.
    pub service: String,
}

/// Label of a kind of event.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Event {
    /// Kind of the event.
    pub event: &'static str,
}

/// Label of a kind of stored objects.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Kind {
    /// Name of the kind.
    pub kind: &'static str,
}

/// Labels of the end of an engine's response.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct EngineResponse {
    /// `length`, `chunks` or `close`; empty without a complete head.
    pub framing: &'static str,
    /// `complete`, `closed`, `reset`, `within-event`, `invalid`, `too-long` or `no-room`; empty if it had not
    /// ended.
    pub end: &'static str,
}

/// Labels of an attempt's silence.
#[derive(Clone, Debug, Eq, Hash, PartialEq, encoding::EncodeLabelSet)]
pub struct Silence {
    /// The limit that was exceeded: `first-byte` or `gap`.
    pub limit: &'static str,
    /// Why no other engine gets the request as well; empty if one does.
    pub no_retry: &'static str,
}
