//! The conditional write and its unclear ends.

mod support;

use std::time;

use guavactl::client;
use guavactl::error;
use guavausher_core::name;
use rstest::rstest;

const KEY: &str = "config/current";

fn client(session: &support::Session, seconds: u64) -> client::Client {
    let deadline = time::Instant::now() + time::Duration::from_secs(seconds);
    client::Client::new(session.platform(), deadline)
}

fn body(operation: &str) -> String {
    format!("{{\"operation\":\"{operation}\"}}")
}

#[rstest]
#[case::answered("{}")]
#[case::answer_lost("{\"lose_next\":1}")]
#[case::three_answers_lost("{\"lose_next\":3}")]
fn write_succeeds(#[case] fault: &str) {
    let session = support::Session::start("write_succeeds");
    session.store(KEY, &body("first"));
    session.fault(fault);
    let operation = name::Name::from("second");
    let written = client(&session, 20).write(KEY, Some(1), &operation, body("second").as_bytes());
    assert_eq!(written, Ok(client::Write::Done(2)));
    assert_eq!(session.read(KEY).expect("stored").version, 2);
}

#[rstest]
#[case::overtaken(Some(1))]
#[case::created(None)]
fn write_loses(#[case] expected: Option<u64>) {
    let session = support::Session::start("write_loses");
    session.store(KEY, &body("first"));
    session.store(KEY, &body("other"));
    let operation = name::Name::from("mine");
    let written = client(&session, 20).write(KEY, expected, &operation, body("mine").as_bytes());
    let Ok(client::Write::Lost(Some(object))) = written else {
        panic!("{written:?}");
    };
    assert_eq!(object.version, 2);
    assert!(client::is_by(&object, &name::Name::from("other")));
}

/// The write takes effect, its answer is lost, and nothing can be read back.
#[test]
fn write_stays_unknown() {
    let session = support::Session::start("write_stays_unknown");
    session.fault("{\"reset_at\":\"after_headers\"}");
    let operation = name::Name::from("mine");
    let written = client(&session, 1).write(KEY, None, &operation, body("mine").as_bytes());
    assert_eq!(written, Err(error::Error::Unknown(operation.clone())));
    session.fault("{\"reset_at\":null}");
    let again = client(&session, 20).write(KEY, None, &operation, body("mine").as_bytes());
    assert_eq!(again, Ok(client::Write::Done(1)));
}
