//! Evacuated failure domains: engines there get no new requests until the operator withdraws the
//! evacuation.

use std::collections;
use std::time::Duration;

use crate::name;
use crate::time;

/// Delay after which the engines of a domain are used again. Kinds of objects are replicated
/// independently, so an entry that states a cold engine may arrive later than the withdrawal.
const RETURN_DELAY: Duration = Duration::from_millis(1_500);
/// Further time over which instances start to use an engine again, each at another moment, so that
/// they learn of each other's load before all choose the idle engines.
const RETURN_SPREAD: Duration = Duration::from_secs(2);
/// How long a withdrawal is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Share of the bound for which a process that has just started waits for the evacuations, before
/// it uses all engines.
const WAIT_SHARE: f64 = 0.5;
/// Time after which a domain that nothing known belongs to is reported. The list of engines and the
/// manifest arrive independently.
const UNKNOWN_AFTER: Duration = Duration::from_secs(2);

/// The evacuations that this instance knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    stage: Stage,
    domains: collections::BTreeMap<name::Name, Evacuation>,
    /// Domains whose evacuation was withdrawn, with the time at which that became known.
    withdrawn: collections::BTreeMap<name::Name, time::Time>,
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    since: time::Time,
    is_reported: bool,
}

/// How far the evacuations are known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    /// They are known, or the deployment has none.
    #[default]
    Settled,
    /// They have not been read; this instance waits once it knows engines.
    Expected { wait: Duration },
    /// The same, until this time.
    Awaited { until: time::Time },
}

/// A change to log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Engines in a domain get no new requests.
    Begun(name::Name),
    /// Engines in a domain are used again soon.
    Withdrawn(name::Name),
    /// An evacuated domain has no engine, instance or price.
    UnknownDomain(name::Name),
    /// The evacuations could not be read in time, so all engines are used.
    NotRead,
}

impl Evacuations {
    /// Builds the state of a process that has just started, in a deployment that has evacuations
    /// if it states a bound for them.
    pub fn new(bound: Option<Duration>) -> Self {
        let stage = bound.map_or(Stage::Settled, |bound| Stage::Expected {
            wait: bound.mul_f64(WAIT_SHARE),
        });
        Self {
            stage,
            ..Self::default()
        }
    }

    /// Replaces all evacuations and returns what has changed.
    pub fn replace(
        &mut self,
        now: time::Time,
        domains: impl IntoIterator<Item = name::Name>,
    ) -> Vec<Change> {
        self.stage = Stage::Settled;
        let new: collections::BTreeSet<_> = domains.into_iter().collect();
        let ended = self.domains.extract_if(.., |name, _| !new.contains(name));
        let ended: Vec<_> = ended.map(|(name, _)| name).collect();
        let begun: Vec<_> = new
            .into_iter()
            .filter(|name| !self.domains.contains_key(name))
            .collect();
        for name in &begun {
            self.withdrawn.remove(name);
            let evacuation = Evacuation {
                since: now,
                is_reported: false,
            };
            self.domains.insert(name.clone(), evacuation);
        }
        let withdrawn = ended.iter().map(|name| (name.clone(), now));
        self.withdrawn.extend(withdrawn);
        let begun = begun.into_iter().map(Change::Begun);
        begun
            .chain(ended.into_iter().map(Change::Withdrawn))
            .collect()
    }

    /// Records that engines are known, from which time on this instance waits for the evacuations.
    pub fn expect(&mut self, now: time::Time) {
        if let Stage::Expected { wait } = self.stage {
            self.stage = Stage::Awaited {
                until: now.after(wait),
            };
        }
    }

    /// Ends a wait that took too long, forgets old withdrawals, and returns what is to be logged.
    /// `is_known` returns `true` for a domain that something known belongs to.
    pub fn tick(&mut self, now: time::Time, is_known: impl Fn(&name::Name) -> bool) -> Vec<Change> {
        let mut changes = Vec::new();
        if matches!(self.stage, Stage::Awaited { until } if until <= now) {
            self.stage = Stage::Settled;
            changes.push(Change::NotRead);
        }
        self.withdrawn.retain(|_, at| at.after(RETENTION) > now);
        for (domain, evacuation) in &mut self.domains {
            let is_due = evacuation.since.after(UNKNOWN_AFTER) <= now;
            if is_due && !evacuation.is_reported {
                evacuation.is_reported = true;
                if !is_known(domain) {
                    changes.push(Change::UnknownDomain(domain.clone()));
                }
            }
        }
        changes
    }

    /// Returns `true` while this instance waits for the evacuations and uses no engine.
    pub fn is_waiting(&self) -> bool {
        self.stage != Stage::Settled
    }

    /// Returns `true` if engines of a domain get no new requests.
    pub fn contains(&self, domain: &name::Name) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns from when engines of a domain may get requests; [`time::Time::MAX`] during an
    /// evacuation. `phase`, between 0 and 1, is the part of the spread to wait after a withdrawal.
    pub fn usable_at(&self, domain: &name::Name, phase: f64) -> time::Time {
        if self.is_waiting() || self.contains(domain) {
            return time::Time::MAX;
        }
        let withdrawn = self.withdrawn.get(domain);
        withdrawn.map_or(time::Time::default(), |at| {
            at.after(RETURN_DELAY).after(RETURN_SPREAD.mul_f64(phase))
        })
    }

    /// Returns when the evacuation of a domain was withdrawn, if it was lately.
    pub fn withdrawn_at(&self, domain: &name::Name) -> Option<time::Time> {
        self.withdrawn.get(domain).copied()
    }
}
