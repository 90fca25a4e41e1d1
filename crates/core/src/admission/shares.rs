//! Fair shares of the workspaces that are present at a service.

use std::collections;

use crate::name;

/// Demand in proportion to weight, as a multiple of the others', above which a workspace is heavy.
const HEAVY_FACTOR: f64 = 5.0;

/// Usage and weight of the present workspaces of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    usage: collections::BTreeMap<name::Name, Usage>,
    weight: u64,
}

/// Usage of a workspace against its share; lower tiers are granted first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Tier {
    /// One more request stays within its share while others are present.
    Within,
    /// One more request exceeds its share, or no other workspace is present.
    Beyond,
    /// It exceeds its share and its demand is far larger than that of the others.
    Heavy,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    demand: f64,
    running: u32,
    weight: u32,
}

impl Shares {
    /// Adds requests in progress and recent demand of a workspace.
    pub fn add(&mut self, workspace: &name::Name, weight: u32, running: u32, demand: f64) {
        if !self.usage.contains_key(workspace) {
            self.usage.insert(workspace.clone(), Usage::default());
            self.weight += u64::from(weight.max(1));
        }
        if let Some(known) = self.usage.get_mut(workspace) {
            known.running = known.running.saturating_add(running);
            known.weight = weight.max(1);
            known.demand += demand;
        }
    }

    /// Returns the tier of a workspace for one more request.
    pub fn tier(&self, workspace: &name::Name, capacity: u32) -> Tier {
        if self.is_alone() {
            return Tier::Beyond;
        }
        if !self.exceeds_share(workspace, capacity) {
            return Tier::Within;
        }
        match self.is_heavy(workspace) {
            true => Tier::Heavy,
            false => Tier::Beyond,
        }
    }

    fn exceeds_share(&self, workspace: &name::Name, capacity: u32) -> bool {
        let Some(own) = self.usage.get(workspace) else {
            return false;
        };
        let wanted = u64::from(own.running + 1) * self.weight;
        wanted > u64::from(capacity) * u64::from(own.weight)
    }

    fn is_alone(&self) -> bool {
        self.usage.len() <= 1
    }

    fn is_heavy(&self, workspace: &name::Name) -> bool {
        let Some(own) = self.usage.get(workspace) else {
            return false;
        };
        let demand: f64 = self.usage.values().map(|other| other.demand).sum();
        let others = (demand - own.demand) * f64::from(own.weight);
        let weight = self.weight.saturating_sub(u64::from(own.weight)) as f64;
        own.demand * weight > others * HEAVY_FACTOR
    }
}
