//! Usage caps of workspaces, over all instances.

use std::collections;
use std::time::Duration;

use super::allowance;
use super::manifest;
use super::settings;
use super::workspace;
use crate::name;
use crate::time;

/// Longest time after which a caller over its cap is asked to come back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Meters of all workspaces with a cap.
///
/// Each instance keeps a whole meter for each workspace and charges to it what it admits itself
/// and what the others tell of theirs. Two instances may both spend what is left before they hear
/// of each other; the meter then stands above its burst and both refuse until it has drained.
#[derive(Clone, Debug)]
pub struct Caps {
    meters: collections::BTreeMap<name::Name, Meter>,
    /// Part of each cap that this instance and those that it hears from may use.
    part: f64,
    /// Keeps instances from admitting at the same moments.
    seed: u64,
}

#[derive(Clone, Debug)]
struct Meter {
    rate: f64,
    burst: f64,
    /// Units above what the rate has drained.
    level: f64,
    at: time::Time,
    /// Units that this instance has admitted in its life.
    spent: u64,
    /// Units that the other members of its group have, as far as they were charged here.
    mates: u64,
    /// Whether the level is known rather than taken to be the highest.
    known: bool,
    allowance: allowance::Allowance,
}

impl Caps {
    /// Builds the caps of an instance that knows none yet.
    pub const fn new(seed: u64) -> Self {
        Self {
            meters: collections::BTreeMap::new(),
            part: 1.0,
            seed,
        }
    }

    /// Takes over the caps of a manifest.
    ///
    /// A process that follows another one does not know what was used a moment ago. Its meters then
    /// stand as if the burst had been used, but for a part of the tolerated excess, until others
    /// tell the level.
    pub fn apply_manifest(
        &mut self,
        now: time::Time,
        settings: &settings::Settings,
        manifest: &manifest::Manifest,
        known: bool,
    ) {
        let old = std::mem::take(&mut self.meters);
        for workspace in manifest.workspaces() {
            let former = old.get(&workspace.name);
            let mut meter = former.cloned().unwrap_or(Meter {
                rate: workspace.rate,
                burst: workspace.burst,
                level: if known {
                    0.0
                } else {
                    unknown_level(settings, workspace)
                },
                at: now,
                spent: 0,
                mates: 0,
                known,
                allowance: allowance::Allowance::new(self.seed),
            });
            meter.drain(now, self.part);
            meter.rate = workspace.rate;
            meter.burst = workspace.burst;
            self.meters.insert(workspace.name.clone(), meter);
        }
    }

    /// Sets the part of each cap that this instance and those that it hears from may use.
    pub fn set_share(&mut self, now: time::Time, part: f64) {
        for meter in self.meters.values_mut() {
            meter.drain(now, self.part);
        }
        self.part = part;
    }

    /// Charges a request to its workspace.
    ///
    /// # Errors
    ///
    /// Returns when the request would fit if it is over the cap.
    pub fn try_charge(
        &mut self,
        now: time::Time,
        workspace: &name::Name,
        units: u32,
    ) -> Result<(), time::Time> {
        let part = self.part;
        let Some(meter) = self.meters.get_mut(workspace) else {
            return Ok(());
        };
        if meter.rate <= 0.0 {
            meter.spent += u64::from(units);
            return Ok(());
        }
        meter.drain(now, part);
        // After its burst has drained once, an unknown level can be no higher than this one.
        meter.known |= meter.level <= 0.0;
        let units = f64::from(units);
        let room = allowance::Headroom {
            rate: meter.rate * part,
            units: meter.burst * part - meter.level,
        };
        let allowed = meter.allowance.try_charge(now, units, room);
        let over = units - room.units;
        if over > 0.0 && meter.level > 0.0 {
            let wait = Duration::from_secs_f64((over / (meter.rate * part)).min(1e6));
            return Err(now.after(wait.min(MAX_WAIT)));
        }
        allowed.map_err(|at| at.min(now.after(MAX_WAIT)))?;
        meter.level += units;
        meter.spent += units as u64;
        Ok(())
    }

    /// Takes over what the other instances are asked for, in units a second by workspace, and how
    /// long it takes until they are heard.
    pub fn update_demands(
        &mut self,
        demands: &collections::BTreeMap<name::Name, f64>,
        lag: Duration,
    ) {
        for (workspace, meter) in &mut self.meters {
            let others = demands.get(workspace).copied().unwrap_or(0.0);
            meter.allowance.update_others(others, lag);
        }
    }

    /// Returns the units a second of a workspace that this instance is asked for.
    pub fn demand(&self, now: time::Time, workspace: &name::Name) -> u64 {
        let meter = self.meters.get(workspace);
        meter.map_or(0, |meter| meter.allowance.demand(now) as u64)
    }

    /// Gives back what a request was charged that no engine ran.
    pub fn refund(&mut self, workspace: &name::Name, units: u32) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.level = (meter.level - f64::from(units)).max(0.0);
            meter.spent = meter.spent.saturating_sub(u64::from(units));
        }
    }

    /// Charges what another member of the group has admitted.
    pub fn charge_group_peer(&mut self, now: time::Time, workspace: &name::Name, units: u64) {
        self.charge_remote(now, workspace, units);
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.mates += units;
        }
    }

    /// Charges what other instances have admitted.
    pub fn charge_remote(&mut self, now: time::Time, workspace: &name::Name, units: u64) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.drain(now, self.part);
            meter.level += units as f64;
        }
    }

    /// Takes over the level that another instance knows, if none is known here.
    pub fn adopt_level(&mut self, now: time::Time, workspace: &name::Name, level: u64) {
        let meter = self.meters.get_mut(workspace);
        if let Some(meter) = meter.filter(|meter| !meter.known) {
            meter.drain(now, self.part);
            meter.level = level as f64;
            meter.known = true;
        }
    }

    /// Returns what this instance has admitted in its life, by workspace.
    pub fn spent(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.meters.iter().map(|(name, meter)| (name, meter.spent))
    }

    /// Returns what this instance and the other members of its group have admitted, by workspace.
    pub fn group_spent(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        let meters = self.meters.iter();
        meters.map(|(name, meter)| (name, meter.spent + meter.mates))
    }

    /// Returns the level of a workspace's meter, if it is known.
    pub fn level(&self, now: time::Time, workspace: &name::Name) -> Option<u64> {
        let mut meter = self.meters.get(workspace).filter(|m| m.known)?.clone();
        meter.drain(now, self.part);
        Some(meter.level as u64)
    }
}

fn unknown_level(settings: &settings::Settings, workspace: &workspace::Workspace) -> f64 {
    /// Part of the tolerated excess that a new process may give away.
    const SHARE: f64 = 0.5;
    let window = settings.cap_window.as_secs_f64();
    let allowed = workspace.rate * window + workspace.burst;
    (workspace.burst - SHARE * settings.cap_tolerance * allowed).max(0.0)
}

impl Meter {
    fn drain(&mut self, now: time::Time, part: f64) {
        let seconds = self.at.until(now).as_secs_f64();
        self.level = (self.level - self.rate * part * seconds).max(0.0);
        self.at = self.at.max(now);
    }
}
