//! The story of a request from the logs.

use guavactl::explain;

const FRONT: &str = "\
2026-08-01T09:40:05.000000Z up=1.0 INFO run manifest in force version=4
2026-08-01T09:40:05.500000Z up=1.5 INFO shell engine avoided engine=e1 sign=Silent
2026-08-01T09:40:06.000000Z up=2.0 INFO carry sent id=r1 engine=e1 attempt=1 expected_ms=80
2026-08-01T09:40:06.100000Z up=2.1 INFO carry sent id=r2 engine=e2 attempt=1
2026-08-01T09:40:06.300000Z up=2.3 INFO carry attempt ended id=r1 ending=broken signal=\"Broken { unanswered: true }\"
2026-08-01T09:40:06.301000Z up=2.3 INFO carry refused id=r1 reason=upstream-failed verdict=may-have-run
not a log line
2026-08-01T09:40:07.000000Z up=3.0 INFO shell engine avoided engine=e1 sign=Unreachable
";

fn logs() -> explain::Logs {
    let mut logs = explain::Logs::default();
    logs.add_text(0, FRONT);
    logs
}

#[test]
fn explain_tells_the_steps_in_order_with_what_was_believed() {
    let story = logs().explain("r1").unwrap().text;
    let lines: Vec<_> = story.lines().collect();
    assert!(
        lines[0].starts_with("+0.000 s   carry sent id=r1"),
        "{story}"
    );
    assert!(
        lines.iter().any(|l| l
            .trim_start()
            .starts_with("believed, 0.500 s old: shell engine avoided")),
        "{story}"
    );
    assert!(
        story.contains("believed, 1.000 s old: run manifest in force version=4"),
        "{story}"
    );
    assert!(
        lines
            .iter()
            .any(|l| l.starts_with("+0.301 s   carry refused id=r1")),
        "{story}"
    );
    assert!(
        !story.contains("r2") && !story.contains("Unreachable"),
        "{story}"
    );
}

#[test]
fn explain_reads_lines_behind_a_collectors_words() {
    let mut logs = explain::Logs::default();
    let prefixed: String = FRONT
        .lines()
        .map(|l| format!("  12.5 front-1 {l}\n"))
        .collect();
    logs.add_text(0, &prefixed);
    assert!(logs.explain("r1").unwrap().text.contains("refused"));
}

#[test]
fn explain_names_a_request_that_is_not_there() {
    let fault = logs().explain("r9").unwrap_err();
    assert!(fault.to_string().contains("r9"), "{fault}");
}

/// A request that a rate limit has moved or refused is told with the limit.
#[test]
fn explain_tells_the_rate_limit_behind_a_decision() {
    const LIMITED: &str = "\
2026-08-01T09:40:05.000000Z up=1.0 INFO runtime engine limits its requests engine=e1 incarnation=1 per_second=2 source=Peer age_ms=120
2026-08-01T09:40:05.300000Z up=1.3 INFO record engine at its rate limit passed over id=r1 engine=e1 stands_for=1
2026-08-01T09:40:05.300000Z up=1.3 INFO record sent id=r1 engine=e2 attempt=1
2026-08-01T09:40:05.400000Z up=1.4 INFO record refused id=r2 reason=overloaded engines=1 limited=1
";
    let mut logs = explain::Logs::default();
    logs.add_text(0, LIMITED);
    let story = |id: &str| logs.explain(id).unwrap().text;
    for (id, age) in [("r1", "0.300"), ("r2", "0.400")] {
        let belief = format!("believed, {age} s old: runtime engine limits its requests engine=e1");
        assert!(story(id).contains(&belief), "{}", story(id));
    }
}

#[test]
fn explain_names_the_part_that_engines_crash_under() {
    let text = "\
2026-08-01T09:40:05.000000Z up=1.0 WARN record blocked since engines crash under it suspect=part:bad0 crashes=1a,2b source=front-2
2026-08-01T09:40:05.100000Z up=1.1 WARN record blocked since engines crash under it suspect=part:bad1 crashes=3c,4d source=own
2026-08-01T09:40:06.000000Z up=2.0 INFO record refused id=r1 reason=suspect verdict=not-run suspect=part:bad0
";
    let mut logs = explain::Logs::default();
    logs.add_text(0, text);
    let story = logs.explain("r1").unwrap().text;
    let belief = "believed, 1.000 s old: record blocked since engines crash under it \
                  suspect=part:bad0 crashes=1a,2b source=front-2";
    assert!(story.contains(belief) && !story.contains("bad1"), "{story}");
}
