//! Fair shares of the workspaces that are present.

use std::collections;

use crate::name;

/// Demand for its weight, as a multiple of the others', above which a workspace is heavy.
const HEAVY_FACTOR: f64 = 5.0;

/// Use and weight of the present workspaces of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    uses: collections::BTreeMap<name::Name, Use>,
    weight: u64,
}

/// How a workspace stands against the others; lower ones go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// One more request stays within its share while others are present.
    Within,
    /// One more request takes it beyond its share, or it is alone.
    Beyond,
    /// It is beyond its share and asks for far more than the others.
    Heavy,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    demand: f64,
    running: u32,
    weight: u32,
}

impl Shares {
    /// Adds requests in progress and recent demand of a workspace.
    pub fn add(&mut self, workspace: &name::Name, weight: u32, running: u32, demand: f64) {
        if !self.uses.contains_key(workspace) {
            self.uses.insert(workspace.clone(), Use::default());
            self.weight += u64::from(weight.max(1));
        }
        if let Some(known) = self.uses.get_mut(workspace) {
            known.running = known.running.saturating_add(running);
            known.weight = weight.max(1);
            known.demand += demand;
        }
    }

    /// Returns how a workspace stands for one more request.
    pub fn tier(&self, workspace: &name::Name, capacity: u32) -> Tier {
        if self.is_alone() {
            return Tier::Beyond;
        }
        if !self.is_over(workspace, capacity) {
            return Tier::Within;
        }
        match self.is_heavy(workspace) {
            true => Tier::Heavy,
            false => Tier::Beyond,
        }
    }

    fn is_over(&self, workspace: &name::Name, capacity: u32) -> bool {
        let Some(own) = self.uses.get(workspace) else {
            return false;
        };
        let wanted = u64::from(own.running + 1) * self.weight;
        wanted > u64::from(capacity) * u64::from(own.weight)
    }

    fn is_alone(&self) -> bool {
        self.uses.len() <= 1
    }

    fn is_heavy(&self, workspace: &name::Name) -> bool {
        let Some(own) = self.uses.get(workspace) else {
            return false;
        };
        let demand: f64 = self.uses.values().map(|other| other.demand).sum();
        let others = (demand - own.demand) * f64::from(own.weight);
        let weight = self.weight.saturating_sub(u64::from(own.weight)) as f64;
        own.demand * weight > others * HEAVY_FACTOR
    }
}
