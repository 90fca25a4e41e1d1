//! Seeded arrivals: conversations of several turns in several workspaces.

use std::collections;
use std::sync;

use guavausher_core::declaration;
use guavausher_core::routing;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::engine;

/// Blocks of the instructions that all prompts of a workspace begin with.
const SYSTEM_BLOCKS: u32 = 40;
/// Longest prompt in blocks.
const MAX_BLOCKS: u32 = 192;
/// Share of arrivals that ask a quick question, in percent.
const QUICK_PERCENT: u32 = 60;
/// Share of answers that are followed by another turn, in percent.
const CONTINUE_PERCENT: u32 = 70;
/// Shortest time between two turns in microseconds.
const THINK_MICROS: u64 = 20_000_000;
/// Output tokens of a quick answer, from and to.
const QUICK_OUTPUT: (u32, u32) = (32, 96);
/// Output tokens of a long answer, from and to.
const LONG_OUTPUT: (u32, u32) = (160, 480);
/// Question blocks, from and to.
const QUESTION_BLOCKS: (u32, u32) = (4, 20);
/// Step length that defines the fleet's capacity, in microseconds.
const CAPACITY_STEP_MICROS: f64 = 37_000.0;

/// One arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Arrival time in microseconds from the start.
    pub at: u64,
    /// Index of the workspace.
    pub workspace: usize,
    /// Entry that the balancer picked.
    pub entry: usize,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Block chain of prompt and output.
    pub blocks: sync::Arc<[u64]>,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
}

/// What arrives.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Seed.
    pub seed: u64,
    /// Length in microseconds.
    pub length: u64,
    /// Entries.
    pub entries: usize,
    /// Requests a second of each workspace.
    pub rates: Vec<f64>,
}

/// Returns the requests a second that keep every slot of a fleet busy.
pub fn capacity(engines: usize) -> f64 {
    let quick = f64::from(QUICK_OUTPUT.0 + QUICK_OUTPUT.1) / 2.0;
    let long = f64::from(LONG_OUTPUT.0 + LONG_OUTPUT.1) / 2.0;
    let share = f64::from(QUICK_PERCENT) / 100.0;
    let tokens = share * quick + (1.0 - share) * long;
    let hold = tokens * CAPACITY_STEP_MICROS / 1e6;
    (engines * engine::SLOTS) as f64 / hold
}

/// Builds the arrivals in order of time.
pub fn arrivals(demand: &Demand) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (workspace, &rate) in demand.rates.iter().enumerate() {
        all.extend(of_workspace(demand, workspace, rate));
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.workspace));
    all
}

struct Conversation {
    id: u64,
    blocks: u32,
    ready: u64,
}

fn of_workspace(demand: &Demand, workspace: usize, rate: f64) -> Vec<Arrival> {
    let mut rng = rngs::SmallRng::seed_from_u64(demand.seed.wrapping_mul(31) + workspace as u64);
    let mut open = collections::VecDeque::<Conversation>::new();
    let mut arrivals = Vec::new();
    let mut at = 0;
    let mut next = 0;
    loop {
        let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / rate;
        at += (gap * 1e6) as u64;
        if at >= demand.length {
            return arrivals;
        }
        let ready = open
            .front()
            .is_some_and(|conversation| conversation.ready <= at);
        let mut conversation = match ready.then(|| open.pop_front()).flatten() {
            Some(conversation) => conversation,
            None => {
                next += 1;
                let id = next << 8 | workspace as u64;
                Conversation {
                    id,
                    blocks: SYSTEM_BLOCKS,
                    ready: 0,
                }
            }
        };
        let quick = rng.random_range(0..100) < QUICK_PERCENT;
        let range = if quick { QUICK_OUTPUT } else { LONG_OUTPUT };
        let output = rng.random_range(range.0..=range.1);
        let question = rng.random_range(QUESTION_BLOCKS.0..=QUESTION_BLOCKS.1);
        let prompt = conversation.blocks + question;
        let total = prompt + output / routing::BLOCK_TOKENS;
        arrivals.push(Arrival {
            at,
            workspace,
            entry: rng.random_range(0..demand.entries),
            priority: if quick {
                declaration::Priority::Quick
            } else {
                declaration::Priority::Long
            },
            blocks: (0..total)
                .map(|index| block(workspace, conversation.id, index))
                .collect(),
            prompt: prompt * routing::BLOCK_TOKENS,
            output,
        });
        conversation.blocks = total;
        conversation.ready = at + THINK_MICROS;
        let goes_on = rng.random_range(0..100) < CONTINUE_PERCENT;
        if goes_on && total < MAX_BLOCKS {
            open.push_back(conversation);
        }
    }
}

/// Returns a block hash; the first blocks are shared by the whole workspace.
fn block(workspace: usize, conversation: u64, index: u32) -> u64 {
    let owner = if index < SYSTEM_BLOCKS {
        workspace as u64 + 1
    } else {
        conversation << 4
    };
    mix(mix(owner) ^ u64::from(index))
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
