//! The switch for faults and the command lines.

mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::process;

use guavausher_standins::engine;
use guavausher_standins::handle;
use guavausher_standins::platform;
use guavausher_standins::service;
use rstest::rstest;

fn engine() -> handle::Handle {
    engine::start(engine::Config::default()).unwrap()
}

fn service() -> handle::Handle {
    service::start(service::Config::default()).unwrap()
}

fn platform() -> handle::Handle {
    platform::start(platform::Config::default()).unwrap()
}

#[rstest]
#[case::unknown(engine(), r#"{"explode":true}"#)]
#[case::not_json(engine(), "explode")]
#[case::wrong_type(engine(), r#"{"fail":1}"#)]
#[case::wrong_reset(engine(), r#"{"reset_at":"sometime"}"#)]
#[case::not_service(service(), r#"{"truncate_at":1}"#)]
#[case::not_platform(platform(), r#"{"leave":true}"#)]
fn faults_are_refused(#[case] standin: handle::Handle, #[case] faults: &str) {
    let before = support::get(standin.address(), "/standin/faults").body;
    let answer = support::post(standin.address(), "/standin/faults", faults);
    assert_eq!(answer.status, 400);
    assert!(
        answer.json()["error"]
            .as_str()
            .unwrap()
            .starts_with("faults: ")
    );
    assert_eq!(
        support::get(standin.address(), "/standin/faults").body,
        before
    );
}

#[test]
fn faults_hold_until_replaced() {
    let standin = engine();
    let address = standin.address();
    support::set_faults(address, r#"{"delay_ms":1,"fail":true}"#);
    support::set_faults(address, r#"{"fail":false}"#);
    let held = support::get(address, "/standin/faults").json();
    assert_eq!(
        (&held["delay_ms"], &held["fail"]),
        (&1.into(), &false.into())
    );
    support::send(address, "DELETE", "/standin/faults", &[], "").unwrap();
    assert_eq!(
        support::get(address, "/standin/faults").json()["delay_ms"],
        0
    );
}

#[rstest]
#[case::engine(env!("CARGO_BIN_EXE_standin-engine"))]
#[case::service(env!("CARGO_BIN_EXE_standin-service"))]
#[case::platform(env!("CARGO_BIN_EXE_standin-platform"))]
fn binary_tells_address(#[case] binary: &str) {
    let mut command = process::Command::new(binary);
    command
        .args(["--listen", "127.0.0.1:0"])
        .stdout(process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line
        .trim()
        .strip_prefix("listening on ")
        .unwrap()
        .parse()
        .unwrap();
    let status = support::get(address, "/standin/faults").status;
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(status, 200);
}

#[rstest]
#[case::help(&["--help"], 0, "Usage: standin-engine")]
#[case::version(&["--version"], 0, "standin-engine 0")]
#[case::no_address(&[], 2, "--listen")]
#[case::outside(&["--listen", "192.0.2.1:80"], 2, "no loopback address")]
#[case::unknown(&["--listen", "127.0.0.1:0", "--colour"], 2, "unknown flag --colour")]
#[case::bad_number(&["--listen", "127.0.0.1:0", "--slots", "x"], 2, "x")]
fn binary_checks_flags(#[case] flags: &[&str], #[case] status: i32, #[case] text: &str) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_standin-engine"));
    let output = command.args(flags).output().unwrap();
    let said = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    assert_eq!(output.status.code(), Some(status));
    assert!(said.contains(text), "{said}");
}
