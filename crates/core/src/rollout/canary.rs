//! Which upstreams of a new version are loaded first.

use std::hash::Hasher;

use crate::name;

/// Returns the rank of an upstream of a new version; all entries agree on it.
///
/// While a rollout runs, a request for the new version goes to the upstream of lowest rank that
/// has a free slot. So a small share fills one upstream after the other, and a fault that only
/// shows under load shows early; a full canary is never queued at while another is free.
pub fn rank(version: &name::Name, upstream: &name::Name) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(version.as_bytes());
    hasher.write_u8(0);
    hasher.write(upstream.as_bytes());
    hasher.finish()
}
