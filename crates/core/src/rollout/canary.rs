//! The order in which the upstreams of a new version receive requests.

use std::hash::Hasher;

use crate::name;

/// Returns the rank of an upstream of a new version, which is the same at all entries.
///
/// While a rollout runs, a request for the new version goes to the upstream of lowest rank that
/// has a free slot. So a small share fills one upstream after the other, and a fault that occurs
/// only under load is found early. No request is queued at a full canary while another is free.
pub fn rank(version: &name::Name, upstream: &name::Name) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(version.as_bytes());
    hasher.write_u8(0);
    hasher.write(upstream.as_bytes());
    hasher.finish()
}
