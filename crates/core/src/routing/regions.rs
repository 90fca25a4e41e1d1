//! Distances between failure domains and signs of reclaims in them.

use std::collections;
use std::time::Duration;

use crate::declaration;
use crate::name;
use crate::time;

/// One-way delay within a failure domain.
const LOCAL: Duration = Duration::from_micros(300);
/// One-way delay between failure domains of a region.
const REGIONAL: Duration = Duration::from_millis(5);
/// One-way delay between regions.
const REMOTE: Duration = Duration::from_millis(30);
/// How long a reclaim makes its failure domain suspect.
const HEAT: Duration = Duration::from_secs(30);

/// What is known of the failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    home: name::Name,
    regions: collections::BTreeMap<name::Name, name::Name>,
    hot: collections::BTreeMap<name::Name, Heat>,
}

/// Recent reclaims in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Heat {
    part: f64,
    until: time::Time,
}

impl Regions {
    /// Builds the view from one failure domain.
    pub fn new(home: name::Name) -> Self {
        Self {
            home,
            ..Self::default()
        }
    }

    /// Takes over declared failure domains.
    pub fn declare(&mut self, domains: &[declaration::Domain]) {
        let pairs = domains
            .iter()
            .map(|domain| (domain.name.clone(), domain.region.clone()));
        self.regions = pairs.collect();
    }

    /// Returns the one-way delay to a failure domain.
    pub fn network_delay(&self, domain: &name::Name) -> Duration {
        if *domain == self.home {
            return LOCAL;
        }
        match (self.regions.get(domain), self.regions.get(&self.home)) {
            (Some(there), Some(here)) if there != here => REMOTE,
            _ => REGIONAL,
        }
    }

    /// Notes that a part of a failure domain's reclaimable instances leaves.
    pub fn record_reclaim(&mut self, now: time::Time, domain: &name::Name, part: f64) {
        let present = self.reclaimed_share(now, domain);
        let heat = Heat {
            part: (present + part).min(1.0),
            until: now.after(HEAT),
        };
        self.hot.insert(domain.clone(), heat);
    }

    /// Returns the part of a failure domain that was reclaimed lately.
    pub fn reclaimed_share(&self, now: time::Time, domain: &name::Name) -> f64 {
        let heat = self.hot.get(domain).filter(|heat| heat.until > now);
        heat.map_or(0.0, |heat| heat.part)
    }
}
