//! One workspace of a manifest.

use crate::name;

/// What a workspace's usage cap counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the longest output.
    Tokens,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: name::Name,
    /// Keys that stand for it.
    pub keys: Vec<name::Name>,
    /// Rank of its requests; takes precedence over the route's.
    pub priority: Option<u8>,
    /// What the cap counts.
    pub unit: Unit,
    /// Units that a request without token counts stands for.
    pub default_units: u32,
    /// Units a second over all instances; 0 means no cap.
    pub rate: f64,
    /// Units above the rate that may be used at once.
    pub burst: f64,
}

impl Workspace {
    /// Returns what a request with these token counts costs.
    pub fn units(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.default_units),
        }
    }
}
