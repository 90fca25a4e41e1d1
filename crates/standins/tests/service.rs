//! Runs and faults of the plain service.

mod support;

use guavausher_standins::handle;
use guavausher_standins::service;
use rstest::rstest;

fn start(deduplicate: bool) -> handle::Handle {
    service::start(service::Config {
        deduplicate,
        ..service::Config::default()
    })
    .unwrap()
}

fn order(service: &handle::Handle, key: &str) -> std::io::Result<support::Answer> {
    let headers = [("idempotency-key", key), ("x-attempt-id", "a1")];
    support::send(
        service.address(),
        "POST",
        "/order",
        &headers,
        r#"{"kit":"hoops"}"#,
    )
}

fn runs(service: &handle::Handle, key: &str) -> Option<u64> {
    support::get(service.address(), "/standin/runs").json()[key].as_u64()
}

#[rstest]
#[case::counts_each(false, 2)]
#[case::deduplicates(true, 1)]
fn order_is_counted(#[case] deduplicate: bool, #[case] count: u64) {
    let service = start(deduplicate);
    let first = order(&service, "k1").unwrap().json();
    let second = order(&service, "k1").unwrap().json();
    assert_eq!(runs(&service, "k1"), Some(count));
    assert_eq!(first == second, deduplicate);
    assert_eq!((&first["key"], &first["run"]), (&"k1".into(), &1.into()));
}

#[rstest]
#[case::lost(r#"{"lose_next":1}"#, Some(1))]
#[case::cut_after(r#"{"reset_at":"after_headers"}"#, Some(1))]
#[case::cut_before(r#"{"reset_at":"before_body"}"#, None)]
fn order_gets_no_answer(#[case] faults: &str, #[case] count: Option<u64>) {
    let service = start(false);
    support::set_faults(service.address(), faults);
    assert!(order(&service, "k1").is_err());
    assert_eq!(runs(&service, "k1"), count);
}

#[rstest]
#[case::leaving(r#"{"leave":true}"#, 503, "not-run", None)]
#[case::failing(r#"{"fail":true}"#, 503, "", None)]
#[case::erring(r#"{"error_rate":1000}"#, 500, "", Some(1))]
fn order_is_refused(
    #[case] faults: &str,
    #[case] status: u16,
    #[case] verdict: &str,
    #[case] count: Option<u64>,
) {
    let service = start(false);
    support::set_faults(service.address(), faults);
    let answer = order(&service, "k1").unwrap();
    assert_eq!(
        (answer.status, answer.header("x-verdict")),
        (status, verdict)
    );
    assert_eq!(runs(&service, "k1"), count);
}

#[rstest]
#[case::own("{}", "a1")]
#[case::wrong(r#"{"wrong_attempt":true}"#, "other-a1")]
fn answer_names_attempt(#[case] faults: &str, #[case] attempt: &str) {
    let service = start(false);
    support::set_faults(service.address(), faults);
    assert_eq!(
        order(&service, "k1").unwrap().header("x-attempt-id"),
        attempt
    );
}

#[test]
fn lost_answer_is_repeated() {
    let service = start(true);
    support::set_faults(service.address(), r#"{"lose_next":1}"#);
    assert!(order(&service, "k1").is_err());
    assert_eq!(order(&service, "k1").unwrap().json()["run"], 1);
    assert_eq!(runs(&service, "k1"), Some(1));
}

#[test]
fn large_body_is_refused() {
    let service = start(false);
    let body = format!("\"{}\"", "x".repeat(1 << 20));
    let answer = support::send(service.address(), "POST", "/order", &[], &body);
    // The connection may close before the whole body is sent.
    assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status == 413));
    assert_eq!(support::get(service.address(), "/standin/runs").body, "{}");
}
