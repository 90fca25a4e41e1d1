//! Usage caps of workspaces, over all instances.

use std::collections;
use std::time::Duration;

use super::manifest;
use crate::name;
use crate::time;

/// Longest time after which a caller over its cap is asked to come back.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Meters of all workspaces with a cap.
///
/// Each instance keeps a whole meter for each workspace and charges to it what it admits itself
/// and what the others tell of theirs. Two instances may both spend what is left before they hear
/// of each other; the meter then stands above its burst and both refuse until it has drained.
#[derive(Clone, Debug, Default)]
pub struct Caps {
    meters: collections::BTreeMap<name::Name, Meter>,
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
}

impl Caps {
    /// Takes over the caps of a manifest.
    pub fn declare(&mut self, now: time::Time, manifest: &manifest::Manifest) {
        let old = std::mem::take(&mut self.meters);
        for workspace in manifest.workspaces() {
            let former = old.get(&workspace.name);
            let mut meter = former.cloned().unwrap_or(Meter {
                rate: workspace.rate,
                burst: workspace.burst,
                level: 0.0,
                at: now,
                spent: 0,
            });
            meter.drain(now, 1.0);
            meter.rate = workspace.rate;
            meter.burst = workspace.burst;
            self.meters.insert(workspace.name.clone(), meter);
        }
    }

    /// Charges a request to its workspace; `part` is the part of the cap that this instance and
    /// those that it hears from may use.
    ///
    /// # Errors
    ///
    /// Returns when the request would fit if it is over the cap.
    pub fn take(
        &mut self,
        now: time::Time,
        workspace: &name::Name,
        units: u32,
        part: f64,
    ) -> Result<(), time::Time> {
        let Some(meter) = self.meters.get_mut(workspace) else {
            return Ok(());
        };
        if meter.rate <= 0.0 {
            meter.spent += u64::from(units);
            return Ok(());
        }
        meter.drain(now, part);
        let over = meter.level + f64::from(units) - meter.burst * part;
        if over > 0.0 && meter.level > 0.0 {
            let wait = Duration::from_secs_f64((over / (meter.rate * part)).min(1e6));
            return Err(now.after(wait.min(MAX_WAIT)));
        }
        meter.level += f64::from(units);
        meter.spent += u64::from(units);
        Ok(())
    }

    /// Gives back what a request was charged that no engine ran.
    pub fn refund(&mut self, workspace: &name::Name, units: u32) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.level = (meter.level - f64::from(units)).max(0.0);
            meter.spent = meter.spent.saturating_sub(u64::from(units));
        }
    }

    /// Charges what another instance has admitted.
    pub fn charge(&mut self, now: time::Time, workspace: &name::Name, units: u64) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.drain(now, 1.0);
            meter.level += units as f64;
        }
    }

    /// Returns what this instance has admitted in its life, by workspace.
    pub fn spent(&self) -> impl Iterator<Item = (&name::Name, u64)> {
        self.meters.iter().map(|(name, meter)| (name, meter.spent))
    }
}

impl Meter {
    fn drain(&mut self, now: time::Time, part: f64) {
        let seconds = self.at.until(now).as_secs_f64();
        self.level = (self.level - self.rate * part * seconds).max(0.0);
        self.at = self.at.max(now);
    }
}
