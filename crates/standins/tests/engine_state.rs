//! Cache, KV, load and orders of the engine.

mod support;

use guavausher_standins::engine;
use guavausher_standins::handle;
use guavausher_standins::load;
use rstest::rstest;

const WORDS: &str = "a b c d e f g h i j k l m n o p q r s t u v w x y z";

fn start(config: engine::Config) -> handle::Handle {
    engine::start(engine::Config {
        token_ms: 1,
        ..config
    })
    .unwrap()
}

fn done(engine: &handle::Handle, headers: &[(&str, &str)], prompt: &str) -> serde_json::Value {
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": 6 }).to_string();
    let answer = support::send(engine.address(), "POST", "/v1/chat", headers, &body).unwrap();
    answer.done().unwrap()
}

#[rstest]
#[case::too_short(15, 0)]
#[case::one(16, 1)]
#[case::unfinished(33, 2)]
fn blocks_chain_hashes(#[case] words: usize, #[case] count: usize) {
    let words = (0..words).map(|i| format!("w{i}")).collect::<Vec<_>>();
    let chain = engine::blocks(words.iter().map(String::as_str));
    assert_eq!(chain.len(), count);
    let mut previous = 0_u64;
    for (block, hash) in words.chunks(engine::BLOCK_WORDS).zip(chain) {
        let bytes = [&previous.to_le_bytes(), block.join(" ").as_bytes()].concat();
        previous = twox_hash::XxHash64::oneshot(0, &bytes);
        assert_eq!(hash, previous);
    }
}

#[rstest]
#[case::roomy(64, 16)]
#[case::none(0, 0)]
fn cache_counts_hits(#[case] cache_blocks: usize, #[case] cached: u64) {
    let engine = start(engine::Config {
        cache_blocks,
        ..engine::Config::default()
    });
    assert_eq!(done(&engine, &[], WORDS)["cached"], 0);
    let again = done(&engine, &[], WORDS);
    assert_eq!(
        (again["cached"].as_u64(), again["prompt"].as_u64()),
        (Some(cached), Some(26))
    );
}

#[test]
fn cache_evicts_oldest() {
    let engine = start(engine::Config {
        cache_blocks: 2,
        ..engine::Config::default()
    });
    for prompt in [WORDS.to_owned(), format!("1 {WORDS}")] {
        done(&engine, &[], &prompt);
    }
    let events = support::get(engine.address(), "/cache/events?since=0").json();
    let oldest = engine::blocks(WORDS.split(' '))[0];
    let evicted =
        |event: &serde_json::Value| event["evicted"].to_string().contains(&oldest.to_string());
    assert!(events["events"].as_array().unwrap().iter().any(evicted));
    assert_eq!(done(&engine, &[], WORDS)["cached"], 0);
}

#[rstest]
#[case::prompt_and_answer("{}", 0, &[1, 2], 3)]
#[case::later("{}", 2, &[2], 3)]
#[case::late(r#"{"cache_lag_ms":600000}"#, 0, &[], 0)]
#[case::lost(r#"{"cache_gap_rate":1000}"#, 0, &[], 0)]
fn events_are_read(
    #[case] faults: &str,
    #[case] since: u64,
    #[case] want: &[u64],
    #[case] next: u64,
) {
    let engine = start(engine::Config::default());
    support::set_faults(engine.address(), faults);
    done(&engine, &[], WORDS);
    let page = support::get(engine.address(), &format!("/cache/events?since={since}")).json();
    let events = page["events"].as_array().unwrap();
    let seqs = events
        .iter()
        .map(|event| event["seq"].as_u64().unwrap())
        .collect::<Vec<_>>();
    assert_eq!((seqs.as_slice(), page["next"].as_u64()), (want, Some(next)));
}

#[rstest]
#[case::imported(true, 29)]
#[case::recomputed(false, 0)]
fn resume_uses_import(#[case] import: bool, #[case] cached: u64) {
    let (first, second) = (
        start(engine::Config::default()),
        start(engine::Config::default()),
    );
    done(&first, &[("x-attempt-id", "a1")], WORDS);
    let export = support::get(first.address(), "/kv/a1");
    assert_eq!(export.json()["offset"], 6);
    if import {
        assert_eq!(
            support::post(second.address(), "/kv/import", &export.body).status,
            200
        );
    }
    let resumed = done(&second, &[("x-resume-offset", "3")], WORDS);
    assert_eq!(
        (resumed["prompt"].as_u64(), resumed["cached"].as_u64()),
        (Some(29), Some(cached))
    );
}

#[test]
fn export_is_missing() {
    let engine = start(engine::Config::default());
    assert_eq!(support::get(engine.address(), "/kv/none").status, 404);
}

#[rstest]
#[case::fencing_lower(true, 6, 409, "v7")]
#[case::fencing_same(true, 7, 200, "late")]
#[case::fencing_higher(true, 8, 200, "late")]
#[case::no_fencing_lower(false, 6, 200, "late")]
fn order_obeys_fence(
    #[case] fencing: bool,
    #[case] fence: u64,
    #[case] status: u16,
    #[case] version: &str,
) {
    let engine = start(engine::Config {
        fencing,
        ..engine::Config::default()
    });
    let order = |fence: u64, version: &str| {
        let body = serde_json::json!({ "fence": fence, "order": { "version": version } });
        support::post(engine.address(), "/orders", &body.to_string())
    };
    assert_eq!(order(7, "v7").status, 200);
    let late = order(fence, "late");
    assert_eq!(late.status, status);
    if status == 409 {
        assert_eq!(late.json()["fence"], 7);
    }
    assert_eq!(
        support::get(engine.address(), "/load").json()["version"],
        version
    );
}

#[rstest]
#[case::unknown_field(r#"{"fence":1,"order":{"colour":"red"}}"#)]
#[case::no_fence(r#"{"order":{"version":"v2"}}"#)]
fn order_names_bad_body(#[case] body: &str) {
    let engine = start(engine::Config::default());
    assert_eq!(support::post(engine.address(), "/orders", body).status, 400);
}

#[rstest]
#[case::now(0, 1)]
#[case::lagged(600_000, 0)]
fn load_lags(#[case] load_lag_ms: u64, #[case] running: u64) {
    let engine = start(engine::Config {
        load_lag_ms,
        ..engine::Config::default()
    });
    let body = r#"{"prompt":"a","max_tokens":90000}"#;
    let stream = support::open(engine.address(), "POST", "/v1/x", &[], body).unwrap();
    assert_eq!(
        support::get(engine.address(), "/load").json()["running"],
        running
    );
    let report = stream.headers()["x-load"].to_str().unwrap().to_owned();
    assert!(report.starts_with(&format!("queue=0;running={running};slots=64;incarnation=")));
}

#[test]
fn load_tells_its_time() {
    let load_lag_ms = 600_000;
    let engine = start(engine::Config {
        load_lag_ms,
        ..engine::Config::default()
    });
    let before = load::unix_ms();
    let at = support::get(engine.address(), "/load").json()["at_ms"]
        .as_u64()
        .unwrap();
    assert!((before - load_lag_ms..=load::unix_ms() - load_lag_ms).contains(&at));
}
