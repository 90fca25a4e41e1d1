//! Seeded scripts of engines' bytes: whatever engines send, callers get whole responses of their
//! own requests or visibly broken ones, and no request that must not repeat runs twice.
//!
//! `SCRIPT_SEEDS=FROM-TO` sets the seeds. A failure prints its seed, the request and what the
//! engines did with it.

mod support;

mod engine_bytes {
    pub mod engine;
    pub mod plan;
}

use std::collections;
use std::env;
use std::ops;
use std::rc;
use std::time::Duration;

use engine_bytes::engine::{self, Asked, Run, Script};
use engine_bytes::plan::{Plan, Route};
use rand::prelude::*;
use support::{Caller, Engine, Relay, Response, request};

const SEEDS: ops::RangeInclusive<u64> = 0..=299;
/// Scripts that run at the same time.
const BATCH: usize = 50;
const ENGINES: usize = 3;
/// Engines that a request may be sent to, on each route of [`support::parts`].
const ATTEMPTS: usize = 2;
/// Every so many scripts, all responses are proper ones.
const CALM: u64 = 8;
/// Timeout of the routes, except in calm scripts.
const TIMEOUT: Duration = Duration::from_millis(600);
/// How long after a route's timeout a response must have ended, on a busy machine too.
const MARGIN: Duration = Duration::from_secs(8);
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A broken rule.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rule {
    /// A success looks complete but is not the whole response of an engine.
    Whole,
    /// Bytes of another request or of another engine, or a status or stamp that is not the engine's.
    Mixed,
    /// A promise that the request has not run, though it has.
    Promise,
    /// A request that may run once runs twice.
    Twice,
    /// A request is sent to more engines than its route allows.
    Attempts,
    /// A request has no end.
    Endless,
    /// A proper response is not passed on.
    Served,
}

/// What a caller got.
#[derive(Clone, Debug)]
enum Got {
    Response(Response),
    /// The connection was closed before a response.
    Closed,
    /// Nothing came in time.
    Nothing,
}

