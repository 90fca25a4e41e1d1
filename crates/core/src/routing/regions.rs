//! Network delays between failure domains and recent reclaims in them.

use std::collections;
use std::time::Duration;

use crate::declaration;
use crate::name;
use crate::time;

/// One-way delay within a failure domain.
const LOCAL_DELAY: Duration = Duration::from_micros(300);
/// One-way delay between failure domains of a region.
const REGIONAL_DELAY: Duration = Duration::from_millis(5);
/// One-way delay between regions.
const REMOTE_DELAY: Duration = Duration::from_millis(30);
/// How long a reclaim raises the assumed risk of its failure domain.
const RECLAIM_WINDOW: Duration = Duration::from_secs(30);

/// The failure domains as seen from the domain of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    home: name::Name,
    regions: collections::BTreeMap<name::Name, name::Name>,
    reclaims: collections::BTreeMap<name::Name, Reclaimed>,
}

/// Recent reclaims in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Reclaimed {
    share: f64,
    until: time::Time,
}

impl Regions {
    /// Builds an empty view from the failure domain `home`.
    pub fn new(home: name::Name) -> Self {
        Self {
            home,
            ..Self::default()
        }
    }

    /// Sets the declared failure domains.
    pub fn declare(&mut self, domains: &[declaration::Domain]) {
        let pairs = domains
            .iter()
            .map(|domain| (domain.name.clone(), domain.region.clone()));
        self.regions = pairs.collect();
    }

    /// Returns the one-way delay to a failure domain.
    pub fn network_delay(&self, domain: &name::Name) -> Duration {
        if *domain == self.home {
            return LOCAL_DELAY;
        }
        match (self.regions.get(domain), self.regions.get(&self.home)) {
            (Some(there), Some(here)) if there != here => REMOTE_DELAY,
            _ => REGIONAL_DELAY,
        }
    }

    /// Records that a share of the reclaimable instances of a failure domain is leaving.
    pub fn record_reclaim(&mut self, now: time::Time, domain: &name::Name, share: f64) {
        let current = self.reclaimed_share(now, domain);
        let reclaimed = Reclaimed {
            share: (current + share).min(1.0),
            until: now.after(RECLAIM_WINDOW),
        };
        self.reclaims.insert(domain.clone(), reclaimed);
    }

    /// Returns the share of a failure domain that was reclaimed recently.
    pub fn reclaimed_share(&self, now: time::Time, domain: &name::Name) -> f64 {
        let reclaimed = self
            .reclaims
            .get(domain)
            .filter(|reclaimed| reclaimed.until > now);
        reclaimed.map_or(0.0, |reclaimed| reclaimed.share)
    }
}
