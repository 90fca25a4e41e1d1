//! Scenarios, plans, events and offsets.

use std::time;

use guavausher_load::event;
use guavausher_load::plan;
use guavausher_load::progress;
use guavausher_load::scenario;
use rstest::rstest;

const SCENARIO: &str = "targets = [\"127.0.0.1:1\", \"127.0.0.1:2\"]
rate = 100
duration = 10
seed = 3
[[requests]]
path = \"/v1/chat\"
weight = 3
words = 8
shared = 4
[[requests]]
path = \"/order\"
weight = 1
";

fn parse(text: &str) -> Result<scenario::Scenario, scenario::Error> {
    let scenario = scenario::Scenario::parse(text)?;
    scenario.check()?;
    Ok(scenario)
}

#[rstest]
#[case::outside("127.0.0.1:2", "192.0.2.1:2", "192.0.2.1:2 is not a loopback address")]
#[case::rate("rate = 100", "rate = 0", "rate: use more than 0")]
#[case::rate_nan("rate = 100", "rate = nan", "rate: use more than 0")]
#[case::duration("duration = 10", "duration = 4000", "duration: use 1 to 3600")]
#[case::count("rate = 100", "rate = 100000\nduration = 3600\n#", "requests a run")]
#[case::limit("seed = 3", "seed = 3\nlimit = 0", "limit: use 1 to")]
#[case::reconnects("seed = 3", "seed = 3\nreconnects = 17", "reconnects: use at most 16")]
#[case::unknown("seed = 3", "colour = 3", "line 4")]
#[case::path("/order", "order", "must start with a slash")]
#[case::shared("shared = 4", "shared = 9", "shared: use at most words")]
#[case::tokens("words = 8", "words = 8\nmax_tokens = 0", "max_tokens: use 1 to")]
#[case::workspace("words = 8", "words = 8\nworkspace = \"a\\n\"", "not header text")]
fn scenario_names_fault(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    assert!(parse(SCENARIO).is_ok());
    let text = SCENARIO.replacen(from, to, 1);
    let text = if to.contains('#') {
        text.replacen("duration = 10\n", "", 1)
    } else {
        text
    };
    let error = parse(&text).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

#[test]
fn plan_repeats_by_seed() {
    let scenario = parse(SCENARIO).unwrap();
    let shots = |scenario| plan::Plan::new(&scenario).unwrap().collect::<Vec<_>>();
    let first = shots(scenario.clone());
    assert_eq!(first, shots(scenario.clone()));
    assert_ne!(
        first,
        shots(scenario::Scenario {
            seed: 4,
            ..scenario
        })
    );
}

#[test]
fn plan_keeps_shares() {
    let shots = plan::Plan::new(&parse(SCENARIO).unwrap())
        .unwrap()
        .collect::<Vec<_>>();
    let share = |hit: fn(&plan::Shot) -> bool| {
        shots.iter().filter(|shot| hit(shot)).count() as f64 / shots.len() as f64
    };
    assert!((900..1_100).contains(&shots.len()));
    assert!(shots.is_sorted_by_key(|shot| shot.at));
    assert!((0.7..0.8).contains(&share(|shot| shot.kind == 0)));
    assert!((0.45..0.55).contains(&share(|shot| shot.target == 0)));
}

#[test]
fn prompt_shares_prefix() {
    let kind = &parse(SCENARIO).unwrap().requests[0];
    let words = |seed| plan::prompt(kind, 0, seed);
    let (first, second) = (words(1), words(2));
    let (first, second) = (
        first.split(' ').collect::<Vec<_>>(),
        second.split(' ').collect::<Vec<_>>(),
    );
    assert_eq!((first.len(), &first[..4]), (8, &second[..4]));
    assert_ne!(first[4..], second[4..]);
}

#[rstest]
#[case::bytewise(1)]
#[case::pieces(7)]
#[case::whole(1_000)]
fn parser_joins_pieces(#[case] size: usize) {
    let text =
        ": hello\n\nid: 0\ndata: {\"token\":\"a\"}\n\nid: 12\ndata: x\n\nevent: done\ndata: {}\n\n";
    let mut parser = event::Parser::default();
    let mut events = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        assert!(parser.feed(piece, |event| events.push(event)));
    }
    let want = [
        event::Event::Other,
        event::Event::Token(0),
        event::Event::Token(12),
        event::Event::Done,
    ];
    assert_eq!(events, want);
}

#[test]
fn parser_limits_event() {
    let mut parser = event::Parser::default();
    assert!(!parser.feed(&vec![b'x'; event::MAX_EVENT_BYTES + 1], |_| {}));
}

#[rstest]
#[case::whole(&[0, 1, 2], 3, 0, 0)]
#[case::doubled(&[0, 0, 1, 2, 1], 3, 2, 0)]
#[case::left_out(&[0, 2], 3, 0, 1)]
#[case::short(&[0], 3, 0, 2)]
#[case::crossed(&[1, 0, 2], 3, 1, 1)]
#[case::too_many(&[0, 1, 2, 3], 3, 0, 0)]
fn progress_counts_offsets(
    #[case] offsets: &[u64],
    #[case] count: u64,
    #[case] duplicate: u64,
    #[case] missing: u64,
) {
    let mut progress = progress::Progress::default();
    for offset in offsets {
        progress.token(*offset, time::Instant::now());
    }
    assert_eq!(progress.last(), offsets.iter().max().copied());
    progress.finish(count);
    assert_eq!((progress.duplicate, progress.missing), (duplicate, missing));
}
