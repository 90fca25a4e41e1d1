//! Steps of a simulation, as generated data.

use proptest::prelude::*;

/// One step; `pick` selects among the items that exist at that moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller sends a request.
    Arrive { entry: usize, kind: Kind, body: u8 },
    /// Callers send requests that complete at once.
    CompleteMany { entry: usize, count: u8 },
    /// A caller disconnects.
    Abandon { pick: usize },
    /// An upstream signals progress or the end of a running attempt.
    Signal { pick: usize, signal: Signal },
    /// An upstream signals something about an attempt that has ended.
    Late { pick: usize, signal: Signal },
    /// The store handles a call.
    Serve { pick: usize, outcome: CallOutcome },
    /// A reply of the store arrives.
    Reply { pick: usize },
    /// A message between peers arrives once, twice or not at all.
    Deliver { pick: usize, copies: u8 },
    /// A link is dialled.
    Dial { pick: usize, succeeds: bool },
    /// A link is closed.
    Unlink { first: usize, second: usize },
    /// Calls, dials and messages succeed until nothing is pending.
    Quiesce,
    /// Time passes.
    Wait { millis: u32 },
    /// An entry is paused.
    Pause { entry: usize },
    /// A paused entry continues with the events that have arrived meanwhile.
    Resume { entry: usize },
    /// An entry crashes and restarts.
    Restart { entry: usize },
    /// An operator changes the configuration.
    Configure,
    /// An entry receives a configuration that may be an old one.
    OldConfig { entry: usize, pick: usize },
    /// An instance in the platform's list changes.
    ChangeList {
        upstream: usize,
        leaving: bool,
        next: bool,
    },
    /// An entry detects that an upstream is leaving.
    Leaving { entry: usize, upstream: usize },
    /// The cloud announces that it reclaims an instance.
    Notice { upstream: usize },
    /// The controller writes the status of a rollout.
    Rollout { phase: u8, share: u32 },
    /// An entry halts the new version.
    Halt { entry: usize },
    /// An entry is asked to stop.
    Stop { entry: usize, millis: u32 },
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May be retried.
    Idempotent,
    /// Not idempotent; has an idempotency key.
    Keyed { key: u8 },
    /// Not idempotent; has no key.
    Unkeyed,
}

/// Outcome of a store call.
#[derive(Clone, Copy, Debug)]
pub enum CallOutcome {
    Served,
    LostReply,
    LostCall,
    /// The caller stops waiting; the call takes effect later.
    Delayed,
    Refused,
    OldList,
}

/// What an upstream signals about an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    First,
    Finished { kept: bool },
    ErrorStatus,
    Refused,
    NotRun,
    MayHaveRun { tokens: u8 },
    Crashed { tokens: u8 },
    Silent,
}

pub fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3usize;
    let pick = 0..64usize;
    prop_oneof![
        16 => (entry.clone(), kind(), 0..3u8)
            .prop_map(|(entry, kind, body)| Step::Arrive { entry, kind, body }),
        2 => (entry.clone(), 1..40u8)
            .prop_map(|(entry, count)| Step::CompleteMany { entry, count }),
        2 => pick.clone().prop_map(|pick| Step::Abandon { pick }),
        14 => (pick.clone(), signal()).prop_map(|(pick, signal)| Step::Signal { pick, signal }),
        3 => (pick.clone(), signal()).prop_map(|(pick, signal)| Step::Late { pick, signal }),
        10 => (pick.clone(), outcome()).prop_map(|(pick, outcome)| Step::Serve { pick, outcome }),
        8 => pick.clone().prop_map(|pick| Step::Reply { pick }),
        8 => (pick.clone(), 0..3u8).prop_map(|(pick, copies)| Step::Deliver { pick, copies }),
        2 => (pick.clone(), any::<bool>())
            .prop_map(|(pick, succeeds)| Step::Dial { pick, succeeds }),
        2 => (entry.clone(), entry.clone())
            .prop_map(|(first, second)| Step::Unlink { first, second }),
        8 => Just(Step::Quiesce),
        8 => (0..2_500u32).prop_map(|millis| Step::Wait { millis }),
        1 => (5_000..40_000u32).prop_map(|millis| Step::Wait { millis }),
        2 => entry.clone().prop_map(|entry| Step::Pause { entry }),
        3 => entry.clone().prop_map(|entry| Step::Resume { entry }),
        1 => entry.clone().prop_map(|entry| Step::Restart { entry }),
        1 => Just(Step::Configure),
        1 => (entry.clone(), pick).prop_map(|(entry, pick)| Step::OldConfig { entry, pick }),
        3 => (0..5usize, any::<bool>(), any::<bool>())
            .prop_map(|(upstream, leaving, next)| Step::ChangeList { upstream, leaving, next }),
        1 => (entry.clone(), 0..5usize)
            .prop_map(|(entry, upstream)| Step::Leaving { entry, upstream }),
        2 => (0..5usize).prop_map(|upstream| Step::Notice { upstream }),
        3 => (0..8u8, 1..1_000u32).prop_map(|(phase, share)| Step::Rollout { phase, share }),
        2 => entry.clone().prop_map(|entry| Step::Halt { entry }),
        1 => (entry, 0..12_000u32).prop_map(|(entry, millis)| Step::Stop { entry, millis }),
    ]
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        3 => Just(Kind::Idempotent),
        3 => (0..3u8).prop_map(|key| Kind::Keyed { key }),
        1 => Just(Kind::Unkeyed),
    ]
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        8 => Just(CallOutcome::Served),
        1 => Just(CallOutcome::LostReply),
        1 => Just(CallOutcome::LostCall),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::Refused),
        1 => Just(CallOutcome::OldList),
    ]
}

fn signal() -> impl Strategy<Value = Signal> {
    prop_oneof![
        3 => Just(Signal::First),
        4 => any::<bool>().prop_map(|kept| Signal::Finished { kept }),
        1 => Just(Signal::ErrorStatus),
        1 => Just(Signal::Refused),
        2 => Just(Signal::NotRun),
        2 => (0..3u8).prop_map(|tokens| Signal::MayHaveRun { tokens }),
        2 => (0..3u8).prop_map(|tokens| Signal::Crashed { tokens }),
        3 => Just(Signal::Silent),
    ]
}
