//! Migration plan for the streams of an upstream that is being reclaimed.

use std::cmp;
use std::time::Duration;

use crate::declaration;
use crate::time;

/// Time before the end of the notice by which all migrations should be done.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);
/// Tokens that [`Speeds::prefill`] and [`Speeds::transfer`] refer to.
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

/// Speeds of the upstreams between which streams are migrated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Speeds {
    /// Time between two output tokens.
    pub gap: Duration,
    /// Time to prefill 1,000 tokens.
    pub prefill: Duration,
    /// Time to transfer the KV cache of 1,000 tokens; `None` if it cannot be exported.
    pub transfer: Option<Duration>,
}

/// How a stream leaves the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It completes at the upstream.
    Finish,
    /// Its KV cache is exported and imported by another upstream.
    Export,
    /// Another upstream recomputes the KV cache of its prompt and output and resumes it.
    Recompute,
}

/// When and how one stream leaves the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// Attempt id.
    pub attempt: u64,
    /// How the stream leaves.
    pub action: Action,
    /// When the migration starts; for [`Action::Finish`] the expected end of the stream.
    pub at: time::Time,
}

/// Plans how the streams of one upstream leave it before it is reclaimed at `reclaim_at`.
///
/// A stream that completes in time stays. Exports run one after the other, those that save the
/// most first; streams that do not fit are recomputed at other upstreams. These migrations are
/// spread over the notice, the quick class first, so that the upstreams that receive them are not
/// overloaded.
pub fn plan(
    now: time::Time,
    reclaim_at: time::Time,
    streams: &[Stream],
    speeds: &Speeds,
) -> Vec<Step> {
    let notice = now.until(reclaim_at).saturating_sub(SAFETY_MARGIN);
    let time_left = |stream: &Stream| speeds.gap.saturating_mul(stream.remaining);
    let (finishing, migrating): (Vec<&Stream>, Vec<&Stream>) =
        streams.iter().partition(|s| time_left(s) <= notice);
    let mut steps: Vec<_> = finishing
        .into_iter()
        .map(|stream| Step {
            attempt: stream.attempt,
            action: Action::Finish,
            at: now.after(time_left(stream)),
        })
        .collect();
    steps.extend(plan_migrations(now, notice, migrating, speeds));
    steps
}

fn plan_migrations(
    now: time::Time,
    notice: Duration,
    mut streams: Vec<&Stream>,
    speeds: &Speeds,
) -> Vec<Step> {
    streams.sort_by_key(|stream| {
        (
            stream.priority,
            cmp::Reverse(stream.kv_tokens),
            stream.attempt,
        )
    });
    let mut steps = Vec::new();
    let mut recomputed = Vec::new();
    let mut export_end = Duration::ZERO;
    for stream in streams {
        match export_time(stream, speeds).filter(|&time| export_end + time <= notice) {
            Some(time) => {
                let at = now.after(export_end);
                steps.push(Step {
                    attempt: stream.attempt,
                    action: Action::Export,
                    at,
                });
                export_end += time;
            }
            None => recomputed.push(stream),
        }
    }
    let longest = recomputed
        .iter()
        .map(|stream| scale(speeds.prefill, stream.kv_tokens))
        .max();
    let window = notice.saturating_sub(longest.unwrap_or_default());
    let count = u32::try_from(recomputed.len()).unwrap_or(u32::MAX).max(1);
    for (position, stream) in (0..).zip(recomputed) {
        let at = now.after(window.saturating_mul(position) / count);
        steps.push(Step {
            attempt: stream.attempt,
            action: Action::Recompute,
            at,
        });
    }
    steps
}

/// Returns the time to export a stream if that is faster than recomputing it.
fn export_time(stream: &Stream, speeds: &Speeds) -> Option<Duration> {
    let transfer = scale(speeds.transfer?, stream.kv_tokens);
    (transfer < scale(speeds.prefill, stream.kv_tokens)).then_some(transfer)
}

fn scale(speed: Duration, tokens: u32) -> Duration {
    let micros = speed.as_micros() as u64 * u64::from(tokens) / SPEED_TOKENS;
    Duration::from_micros(micros)
}
