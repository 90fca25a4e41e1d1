//! Names of the headers that callers and engines use.

use guavausher_core::relay::request;

use crate::head;

/// Names of headers; decoding what they hold is the dialect's own work.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// The caller's id of one attempt; engines repeat it.
    pub id: &'static str,
    /// Milliseconds that the caller still waits.
    pub deadline: &'static str,
    /// The key of a workspace.
    pub key: &'static str,
    /// Name of the workspace, for engines.
    pub workspace: &'static str,
    /// Name of the only engine that may run the request.
    pub instance: &'static str,
    /// Rank of a request at an engine.
    pub urgency: &'static str,
    /// Id of the last event that the caller has.
    pub resume: &'static str,
    /// An engine's proof that it made the answer.
    pub stamp: &'static str,
    /// An engine's statement that it did not run the request.
    pub refusal: &'static str,
    /// An engine's statement that it leaves, which is `1`.
    pub leaving: &'static str,
    /// Headers of callers that stay here.
    pub reserved: &'static [&'static str],
    /// Headers of callers that always pass.
    pub kept: &'static [&'static str],
    /// Path of the readiness question.
    pub ready: &'static str,
    /// Reads what a request's headers say of its size.
    pub shape: fn(&head::Head) -> Shape,
}

/// What a request's headers say of its size.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Shape {
    /// Tokens of the prompt, if told.
    pub prompt: Option<u32>,
    /// Most tokens of the output, if told.
    pub output: Option<u32>,
    /// Parts of the prompt in order.
    pub parts: Vec<request::Part>,
}
