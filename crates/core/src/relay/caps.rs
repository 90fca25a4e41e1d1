//! Usage caps of workspaces, over all instances.

use std::collections;
use std::time::Duration;

use super::allowance;
use super::manifest;
use super::name_table;
use super::settings;
use super::workspace;
use crate::name;
use crate::time;

/// Longest time after which a caller over its cap is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Token buckets of all workspaces.
///
/// Each instance keeps a full bucket for each workspace and charges to it what it admits itself
/// and what the other instances report. Two instances may both spend the headroom before they
/// receive each other's reports; the level then exceeds the burst, and both refuse until it has
/// drained.
#[derive(Clone, Debug)]
pub struct Caps {
    buckets: collections::BTreeMap<name::Name, Bucket>,
    /// Share of each cap that this instance and those that it can reach may use.
    share: f64,
    /// Seed that keeps instances from admitting at the same moments.
    seed: u64,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    /// Units charged and not yet drained by the rate.
    level: f64,
    at: time::Time,
    /// Units that this process has admitted.
    spent: u64,
    /// Units that the other members of its group have admitted, as far as they were charged here.
    group_spent: u64,
    /// Whether the level is known rather than assumed to be the highest possible.
    is_known: bool,
    /// Units that new processes may admit together while none of them knows the level.
    excess: f64,
    /// This instance's part of these; none until the number of instances is known.
    reserve: Option<Reserve>,
    allowance: allowance::Allowance,
}

/// What one of several new processes may admit while none of them knows the level.
#[derive(Clone, Copy, Debug)]
struct Reserve {
    units: f64,
    /// This instance's equal part of each cap.
    share: f64,
}

impl Caps {
    /// Builds the caps of an instance without a manifest.
    pub const fn new(seed: u64) -> Self {
        Self {
            buckets: collections::BTreeMap::new(),
            share: 1.0,
            seed,
        }
    }

    /// Applies the caps of a manifest.
    ///
    /// A restarted process does not know what was used just before (`is_known` is `false`). Its
    /// buckets then start as if the burst had been used, except for a share of the tolerated
    /// excess, until another instance reports the level.
    pub fn apply_manifest(
        &mut self,
        now: time::Time,
        settings: &settings::Settings,
        manifest: &manifest::Manifest,
        is_known: bool,
    ) {
        let old = std::mem::take(&mut self.buckets);
        for workspace in manifest.workspaces() {
            let former = old.get(&workspace.name);
            let mut bucket = former.cloned().unwrap_or(Bucket {
                rate: workspace.rate,
                burst: workspace.burst,
                level: if is_known {
                    0.0
                } else {
                    unknown_level(settings, workspace)
                },
                at: now,
                spent: 0,
                group_spent: 0,
                is_known,
                excess: 0.0,
                reserve: None,
                allowance: allowance::Allowance::new(self.seed),
            });
            bucket.drain(now, self.share);
            bucket.rate = workspace.rate;
            bucket.burst = workspace.burst;
            bucket.excess = tolerated_excess(settings, workspace);
            self.buckets.insert(workspace.name.clone(), bucket);
        }
    }

    /// Sets the share of each cap that this instance and those that it can reach may use.
    pub fn set_share(&mut self, now: time::Time, share: f64) {
        for bucket in self.buckets.values_mut() {
            bucket.drain(now, self.share);
        }
        self.share = share;
    }

    /// Lets this instance admit its part of each cap whose level is unknown, now that the number of
    /// instances that share it is known.
    ///
    /// Without that, a fleet whose processes were all killed refuses nearly everything until its
    /// instances have heard from each other.
    pub fn grant_reserves(&mut self, now: time::Time, instances: usize) {
        let share = 1.0 / instances.max(1) as f64;
        let unknown = self.buckets.values_mut().filter(|b| !b.is_known);
        for bucket in unknown.filter(|b| b.reserve.is_none()) {
            bucket.drain(now, self.share);
            let units = share * bucket.excess;
            bucket.reserve = Some(Reserve { units, share });
        }
    }

