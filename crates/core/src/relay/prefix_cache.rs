//! Prompt prefixes that engines are expected to have cached.

use std::collections;
use std::hash::Hasher;
use std::time::Duration;

use super::request;
use crate::name;
use crate::time;

/// Maximum number of prefixes remembered.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of engines remembered for one prefix.
const MAX_ENGINES: usize = 4;
/// How long an engine is expected to cache a prefix that no request uses.
const RETENTION: Duration = Duration::from_secs(25);

/// Engines that are expected to have cached each prompt prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    keys: collections::HashMap<u64, Vec<Location>>,
    order: collections::VecDeque<u64>,
}

#[derive(Clone, Debug)]
struct Location {
    engine: name::Name,
    incarnation: u64,
    at: time::Time,
}

/// One prefix of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prefix {
    /// Hash of the ids of its parts.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Returns the prefixes of a prompt that other requests may share, shortest first.
///
/// The last part is specific to the request and belongs to none of them.
pub fn prefixes(request: &request::Request) -> Vec<Prefix> {
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(request.service.as_bytes());
    let mut tokens = 0_u32;
    let parts = request.shared_parts().iter();
    parts
        .map(|part| {
            hasher.write_u64(part.id);
            tokens = tokens.saturating_add(part.tokens);
            Prefix {
                key: hasher.finish(),
                tokens,
            }
        })
        .collect()
}

impl PrefixCache {
    /// Records that an engine processes a prompt.
    pub fn record(
        &mut self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        prefixes: &[Prefix],
    ) {
        for prefix in prefixes {
            let locations = self.entry(prefix.key);
            locations.retain(|s| s.engine != *engine);
            locations.insert(
                0,
                Location {
                    engine: engine.clone(),
                    incarnation,
                    at: now,
                },
            );
            locations.truncate(MAX_ENGINES);
        }
    }

    /// Returns the number of tokens of a prompt that an engine is expected to have cached.
    pub fn cached_tokens(
        &self,
        now: time::Time,
        engine: &name::Name,
        incarnation: u64,
        prefixes: &[Prefix],
    ) -> u32 {
        let is_cached = |prefix: &&Prefix| {
            self.keys.get(&prefix.key).is_some_and(|locations| {
                locations.iter().any(|s| {
                    s.engine == *engine
                        && s.incarnation == incarnation
                        && s.at.after(RETENTION) > now
                })
            })
        };
        let longest = prefixes.iter().take_while(is_cached).last();
        longest.map_or(0, |prefix| prefix.tokens)
    }

    fn entry(&mut self, key: u64) -> &mut Vec<Location> {
        if !self.keys.contains_key(&key) {
            self.order.push_back(key);
            if self.order.len() > MAX_PREFIXES
                && let Some(oldest) = self.order.pop_front()
            {
                self.keys.remove(&oldest);
            }
        }
        self.keys.entry(key).or_default()
    }
}
