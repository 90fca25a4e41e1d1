//! Groups of instances: which instances exchange digests directly, and which only summaries.
//!
//! Load: hundreds of instances. If all exchange digests, messages grow with the square of the
//! fleet. A large fleet is therefore divided into groups of bounded size within its failure
//! domains. The members of a group exchange digests, and a few delegates of each group exchange
//! summaries with those of the others.

use std::collections;
use std::hash::Hasher;

use crate::name;

/// Instances that can form a single group; a larger fleet is divided.
pub const MAX_SIZE: usize = 128;
/// Members of a group that exchange summaries with other groups.
pub const MAX_DELEGATES: usize = 3;

/// How a fleet is divided: the number of groups in each failure domain, or 0 if all instances form
/// one group.
///
/// Instances exchange it and adopt the finest division, so that all come to agree.
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
    /// Its failure domain, or `None` if all instances form one group.
    pub domain: Option<name::Name>,
    /// Its number within the failure domain.
    pub slot: u32,
}

impl Division {
    /// All instances form one group.
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
        // A power of two, so that a finer division only splits groups and never regroups their
        // members.
        let groups = largest.div_ceil(MAX_SIZE).next_power_of_two();
        Self(u32::try_from(groups).unwrap_or(u32::MAX))
    }

    /// Returns `true` if there is more than one group.
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

/// Returns the key by which instances are ordered where some are to be selected. It is a hash,
/// because instances of one failure domain often have similar names, and a network partition
/// around the domain must not affect all that are selected.
pub fn selection_key(instance: &name::Name) -> u64 {
    twox_hash::XxHash64::oneshot(0, instance.as_bytes())
}

/// Returns the rank of a candidate for a key (rendezvous hashing). All instances agree on the order
/// of the candidates without exchanging messages.
pub fn rendezvous_rank(key: u64, candidate: &name::Name) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(key);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}
