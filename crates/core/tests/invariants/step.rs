//! What may happen next, as generated data.

use proptest::prelude::*;

/// One thing that happens; `pick` chooses among what there is at that moment.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A caller sends a request.
    Arrive { entry: usize, kind: Kind, body: u8 },
    /// Callers send quick requests that are answered at once.
    Burst { entry: usize, count: u8 },
    /// A caller goes away.
    Abandon { pick: usize },
    /// An upstream says something about an attempt under way.
    Signal { pick: usize, signal: Signal },
    /// An upstream says something about an attempt that is over.
    Late { pick: usize, signal: Signal },
    /// The store takes a call.
    Serve { pick: usize, fate: Fate },
    /// A reply of the store arrives.
    Reply { pick: usize },
    /// A message between peers arrives, or does not, or twice.
    Pass { pick: usize, copies: u8 },
    /// A link is dialled.
    Dial { pick: usize, works: bool },
    /// A link breaks.
    Cut { first: usize, second: usize },
    /// Store, links and messages work without faults until all is quiet.
    Flow,
    /// Time passes.
    Wait { millis: u32 },
    /// An entry stands still.
    Pause { entry: usize },
    /// A paused entry goes on with all that has come meanwhile.
    Resume { entry: usize },
    /// An entry dies and starts again.
    Restart { entry: usize },
    /// An operator changes the configuration.
    Configure,
    /// An entry reads a configuration, which may be an old one.
    Stale { entry: usize, pick: usize },
    /// An instance's line in the platform's list changes.
    List {
        upstream: usize,
        leaving: bool,
        next: bool,
    },
    /// An entry finds out that an upstream is leaving.
    Leaving { entry: usize, upstream: usize },
    /// The cloud announces that it takes an instance back.
    Notice { upstream: usize },
    /// The controller writes the state of a rollout.
    Rollout { phase: u8, share: u32 },
    /// An entry finds a fault in the new version.
    Halt { entry: usize },
    /// An entry is record to stop.
    Stop { entry: usize, millis: u32 },
}

/// Which request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May be repeated.
    Verse,
    /// May not be repeated; has a key.
    Order { key: u8 },
    /// May not be repeated; has no key.
    Unkeyed,
}

/// What the store does with one call.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Served,
    LostAnswer,
    LostCall,
    /// The caller gives up waiting; the call takes effect at some later time.
    Delayed,
    Refused,
    OldList,
}

/// What an upstream says.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    First,
    Finished { kept: bool },
    Errs,
    Refused,
    NotRun,
    MayHaveRun { tokens: u8 },
    Died { tokens: u8 },
}

pub fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3usize;
    let pick = 0..64usize;
    prop_oneof![
        16 => (entry.clone(), kind(), 0..3u8)
            .prop_map(|(entry, kind, body)| Step::Arrive { entry, kind, body }),
        2 => (entry.clone(), 1..40u8).prop_map(|(entry, count)| Step::Burst { entry, count }),
        2 => pick.clone().prop_map(|pick| Step::Abandon { pick }),
        14 => (pick.clone(), signal()).prop_map(|(pick, signal)| Step::Signal { pick, signal }),
        3 => (pick.clone(), signal()).prop_map(|(pick, signal)| Step::Late { pick, signal }),
        10 => (pick.clone(), fate()).prop_map(|(pick, fate)| Step::Serve { pick, fate }),
        8 => pick.clone().prop_map(|pick| Step::Reply { pick }),
        8 => (pick.clone(), 0..3u8).prop_map(|(pick, copies)| Step::Pass { pick, copies }),
        2 => (pick.clone(), any::<bool>()).prop_map(|(pick, works)| Step::Dial { pick, works }),
        2 => (entry.clone(), entry.clone()).prop_map(|(first, second)| Step::Cut { first, second }),
        8 => Just(Step::Flow),
        8 => (0..2_500u32).prop_map(|millis| Step::Wait { millis }),
        1 => (5_000..40_000u32).prop_map(|millis| Step::Wait { millis }),
        2 => entry.clone().prop_map(|entry| Step::Pause { entry }),
        3 => entry.clone().prop_map(|entry| Step::Resume { entry }),
        1 => entry.clone().prop_map(|entry| Step::Restart { entry }),
        1 => Just(Step::Configure),
        1 => (entry.clone(), pick).prop_map(|(entry, pick)| Step::Stale { entry, pick }),
        3 => (0..5usize, any::<bool>(), any::<bool>())
            .prop_map(|(upstream, leaving, next)| Step::List { upstream, leaving, next }),
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
        3 => Just(Kind::Verse),
        3 => (0..3u8).prop_map(|key| Kind::Order { key }),
        1 => Just(Kind::Unkeyed),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Served),
        1 => Just(Fate::LostAnswer),
        1 => Just(Fate::LostCall),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Refused),
        1 => Just(Fate::OldList),
    ]
}

fn signal() -> impl Strategy<Value = Signal> {
    prop_oneof![
        3 => Just(Signal::First),
        4 => any::<bool>().prop_map(|kept| Signal::Finished { kept }),
        1 => Just(Signal::Errs),
        1 => Just(Signal::Refused),
        2 => Just(Signal::NotRun),
        2 => (0..3u8).prop_map(|tokens| Signal::MayHaveRun { tokens }),
        2 => (0..3u8).prop_map(|tokens| Signal::Died { tokens }),
    ]
}
