//! Selection of the controllers that compete for a lease.

use std::collections;
use std::hash::Hasher;

use crate::lease;
use crate::name;
use crate::peering;

/// Returns the entries whose controllers compete for the lease of a shard, by preference.
///
/// They are selected by rendezvous hashing, as many as possible in different failure domains.
/// So the number of store calls for leases does not grow with the fleet, and candidates remain
/// when a failure domain is lost.
pub fn candidates(members: &[peering::Member], shard: u64) -> Vec<name::Name> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_cached_key(|member| (rank(member, shard), member.name.clone()));
    let mut domains = collections::BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|member| domains.insert(&member.domain));
    let all = first.into_iter().chain(rest);
    all.map(|member| member.name.clone())
        .take(lease::CANDIDATES)
        .collect()
}

fn rank(member: &peering::Member, shard: u64) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(shard);
    hasher.write(member.name.as_bytes());
    hasher.finish()
}
