//! Prompts of simulated requests, and parts of them that crash engines.

use guavausher_core::relay::request;

/// Identifier of the first part that crashes engines; further ones follow it.
const FIRST_CRASHING: u64 = 0xbad0;
/// Identifier of the first popular part, with which prompts begin.
const FIRST_POPULAR: u64 = 100;
/// Number of popular parts.
const POPULAR: u64 = 4;
/// Identifier of the first less popular part, which comes second.
const FIRST_COMMON: u64 = 1_000;
/// Number of less popular parts in use at a time.
const COMMON: u64 = 24;
/// Steps after which one of these is replaced by a new one.
const RENEWAL_STEPS: u64 = 20;
/// Identifier of the first part that belongs to one request.
const FIRST_OWN: u64 = 1 << 40;
/// Length of each part in tokens.
const TOKENS: u32 = 100;

/// A part of prompts that crashes each engine that begins to respond to it.
#[derive(Clone, Copy, Debug)]
pub struct CrashingPart {
    /// Its position in the prompt, before the last part.
    pub position: usize,
    /// Step from which requests with it arrive.
    pub since: u64,
    /// Steps between two of them.
    pub interval: u64,
}

impl CrashingPart {
    /// Returns `true` if a request with this part arrives in a step.
    pub fn is_due(&self, step: u64) -> bool {
        step >= self.since && (step - self.since).is_multiple_of(self.interval)
    }
}

/// Returns the prompt of a request without a crashing part; the popular ones are drawn most often.
pub fn sound(request: u64, step: u64, draws: [u64; 2]) -> Vec<request::Part> {
    let popular = (draws[0] % POPULAR).min(draws[0] / POPULAR % POPULAR);
    let common = (draws[1] % COMMON).min(draws[1] / COMMON % COMMON);
    let ids = [
        FIRST_POPULAR + popular,
        FIRST_COMMON + step / RENEWAL_STEPS + common,
        FIRST_OWN + request,
    ];
    ids.map(part).to_vec()
}

/// Replaces a part of a sound prompt by the crashing part with this number.
pub fn crashing(
    mut sound: Vec<request::Part>,
    number: usize,
    position: usize,
) -> Vec<request::Part> {
    sound[position] = part(FIRST_CRASHING + number as u64);
    sound
}

/// Returns the number of the crashing part in a prompt, if there is one.
pub fn crashing_number(prompt: &[request::Part]) -> Option<usize> {
    let ids = prompt.iter().map(|part| part.id);
    let mut crashing = ids.filter(|id| (FIRST_CRASHING..FIRST_CRASHING + 16).contains(id));
    crashing.next().map(|id| (id - FIRST_CRASHING) as usize)
}

fn part(id: u64) -> request::Part {
    request::Part { id, tokens: TOKENS }
}
