//! One workspace of a manifest.

use crate::name;

/// What a workspace's usage cap counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest possible output.
    Tokens,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: name::Name,
    /// API keys.
    pub keys: Vec<name::Name>,
    /// Priority of its requests; overrides the route's.
    pub priority: Option<u8>,
    /// What the cap counts.
    pub unit: Unit,
    /// Units of a request without token counts.
    pub default_units: u32,
    /// Units per second over all instances; 0 means no cap.
    pub rate: f64,
    /// Units above the rate that may be used at once.
    pub burst: f64,
}

impl Workspace {
    /// Returns the units that a request with this token count is charged.
    pub fn units(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.default_units),
        }
    }
}
