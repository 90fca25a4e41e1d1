//! Which instances tell each other directly what they do, and which only through summaries.
//!
//! Load: hundreds of instances. Where each tells each other, messages grow with the square of the fleet.
//! A large fleet is divided into groups of bounded size within its failure domains; the members of a group
//! talk to each other, and a few delegates of each group exchange summaries with those of the others.

use std::collections;

use crate::name;

/// Instances that all tell each other; a larger fleet is divided.
pub const MAX_SIZE: usize = 128;
/// Members of a group that speak with the other groups.
pub const MAX_DELEGATES: usize = 3;

/// How a fleet is divided: groups in each failure domain, or 0 if all instances are one group.
///
/// Instances tell it to each other, and the finest division wins, so that all come to agree.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct Division(u32);

/// One group.
#[derive(
    Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct Group {
    /// Its failure domain, or none if all instances are one group.
    pub domain: Option<name::Name>,
    /// Its number in there.
    pub slot: u32,
}

impl Division {
    /// All instances are one group.
    pub const UNDIVIDED: Self = Self(0);

    /// Returns the division that keeps groups small, from the failure domain of each instance.
    pub fn from_domains<'a>(domains: impl Iterator<Item = &'a name::Name>) -> Self {
        let mut sizes = collections::BTreeMap::<_, usize>::new();
        for domain in domains {
            *sizes.entry(domain).or_default() += 1;
        }
        if sizes.values().sum::<usize>() <= MAX_SIZE {
            return Self::UNDIVIDED;
        }
        let largest = sizes.values().max().copied().unwrap_or(0);
        // Powers of two, so that a group is split and never cut across by a finer division.
        let groups = largest.div_ceil(MAX_SIZE).next_power_of_two();
        Self(u32::try_from(groups).unwrap_or(u32::MAX))
    }

    /// Tells whether there is more than one group.
    pub const fn is_divided(self) -> bool {
        self.0 > 0
    }

    /// Returns the group of an instance.
    pub fn group(self, domain: &name::Name, instance: &name::Name) -> Group {
        if !self.is_divided() {
            return Group::default();
        }
        Group {
            domain: Some(domain.clone()),
            slot: (selection_key(instance) % u64::from(self.0)) as u32,
        }
    }
}

/// Returns an instance's place where some are to be chosen. Names of one failure domain are often
/// alike, and a cut there must not meet all that are chosen.
pub fn selection_key(instance: &name::Name) -> u64 {
    twox_hash::XxHash64::oneshot(0, instance.as_bytes())
}
