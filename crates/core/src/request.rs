//! A caller's request as the reducer sees it; its body stays with the shell.

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
    /// The workspace that the caller states.
    pub workspace: name::Name,
    /// Idempotency key, if the caller sent one.
    pub key: Option<name::Name>,
    /// Hash of path and body.
    pub fingerprint: u64,
    /// Prompt blocks and tokens.
    pub prompt: prompt::Prompt,
    /// Expected output tokens.
    pub output: u32,
    /// The caller's own deadline for the first token or whole answer.
    pub deadline: Option<time::Time>,
    /// First token that the caller lacks; above zero when it reconnects.
    pub offset: u32,
}
