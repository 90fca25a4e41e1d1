//! Model of one engine: queue, continuous batch, chunked prefill and prefix cache.

use std::collections;
use std::sync;
use std::time::Duration;

use guavausher_core::declaration;
use guavausher_core::routing;
use guavausher_core::routing::reclaim;
use guavausher_core::time;

use crate::cache;

/// Requests that an engine runs at once.
pub const SLOTS: usize = 16;
/// Requests that may wait in an engine; more are refused.
pub const MAX_QUEUE: usize = 64;
/// Blocks that the prefix cache holds.
const CACHE_BLOCKS: usize = 4_000;
/// Prompt tokens computed in one step at most.
const CHUNK_TOKENS: u32 = 512;
/// Length of an empty step in microseconds.
const STEP_MICROS: u64 = 20_000;
/// Step time for each decoding stream in microseconds.
const STREAM_MICROS: u64 = 900;
/// Step time for each prompt token in microseconds.
const TOKEN_MICROS: u64 = 40;

/// Speeds that entries assume when streams must leave.
pub const SPEEDS: reclaim::Speeds = reclaim::Speeds {
    gap: Duration::from_millis(36),
    prefill: Duration::from_millis(40),
    transfer: None,
};

/// A request as an engine sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Attempt id.
    pub attempt: u64,
    /// Block chain of the prompt and the coming output.
    pub blocks: sync::Arc<[u64]>,
    /// Prompt tokens, those of a resumed output included.
    pub prompt: u32,
    /// Tokens still to produce.
    pub output: u32,
    /// Scheduling class.
    pub priority: declaration::Priority,
}

/// Something that an engine emits at the end of a step.
#[derive(Clone, Copy, Debug)]
pub enum Output {
    /// One token of an attempt.
    Token {
        /// Attempt id.
        attempt: u64,
    },
    /// The last token went out before.
    Finished {
        /// Attempt id.
        attempt: u64,
        /// Prompt tokens.
        prompt: u32,
        /// Prompt tokens found in the cache.
        cached: u32,
    },
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Whether it runs at all.
    pub up: bool,
    /// Slows every step by this factor, in thousandths.
    pub slowness: u64,
    /// Incarnation.
    pub incarnation: u64,
    /// Whether a step is in progress.
    pub busy: bool,
    /// Prompt tokens computed that some engine had computed before.
    pub recomputed: u64,
    cache: cache::Cache,
    event: routing::CacheEvent,
    queue: collections::VecDeque<Job>,
    running: Vec<Stream>,
}

#[derive(Clone, Debug)]
struct Stream {
    job: Job,
    cached: u32,
    prefill: u32,
    produced: u32,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            up: true,
            slowness: 1_000,
            incarnation: 0,
            busy: false,
            recomputed: 0,
            cache: cache::Cache::new(CACHE_BLOCKS),
            event: routing::CacheEvent::default(),
            queue: collections::VecDeque::new(),
            running: Vec::new(),
        }
    }
}

impl Engine {
    /// Queues a job; returns whether it was taken.
    pub fn offer(&mut self, job: Job) -> bool {
        if !self.up || self.queue.len() >= MAX_QUEUE {
            return false;
        }
        self.queue.push_back(job);
        true
    }

    /// Drops a job.
    pub fn cancel(&mut self, attempt: u64) {
        self.queue.retain(|job| job.attempt != attempt);
        self.running.retain(|stream| stream.job.attempt != attempt);
    }

    /// Dies; returns the attempts that were lost.
    pub fn kill(&mut self) -> Vec<u64> {
        self.up = false;
        self.cache = cache::Cache::new(CACHE_BLOCKS);
        let queued = self.queue.drain(..).map(|job| job.attempt);
        let running = self.running.drain(..).map(|stream| stream.job.attempt);
        queued.chain(running).collect()
    }

    /// Returns whether there is work for a step.
    pub fn has_work(&self) -> bool {
        self.up && !(self.queue.is_empty() && self.running.is_empty())
    }

    /// Returns the load at this moment.
    pub fn load(&self, at: time::Time) -> routing::Load {
        routing::Load {
            incarnation: self.incarnation,
            queue: self.queue.len() as u32,
            running: self.running.len() as u32,
            slots: SLOTS as u32,
            at,
        }
    }

    /// Takes the cache changes since the last call.
    pub fn take_event(&mut self) -> routing::CacheEvent {
        let seq = self.event.seq + 1;
        let next = routing::CacheEvent {
            seq,
            ..routing::CacheEvent::default()
        };
        std::mem::replace(&mut self.event, next)
    }

    /// Runs one step; returns its length in microseconds and fills `outputs`.
    pub fn step(&mut self, seen: &mut collections::HashSet<u64>, outputs: &mut Vec<Output>) -> u64 {
        self.fill(seen);
        let mut chunk = CHUNK_TOKENS;
        let mut decoding = 0;
        for stream in &mut self.running {
            if stream.prefill == 0 {
                decoding += 1;
                stream.produced += 1;
                outputs.push(Output::Token {
                    attempt: stream.job.attempt,
                });
                continue;
            }
            let part = stream.prefill.min(chunk);
            chunk -= part;
            stream.prefill -= part;
        }
        self.finish(outputs);
        let tokens = u64::from(CHUNK_TOKENS - chunk);
        let micros = STEP_MICROS + STREAM_MICROS * decoding + TOKEN_MICROS * tokens;
        micros * self.slowness / 1_000
    }

    /// Moves jobs from the queue into the batch, the quick class first.
    fn fill(&mut self, seen: &mut collections::HashSet<u64>) {
        while self.running.len() < SLOTS {
            let quick = |job: &Job| job.priority == declaration::Priority::Quick;
            let place = self.queue.iter().position(quick).unwrap_or(0);
            let Some(job) = self.queue.remove(place) else {
                return;
            };
            let blocks = &job.blocks[..(job.prompt / routing::BLOCK_TOKENS) as usize];
            let matched = self.cache.matched(blocks);
            let repeated = blocks[matched..]
                .iter()
                .filter(|block| !seen.insert(**block))
                .count();
            self.recomputed += repeated as u64 * u64::from(routing::BLOCK_TOKENS);
            let cached = (matched as u32 * routing::BLOCK_TOKENS).min(job.prompt - 1);
            let stored = self.cache.store(blocks);
            self.event.stored.extend(stored.added);
            self.event.evicted.extend(stored.dropped);
            let prefill = job.prompt - cached;
            self.running.push(Stream {
                job,
                cached,
                prefill,
                produced: 0,
            });
        }
    }

    fn finish(&mut self, outputs: &mut Vec<Output>) {
        let done = |stream: &Stream| stream.produced >= stream.job.output;
        for stream in self.running.iter().filter(|stream| done(stream)) {
            outputs.push(Output::Finished {
                attempt: stream.job.attempt,
                prompt: stream.job.prompt,
                cached: stream.cached,
            });
            let stored = self.cache.store(&stream.job.blocks);
            self.event.stored.extend(stored.added);
            self.event.evicted.extend(stored.dropped);
        }
        self.running.retain(|stream| !done(stream));
    }
}
