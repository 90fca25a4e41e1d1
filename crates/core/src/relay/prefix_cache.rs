//! Which engines have read which beginnings of prompts.

use std::collections;
use std::hash::Hasher;
use std::time::Duration;

use super::request;
use crate::name;
use crate::time;

/// Beginnings that are remembered.
const MAX_KEYS: usize = 4_096;
/// Engines that are remembered for one beginning.
const MAX_ENGINES: usize = 4;
/// How long an engine is expected to keep a beginning that nobody asks for.
const RETENTION: Duration = Duration::from_secs(25);

/// Beginnings of prompts by the engines that have read them.
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

/// One beginning of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prefix {
    /// Hash of the ids of its parts.
    pub key: u64,
    /// Its length.
    pub tokens: u32,
}

/// Returns the beginnings of a prompt that others may share, shortest first.
///
/// The last part is the request's own and belongs to none.
pub fn prefixes(request: &request::Request) -> Vec<Prefix> {
    let shared = request.parts.len().saturating_sub(1);
    let mut hasher = twox_hash::XxHash64::with_seed(0);
    hasher.write(request.service.as_bytes());
    let mut tokens = 0_u32;
    let parts = request.parts[..shared].iter();
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

/// Returns the engine's place for a beginning: all instances agree on the order without a message.
pub fn rank(key: u64, engine: &name::Name) -> u64 {
    let mut hasher = twox_hash::XxHash64::with_seed(key);
    hasher.write(engine.as_bytes());
    hasher.finish()
}

impl PrefixCache {
    /// Notes that an engine reads a prompt.
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

    /// Returns how many tokens of a prompt an engine keeps, as far as known.
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
            if self.order.len() > MAX_KEYS
                && let Some(oldest) = self.order.pop_front()
            {
                self.keys.remove(&oldest);
            }
        }
        self.keys.entry(key).or_default()
    }
}
