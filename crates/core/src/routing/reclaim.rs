//! What happens to each stream of an upstream that is being reclaimed.

use std::cmp;
use std::time::Duration;

use crate::declaration;
use crate::time;

/// Time before the end of the notice at which everything should be done.
const MARGIN: Duration = Duration::from_millis(500);
/// Tokens that the given speeds are for.
const SPEED_TOKENS: u64 = 1_000;

/// A stream on an upstream that is being reclaimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stream {
    /// Attempt id.
    pub attempt: u64,
    /// Scheduling class.
    pub priority: declaration::Priority,
    /// Prompt and output tokens whose KV cache the upstream holds.
    pub kv_tokens: u32,
    /// Output tokens still expected.
    pub remaining: u32,
}

/// Speeds of the upstreams that give and take the streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Speeds {
    /// Time between two output tokens.
    pub gap: Duration,
    /// Time to compute 1,000 prompt tokens.
    pub prefill: Duration,
    /// Time to move the KV cache of 1,000 tokens; `None` where it cannot be exported.
    pub transfer: Option<Duration>,
}

/// How a stream leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It ends where it is.
    Finish,
    /// Its KV cache is exported and imported by another upstream.
    Export,
    /// Another upstream computes its prompt and output again and goes on.
    Recompute,
}

/// When and how one stream leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Attempt id.
    pub attempt: u64,
    /// How it leaves.
    pub action: Action,
    /// When the move starts; for [`Action::Finish`] the expected end.
    pub at: time::Time,
}

/// Plans how the streams of one upstream leave before `dies_at`.
///
/// A stream that ends in time stays. Exports go one after the other, those that save the most
/// first; what does not fit is computed again elsewhere. Moves are spread over the notice, the
/// quick class first, so that the upstreams that take them are not flooded.
pub fn plan(
    now: time::Time,
    dies_at: time::Time,
    streams: &[Stream],
    speeds: &Speeds,
) -> Vec<Step> {
    let notice = now.until(dies_at).saturating_sub(MARGIN);
    let ends = |stream: &Stream| speeds.gap.saturating_mul(stream.remaining);
    let (stay, go): (Vec<&Stream>, Vec<&Stream>) = streams.iter().partition(|s| ends(s) <= notice);
    let mut steps: Vec<_> = stay
        .into_iter()
        .map(|stream| Step {
            attempt: stream.attempt,
            action: Action::Finish,
            at: now.after(ends(stream)),
        })
        .collect();
    steps.extend(moves(now, notice, go, speeds));
    steps
}

fn moves(now: time::Time, notice: Duration, mut go: Vec<&Stream>, speeds: &Speeds) -> Vec<Step> {
    go.sort_by_key(|stream| {
        (
            stream.priority,
            cmp::Reverse(stream.kv_tokens),
            stream.attempt,
        )
    });
    let mut steps = Vec::new();
    let mut again = Vec::new();
    let mut busy = Duration::ZERO;
    for stream in go {
        match export_time(stream, speeds).filter(|&time| busy + time <= notice) {
            Some(time) => {
                let at = now.after(busy);
                steps.push(Step {
                    attempt: stream.attempt,
                    action: Action::Export,
                    at,
                });
                busy += time;
            }
            None => again.push(stream),
        }
    }
    let longest = again
        .iter()
        .map(|stream| scaled(speeds.prefill, stream.kv_tokens))
        .max();
    let window = notice.saturating_sub(longest.unwrap_or_default());
    let count = u32::try_from(again.len()).unwrap_or(u32::MAX).max(1);
    for (place, stream) in (0..).zip(again) {
        let at = now.after(window.saturating_mul(place) / count);
        steps.push(Step {
            attempt: stream.attempt,
            action: Action::Recompute,
            at,
        });
    }
    steps
}

/// Returns the time to export a stream where that is faster than computing it again.
fn export_time(stream: &Stream, speeds: &Speeds) -> Option<Duration> {
    let transfer = scaled(speeds.transfer?, stream.kv_tokens);
    (transfer < scaled(speeds.prefill, stream.kv_tokens)).then_some(transfer)
}

fn scaled(speed: Duration, tokens: u32) -> Duration {
    let micros = speed.as_micros() as u64 * u64::from(tokens) / SPEED_TOKENS;
    Duration::from_micros(micros)
}
