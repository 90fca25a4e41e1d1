//! A caller's request as the reducer needs it; the runtime keeps its body.

use crate::name;
use crate::prompt;
use crate::time;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique at this entry.
    pub id: u64,
    /// Path without the query.
    pub path: String,
    /// The workspace named by the caller.
    pub workspace: name::Name,
    /// Idempotency key, if the caller sent one.
    pub key: Option<name::Name>,
    /// Hash of path and body.
    pub fingerprint: u64,
    /// Block hashes and token count of the prompt.
    pub prompt: prompt::Prompt,
    /// Expected output tokens.
    pub output: u32,
    /// The caller's own deadline for the first token or the complete response.
    pub deadline: Option<time::Time>,
    /// Offset of the first token that the caller needs; above zero when it reconnects.
    pub offset: u32,
}
