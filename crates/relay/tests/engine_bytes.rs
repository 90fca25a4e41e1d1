//! Seeded scripts of engines' bytes: whatever engines send, callers get whole responses of their
//! own requests or visibly broken ones, and no request that must not repeat runs twice.
//!
//! `SCRIPT_SEEDS=FROM-TO` sets the seeds. A failure prints its seed, the request and what the
//! engines did with it.

mod support;

mod engine_bytes {
    pub mod caller;
    pub mod check;
    pub mod engine;
    pub mod plan;
    pub mod reply;
    pub mod script;

    use std::time::Duration;

    /// Engines that a request may be sent to, on each route of [`crate::support::parts`].
    pub const ATTEMPTS: usize = 2;
    /// How long a caller waits for a response that must come.
    pub const PATIENCE: Duration = Duration::from_secs(30);

    /// What the engines of a script do.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Mood {
        /// All responses are proper ones.
        Calm,
        /// Anything.
        Faulty,
        /// The first engine of each request falls silent, and another one may replace it.
        Silent,
    }
}

use std::collections;
use std::env;
use std::ops;
use std::rc;
use std::time::Duration;

use engine_bytes::check::{self, Rule};
use engine_bytes::engine::{self, CLOSE_LIMIT};
use engine_bytes::plan::{Early, Ending, Framing, Plan, Route};
use engine_bytes::script::{Asked, Script, Version};
use engine_bytes::{ATTEMPTS, Mood, PATIENCE, caller};
use rand::prelude::*;
use support::{Engine, Relay};

const SEEDS: ops::RangeInclusive<u64> = 0..=523;
/// Scripts that run at the same time.
const BATCH: usize = 150;
/// Longest time for a batch, on a busy machine too.
const BATCH_LIMIT: Duration = Duration::from_secs(180);
const ENGINES: usize = 3;
/// Engines of a script in which they fall silent, so that there is always one that has not.
const MANY_ENGINES: usize = 8;
/// How long a caller waits for a response that need not come.
const IMPATIENCE: Duration = Duration::from_millis(600);
/// Pause of a stream that is on time, except in calm scripts.
const GAP: Duration = Duration::from_millis(62);
/// Longest body of a request, in bytes, and how often a long one repeats its text. Engines that do not
/// read take less.
const MAX_BODY: usize = 8 << 20;
const LONG: usize = 400_000;

#[test]
fn engine_bytes_seeded_keep_the_rules() {
    let seeds: Vec<u64> = seeds().collect();
    let mut faults = Vec::new();
    for batch in seeds.chunks(BATCH) {
        support::run_within(BATCH_LIMIT, async {
            let scripts = batch
                .iter()
                .map(|seed| tokio::task::spawn_local(play(*seed)));
            for (seed, script) in batch.iter().zip(scripts.collect::<Vec<_>>()) {
                let found = script.await.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
                faults.extend(found);
            }
        });
    }
    let mut counts = collections::BTreeMap::new();
    for (rule, text) in &faults {
        println!("{rule:?} {text}");
        *counts.entry(*rule).or_insert(0) += 1;
    }
    assert!(faults.is_empty(), "in {} scripts: {counts:?}", seeds.len());
}

fn seeds() -> ops::RangeInclusive<u64> {
    let Ok(text) = env::var("SCRIPT_SEEDS") else {
        return SEEDS;
    };
    let (from, to) = text.split_once('-').expect("SCRIPT_SEEDS is FROM-TO");
    from.parse().unwrap()..=to.parse().unwrap()
}