#[test]
fn engine_bytes_seeded_keep_the_rules() {
    let seeds: Vec<u64> = seeds().collect();
    let mut faults = Vec::new();
    for batch in seeds.chunks(BATCH) {
        support::run(async {
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
    let is_calm = seed.is_multiple_of(CALM);
    let script = rc::Rc::new(draw(seed, is_calm));
    let relay = start(&script, is_calm).await;
    let mut got = Vec::new();
    let mut caller = relay.caller().await;
    let mut faults = Vec::new();
    for (index, asked) in script.asked.iter().enumerate() {
        let body = format!("body of {}", asked.id);
        let path = format!("{}{}", asked.route.path(), asked.id);
        caller.send(&request("POST", &path, &asked.id, &body)).await;
        let answer = receive(&mut caller, is_calm).await;
        if !caller.bytes.is_empty() {
            let extra = String::from_utf8_lossy(&caller.bytes).into_owned();
            faults.push((
                Rule::Mixed,
                index,
                format!("bytes after the response: {extra}"),
            ));
        }
        if !keeps(&answer) || !caller.bytes.is_empty() {
            caller = relay.caller().await;
        }
        got.push(answer);
    }
    for (index, asked) in script.asked.iter().enumerate() {
        let runs = script.runs[index].borrow();
        let found = check(asked, &runs, &got[index], is_calm);
        faults.extend(
            found
                .into_iter()
                .map(|(rule, why)| (rule, index, String::from(why))),
        );
    }
    let describe = |(rule, index, why): (Rule, usize, String)| {
        let runs = script.runs[index].borrow();
        let asked = &script.asked[index];
        let text = format!(
            "seed {seed}, {} on {:?}, {} parts: {why}\n  runs: {runs:#?}\n  got: {:?}",
            asked.id, asked.route, asked.parts, got[index]
        );
        (rule, text)
    };
    faults.into_iter().map(describe).collect()
}

fn draw(seed: u64, is_calm: bool) -> Script {
    let mut dice = StdRng::seed_from_u64(seed);
    let asked = (0..dice.random_range(2..7)).map(|index| Asked {
        id: format!("r{seed}-{index}"),
        route: *Route::ALL.choose(&mut dice).unwrap(),
        parts: dice.random_range(1..5),
        plans: (0..=ATTEMPTS)
            .map(|_| Plan::draw(&mut dice, is_calm))
            .collect(),
    });
    let asked: Vec<_> = asked.collect();
    let runs = asked.iter().map(|_| Default::default()).collect();
    Script { asked, runs }
}

async fn start(script: &rc::Rc<Script>, is_calm: bool) -> Relay {
    let mut parts = support::parts(1);
    for route in parts.routes.iter_mut().filter(|_| !is_calm) {
        route.timeout = TIMEOUT;
        route.goal = TIMEOUT / 2;
        route.gap = Some(engine::PAUSE / 4);
    }
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let address = engine::start(index, script.clone()).await;
        engines.push(Engine {
            address,
            ..Engine::start(Vec::new()).await
        });
    }
    Relay::with(parts, &engines.iter().collect::<Vec<_>>())
}

async fn receive(caller: &mut Caller, is_calm: bool) -> Got {
    let timeout = if is_calm { support::LIMIT } else { TIMEOUT };
    match tokio::time::timeout(timeout + MARGIN, caller.response()).await {
        Ok(Some(response)) => Got::Response(response),
        Ok(None) => Got::Closed,
        Err(_) => Got::Nothing,
    }
}

/// Returns `true` if the caller's connection can be used for the next request.
fn keeps(got: &Got) -> bool {
    match got {
        Got::Response(response) => response.is_complete && response.header("connection").is_none(),
        Got::Closed | Got::Nothing => false,
    }
}

/// Returns the rules that the response to one request breaks, and how.
fn check(asked: &Asked, runs: &[Run], got: &Got, is_calm: bool) -> Vec<(Rule, &'static str)> {
    let mut faults = Vec::new();
    let times_run = runs.iter().filter(|r| r.has_run()).count();
    if !asked.route.is_idempotent() && times_run > 1 {
        faults.push((Rule::Twice, "ran twice"));
    }
    let engines: collections::BTreeSet<_> = runs.iter().map(|r| r.engine).collect();
    if engines.len() > ATTEMPTS || runs.len() > ATTEMPTS {
        faults.push((Rule::Attempts, "sent to too many engines"));
    }
    if matches!(got, Got::Nothing) {
        faults.push((Rule::Endless, "no response in time"));
    }
    let Got::Response(response) = got else {
        if is_calm {
            faults.push((Rule::Served, "no response"));
        }
        return faults;
    };
    if is_calm && !(response.status == 200 && response.is_complete) {
        faults.push((Rule::Served, "no success"));
    }
    let is_promise = PROMISES.contains(&response.status);
    if !asked.route.is_idempotent() && is_promise && times_run > 0 {
        faults.push((Rule::Promise, "refused as not run"));
    }
    faults.extend(check_bytes(asked, runs, response).err());
    faults
}

/// Checks that each byte of a response is of the right request and engine.
fn check_bytes(
    asked: &Asked,
    runs: &[Run],
    response: &Response,
) -> Result<(), (Rule, &'static str)> {
    if response.header("x-id").is_some_and(|id| id != asked.id) {
        return Err((Rule::Mixed, "id of another request"));
    }
    let Some(stamp) = response.header("x-stamp") else {
        let is_own = response.status >= 400 && response.body.starts_with(b"{\"error\"");
        return is_own
            .then_some(())
            .ok_or((Rule::Mixed, "neither the relay's nor an engine's"));
    };
    let run = runs.iter().position(|r| r.stamp == stamp);
    let run = run.ok_or((Rule::Mixed, "stamp of no run"))?;
    if runs[run].status != response.status {
        return Err((Rule::Mixed, "status is not the engine's"));
    }
    let is_success = response.status == 200;
    let body = response.text();
    if asked.route == Route::Resume && is_success {
        return check_resumed(&runs[run..], body, response.is_complete);
    }
    match response.is_complete {
        true if runs[run].complete.as_deref() == Some(body) => Ok(()),
        _ if !runs[run].body().starts_with(body) => Err((Rule::Mixed, "bytes of another response")),
        true => Err((Rule::Whole, "looks complete")),
        false => Ok(()),
    }
}

/// Checks a stream that may continue at the next engines, after a whole event each.
fn check_resumed(
    mut runs: &[Run],
    mut body: &str,
    is_complete: bool,
) -> Result<(), (Rule, &'static str)> {
    let count = runs[0].parts.len();
    for next in 0..count {
        let is_next = |run: &Run| body.starts_with(&run.parts[next]);
        let Some(run) = runs.iter().position(is_next) else {
            let is_begun = runs.iter().any(|run| run.parts[next].starts_with(body));
            let may_end = runs[0].complete.is_some() && next > runs[0].first;
            return match (is_begun, is_complete) {
                (false, _) => Err((Rule::Mixed, "events out of order or of another response")),
                (true, true) if !(body.is_empty() && may_end) => {
                    Err((Rule::Whole, "looks complete"))
                }
                _ => Ok(()),
            };
        };
        body = &body[runs[run].parts[next].len()..];
        runs = &runs[run..];
    }
    body.is_empty()
        .then_some(())
        .ok_or((Rule::Mixed, "bytes after the last event"))
}
