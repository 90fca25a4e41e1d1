//! The live view as a real process in a pipe.

mod support;

use std::io;
use std::io::BufRead;
use std::process;

fn report(session: &support::Session, generation: u64) {
    session.register("entry-1", "tolgoit", "entry", false);
    let body = format!(
        "{{\"generation\":{generation},\"instance\":\"entry-1\",\"domain\":\"tolgoit\",\
         \"ready\":true}}"
    );
    session.store("status/tolgoit/entry-1", &body);
}

/// Reads lines until one shows the generation in force in the failure domain.
fn follow(lines: &mut io::Lines<io::BufReader<process::ChildStdout>>, generation: u64) {
    let shows = |line: &String| {
        let view: serde_json::Value = serde_json::from_str(line).expect("JSON");
        view["domains"][2]["generation"] == generation
    };
    let found = lines.map(|line| line.expect("line")).find(shows);
    assert!(found.is_some());
}

#[test]
fn status_watches_through_outage() {
    let session = support::Session::start("status_watches_through_outage");
    session.run("batu", "apply");
    report(&session, 0);
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_guavactl"))
        .args([
            "status",
            "--watch",
            "--json",
            "--timeout",
            "1",
            "--platform",
        ])
        .arg(session.address().to_string())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .expect("starts");
    let mut lines = io::BufReader::new(child.stdout.take().expect("pipe")).lines();
    let mut warnings = io::BufReader::new(child.stderr.take().expect("pipe")).lines();
    follow(&mut lines, 0);
    session.fault("{\"fail\":true}");
    let warning = warnings.next().expect("warning").expect("line");
    assert!(warning.contains("did not answer in time"), "{warning}");
    session.fault("{\"fail\":false}");
    report(&session, 1);
    follow(&mut lines, 1);
    drop(lines);
    report(&session, 2);
    let status = child.wait().expect("ends");
    assert!(status.success(), "the reader went away: {status}");
}