/// Plays one script and returns the rules that it broke, each with what happened.
async fn play(seed: u64) -> Vec<(Rule, String)> {
    let mood = match seed % 8 {
        0 => Mood::Calm,
        1..=3 => Mood::Silent,
        _ => Mood::Faulty,
    };
    let script = rc::Rc::new(draw(seed, mood));
    let relay = start(&script, mood).await;

    let reception = caller::ask_all(&relay, &script.asked).await;
    script.wait_closed(CLOSE_LIMIT).await;
    let mut faults = Vec::new();
    for extra in &reception.extra {
        let why = format!("bytes after the response: {}", extra.bytes);
        faults.push((Rule::Mixed, extra.index, why));
    }
    for (index, asked) in script.asked.iter().enumerate() {
        let runs = script.records[index].runs.borrow();
        let found = check::check(asked, &runs, &reception.got[index], mood);
        let found = found.into_iter();
        faults.extend(found.map(|(rule, why)| (rule, index, String::from(why))));
    }
    let describe = |(rule, index, why): (Rule, usize, String)| {
        let runs = script.records[index].runs.borrow();
        let (asked, got) = (&script.asked[index], &reception.got[index]);
        let (id, route, version) = (&asked.id, asked.route, asked.version);
        let text = format!(
            "seed {seed} ({mood:?}), {id} on {route:?}, {version:?}, {} parts: {why}\n  \
             runs: {runs:#?}\n  got: {got:?}",
            asked.parts
        );
        (rule, text)
    };
    faults.into_iter().map(describe).collect()
}

fn draw(seed: u64, mood: Mood) -> Script {
    let mut dice = StdRng::seed_from_u64(seed);
    let count = dice.random_range(2..7);
    let mut asked: Vec<_> = (0..count)
        .map(|index| draw_asked(&mut dice, format!("r{seed}-{index}"), mood))
        .collect();
    for index in 1..count {
        let before = &asked[index - 1];
        let may_follow = before.version == Version::Http11 && before.repeats == 1;
        asked[index].is_pipelined = may_follow && dice.random_bool(0.2);
    }
    Script::new(asked)
}

fn draw_asked(dice: &mut StdRng, id: String, mood: Mood) -> Asked {
    let routes: &[Route] = match mood {
        Mood::Silent => &Route::IDEMPOTENT,
        Mood::Calm | Mood::Faulty => &Route::ALL,
    };
    let route = *routes.choose(dice).unwrap();
    let parts = dice.random_range(1..5);
    let mut plans: Vec<_> = match mood {
        Mood::Silent => Plan::draw_silent(dice),
        Mood::Calm => (0..=ATTEMPTS).map(|_| Plan::draw_proper(dice)).collect(),
        Mood::Faulty => (0..=ATTEMPTS).map(|_| Plan::draw_any(dice)).collect(),
    };
    let is_long = mood != Mood::Silent && dice.random_bool(0.08);
    for plan in plans.iter_mut().filter(|_| is_long) {
        plan.answer_early(
            *[Early::BeforeRest, Early::AfterResponse]
                .choose(dice)
                .unwrap(),
        );
    }
    let version = match dice.random_range(0..20) {
        0..=2 => Version::Http10,
        3 => Version::Http10Keep,
        _ => Version::Http11,
    };
    Asked {
        id,
        route,
        version,
        is_pipelined: false,
        repeats: if is_long { LONG } else { 1 },
        left: if is_patient(route, &plans, mood) {
            PATIENCE
        } else {
            IMPATIENCE
        },
        parts,
        plans,
    }
}

/// Returns `true` if the response can be waited for: no engine holds it up to the deadline.
fn is_patient(route: Route, plans: &[Plan], mood: Mood) -> bool {
    let is_silent = |plan: &Plan| plan.ending == Ending::Silent;
    match mood {
        Mood::Calm => true,
        Mood::Faulty => false,
        // A response that is no stream is not continued, and its body is waited for. An empty one
        // without a length is broken.
        Mood::Silent if is_silent(&plans[0]) => {
            let can_end = route == Route::Resume && plans[1].framing != Framing::Close;
            can_end && check::completes(&plans[1])
        }
        Mood::Silent => !is_silent(&plans[1]),
    }
}

async fn start(script: &rc::Rc<Script>, mood: Mood) -> Relay {
    let mut parts = support::parts(1);
    parts.limits.body = MAX_BODY;
    for route in &mut parts.routes {
        route.timeout = PATIENCE;
        if mood != Mood::Calm {
            route.goal = IMPATIENCE / 2;
            route.gap = Some(GAP);
        }
    }
    let mut engines = Vec::new();
    let count = match mood {
        Mood::Silent => MANY_ENGINES,
        Mood::Calm | Mood::Faulty => ENGINES,
    };
    for index in 0..count {
        let address = engine::start(index, script.clone()).await;
        engines.push(Engine::at(address));
    }
    Relay::with(parts, &engines.iter().collect::<Vec<_>>())
}
