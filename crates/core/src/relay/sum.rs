//! What several instances do, added up.

use std::collections;

use super::digest;
use super::tracked;
use crate::name;

/// Several instances together.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Sum {
    /// Instances that are heard and not stopping.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// What they have admitted, and are asked for, by workspace.
    #[serde(rename = "spent")]
    pub usage: Vec<digest::Usage>,
    /// Their work on engines.
    pub loads: Vec<digest::EngineLoad>,
}

/// Work on engines by several instances.
#[derive(Clone, Debug, Default)]
pub struct Loads(collections::BTreeMap<name::Name, tracked::Load>);

impl Loads {
    /// Adds the work of some.
    pub fn add(&mut self, loads: &[digest::EngineLoad]) {
        for reported in loads {
            let sum = self.0.entry(reported.engine.clone()).or_default();
            sum.running = sum.running.saturating_add(reported.load.running);
            sum.unread = sum.unread.saturating_add(reported.load.unread);
        }
    }

    /// Returns the sums.
    pub fn into_vec(self) -> Vec<digest::EngineLoad> {
        let all = self.0.into_iter();
        all.map(|(engine, load)| digest::EngineLoad { engine, load })
            .collect()
    }
}
