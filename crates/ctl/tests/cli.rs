//! The command line and its settings.

mod support;

use std::ffi;
use std::process;

use guavactl::cli;
use guavactl::command;
use guavactl::exit;
use rstest::rstest;

fn parse(
    line: &str,
    variables: &[(&str, &str)],
) -> Result<command::Invocation, guavactl::error::Error> {
    let args = line.split_whitespace().map(ffi::OsString::from).collect();
    cli::parse(args, |name| {
        let found = variables.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| (*value).to_owned())
    })
}

#[test]
fn parse_prefers_flag() {
    let variables = [("GUAVAUSHER_PLATFORM", "127.0.0.1:1"), ("USER", "batu")];
    let got = parse("status", &variables).expect("valid").settings;
    assert_eq!(got.platform, Some(([127, 0, 0, 1], 1).into()));
    assert_eq!(got.author.as_deref(), Some("batu"));
    let line = "status --platform=127.0.0.1:2 --author saran --json";
    let got = parse(line, &variables).expect("valid").settings;
    assert_eq!(got.platform, Some(([127, 0, 0, 1], 2).into()));
    assert_eq!(got.author.as_deref(), Some("saran"));
    assert!(got.json);
}

#[rstest]
#[case::none("", "no command given")]
#[case::unknown("reload", "unknown command `reload`")]
#[case::extra("check now", "unexpected argument `now`")]
#[case::flag("check --force", "unexpected argument `--force`")]
#[case::host(
    "status --platform localhost:1",
    "--platform is `localhost:1`; write an address"
)]
#[case::seconds("status --timeout 0", "--timeout is `0`; write a number of seconds")]
#[case::limit("audit --limit 0", "--limit is `0`; write a number from 1 to 1000")]
#[case::value("apply --generation x", "failed to parse 'x'")]
#[case::lacks_value(
    "status --platform",
    "'--platform' option doesn't have an associated value"
)]
#[case::upstream("drain", "drain needs an UPSTREAM")]
fn parse_refuses(#[case] line: &str, #[case] message: &str) {
    let error = parse(line, &[]).expect_err("refused");
    assert_eq!(error.exit(), exit::Exit::Usage);
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn parse_names_variable() {
    let error = parse("status", &[("GUAVAUSHER_TIMEOUT", "soon")]).expect_err("refused");
    assert!(
        error
            .to_string()
            .starts_with("GUAVAUSHER_TIMEOUT is `soon`"),
        "{error}"
    );
}

#[rstest]
#[case::platform("status", "--platform or set GUAVAUSHER_PLATFORM")]
#[case::base("check", "--base or set GUAVAUSHER_BASE")]
#[case::author("drain x --platform 127.0.0.1:1", "--author or set GUAVAUSHER_AUTHOR")]
fn run_names_missing(#[case] line: &str, #[case] message: &str) {
    let ran = support::run(line, |_| None);
    assert_eq!(ran.exit, exit::Exit::Usage);
    assert!(ran.err.contains(message), "{ran:?}");
}

#[rstest]
#[case::help(&["--help"], 0, "Usage: guavactl COMMAND")]
#[case::version(&["--version"], 0, "guavactl 0.")]
#[case::usage(&["--nonsense"], 2, "")]
fn binary_exits(#[case] args: &[&str], #[case] code: i32, #[case] text: &str) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_guavactl"))
        .args(args)
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(
        String::from_utf8_lossy(&output.stdout).contains(text),
        "{output:?}"
    );
}