    /// Charges a request to its workspace if the cap allows it.
    ///
    /// # Errors
    ///
    /// Returns the time at which the request should fit if it is over the cap.
    pub fn try_charge(
        &mut self,
        now: time::Time,
        workspace: &name::Name,
        units: u32,
    ) -> Result<(), time::Time> {
        let share = self.share;
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return Ok(());
        };
        if bucket.rate <= 0.0 {
            bucket.spent += u64::from(units);
            return Ok(());
        }
        bucket.drain(now, share);
        // An unknown level is at most the assumed one, so it is known once that has drained.
        bucket.is_known |= bucket.level <= 0.0;
        let units = f64::from(units);
        let headroom = allowance::Headroom {
            rate: bucket.rate * share,
            units: bucket.burst * share - bucket.level,
        };
        let allowed = bucket.allowance.try_charge(now, units, headroom);
        if !bucket.is_known && bucket.reserve.is_some_and(|reserve| units <= reserve.units) {
            bucket.charge(units);
            return Ok(());
        }
        let excess = units - headroom.units;
        if excess > 0.0 && bucket.level > 0.0 {
            let wait = Duration::from_secs_f64((excess / (bucket.rate * share)).min(1e6));
            return Err(now.after(wait.min(MAX_RETRY_AFTER)));
        }
        allowed.map_err(|at| at.min(now.after(MAX_RETRY_AFTER)))?;
        bucket.charge(units);
        Ok(())
    }

    /// Updates the demand at the other instances, in units per second by workspace, and the delay
    /// of their reports.
    pub fn update_demands(&mut self, demands: &name_table::NameTable<f64>, lag: Duration) {
        for (workspace, bucket) in &mut self.buckets {
            let others = demands.get(workspace).copied().unwrap_or(0.0);
            bucket.allowance.update_others(others, lag);
        }
    }

    /// Returns the demand of a workspace at this instance in units per second.
    pub fn demand(&self, now: time::Time, workspace: &name::Name) -> u64 {
        let bucket = self.buckets.get(workspace);
        bucket.map_or(0, |bucket| bucket.allowance.demand(now) as u64)
    }

    /// Refunds the units of a request that no engine ran.
    pub fn refund(&mut self, workspace: &name::Name, units: u32) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.level = (bucket.level - f64::from(units)).max(0.0);
            bucket.spent = bucket.spent.saturating_sub(u64::from(units));
        }
    }

    /// Charges units that another member of the group has admitted.
    pub fn charge_group_peer(&mut self, now: time::Time, workspace: &name::Name, units: u64) {
        self.charge_remote(now, workspace, units);
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.group_spent += units;
        }
    }

    /// Charges units that other instances have admitted.
    pub fn charge_remote(&mut self, now: time::Time, workspace: &name::Name, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.drain(now, self.share);
            bucket.level += units as f64;
        }
    }

    /// Adopts the level that another instance reports, if none is known here.
    pub fn adopt_level(&mut self, now: time::Time, workspace: &name::Name, level: u64) {
        let bucket = self.buckets.get_mut(workspace);
        if let Some(bucket) = bucket.filter(|bucket| !bucket.is_known) {
            bucket.drain(now, self.share);
            bucket.level = level as f64;
            bucket.is_known = true;
        }
    }

    /// Returns the units that this process has admitted, by workspace.
    pub fn spent(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (name, bucket.spent))
    }

    /// Returns the units that this process and the other members of its group have admitted, by
    /// workspace.
    pub fn group_spent(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(name, bucket)| (name, bucket.spent + bucket.group_spent))
    }

    /// Returns the level of a workspace's bucket, if it is known.
    pub fn level(&self, now: time::Time, workspace: &name::Name) -> Option<u64> {
        let mut bucket = self.buckets.get(workspace).filter(|b| b.is_known)?.clone();
        bucket.drain(now, self.share);
        Some(bucket.level as u64)
    }
}

fn unknown_level(settings: &settings::Settings, workspace: &workspace::Workspace) -> f64 {
    (workspace.burst - tolerated_excess(settings, workspace)).max(0.0)
}

/// Returns the units above a cap that new processes may admit together: the part of what is tolerated
/// that is not kept for admissions which cross each other's reports.
fn tolerated_excess(settings: &settings::Settings, workspace: &workspace::Workspace) -> f64 {
    /// Share of what is tolerated.
    const EXCESS_SHARE: f64 = 0.5;
    let window = settings.cap_window.as_secs_f64();
    let allowed = workspace.rate * window + workspace.burst;
    EXCESS_SHARE * (settings.cap_tolerance * allowed + settings.cap_slack)
}

impl Bucket {
    fn drain(&mut self, now: time::Time, share: f64) {
        let seconds = self.at.until(now).as_secs_f64();
        self.level = (self.level - self.rate * share * seconds).max(0.0);
        if let Some(reserve) = &mut self.reserve {
            reserve.units += self.rate * reserve.share * seconds;
        }
        self.at = self.at.max(now);
    }

    fn charge(&mut self, units: f64) {
        self.level += units;
        if let Some(reserve) = &mut self.reserve {
            reserve.units = (reserve.units - units).max(0.0);
        }
        self.spent += units as u64;
    }
}
