//! Load of an engine.

/// Requests that were sent to an engine and have not ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Number of requests.
    pub running: u32,
    /// Prompt tokens of those without a first event that the engine has still to process.
    #[serde(rename = "unread")]
    pub pending_prefill: u32,
}
