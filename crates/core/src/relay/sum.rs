//! Load of several instances, added up.

use std::collections;

use super::digest;
use super::load;
use super::workspace_usage;
use crate::name;

/// Load of several instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Sum {
    /// Instances that are reachable and not stopping.
    #[serde(rename = "heard")]
    pub reachable: u32,
    /// What they have admitted, and the demand on them, by workspace.
    #[serde(rename = "spent")]
    pub usage: Vec<workspace_usage::Usage>,
    /// Their load on engines.
    pub loads: Vec<digest::EngineLoad>,
}

/// Load on engines from several instances.
#[derive(Clone, Debug, Default)]
pub struct Loads(collections::BTreeMap<name::Name, load::Load>);

impl Loads {
    /// Adds the load of one or several instances.
    pub fn add(&mut self, loads: &[digest::EngineLoad]) {
        for reported in loads {
            let sum = self.0.entry(reported.engine.clone()).or_default();
            sum.running = sum.running.saturating_add(reported.load.running);
            sum.pending_prefill = sum
                .pending_prefill
                .saturating_add(reported.load.pending_prefill);
        }
    }

    /// Returns the sums.
    pub fn into_vec(self) -> Vec<digest::EngineLoad> {
        let all = self.0.into_iter();
        all.map(|(engine, load)| digest::EngineLoad { engine, load })
            .collect()
    }
}
