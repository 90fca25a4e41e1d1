//! The weights and latency targets of a deployment.

/// Weights and latency targets of the decisions of a deployment.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct Policy {
    /// Weight of cost relative to latency, from 0 to 100.
    pub cost: u32,
    /// Weight of latency relative to cost, from 0 to 100.
    pub latency: u32,
    /// Target for the time to the first token, in milliseconds.
    pub target: u64,
    /// Target for the gap between two tokens, in milliseconds.
    pub gap: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            cost: 50,
            latency: 50,
            target: 1_600,
            gap: 48,
        }
    }
}
