//! Objects, instances, cloud and weights of the platform.

mod support;

use std::thread;

use guavausher_standins::handle;
use guavausher_standins::platform;
use rstest::rstest;

const ABSENT: (&str, &str) = ("if-none-match", "*");

fn start() -> handle::Handle {
    platform::start(platform::Config::default()).unwrap()
}

fn put(platform: &handle::Handle, key: &str, condition: (&str, &str)) -> support::Answer {
    let target = format!("/objects/{key}");
    support::send(platform.address(), "PUT", &target, &[condition], "body").unwrap()
}

#[rstest]
#[case::create("new", ABSENT, 200, "\"1\"")]
#[case::create_again("old", ABSENT, 412, "\"1\"")]
#[case::update("old", ("if-match", "\"1\""), 200, "\"2\"")]
#[case::update_stale("old", ("if-match", "\"7\""), 412, "\"1\"")]
#[case::update_missing("new", ("if-match", "\"1\""), 412, "")]
#[case::no_condition("old", ("accept", "*/*"), 428, "")]
#[case::bad_condition("old", ("if-match", "x"), 400, "")]
fn write_checks_condition(
    #[case] key: &str,
    #[case] condition: (&str, &str),
    #[case] status: u16,
    #[case] etag: &str,
) {
    let platform = start();
    put(&platform, "old", ABSENT);
    let answer = put(&platform, key, condition);
    assert_eq!((answer.status, answer.header("etag")), (status, etag));
}

#[test]
fn delete_keeps_versions_growing() {
    let platform = start();
    let address = platform.address();
    put(&platform, "a/x", ABSENT);
    let delete = |version| {
        let headers = [("if-match", version)];
        support::send(address, "DELETE", "/objects/a/x", &headers, "")
            .unwrap()
            .status
    };
    assert_eq!(
        (delete("\"9\""), delete("\"1\""), delete("\"1\"")),
        (412, 200, 412)
    );
    assert_eq!(support::get(address, "/objects/a/x").status, 404);
    let changed = support::get(address, "/watch?prefix=a/&since=1&wait_ms=0").json();
    assert_eq!(
        changed["objects"],
        serde_json::json!([{ "key": "a/x", "version": 0 }])
    );
    assert_eq!(put(&platform, "a/x", ABSENT).header("etag"), "\"3\"");
}

#[rstest]
#[case::all("/objects?prefix=", &["a/x", "a/y", "b"], 3)]
#[case::prefix("/objects?prefix=a/", &["a/x", "a/y"], 3)]
#[case::escaped("/objects?prefix=a%2F", &["a/x", "a/y"], 3)]
#[case::changed("/watch?prefix=a&since=1", &["a/y"], 3)]
#[case::unchanged("/watch?prefix=a&since=2&wait_ms=1", &[], 3)]
#[case::beyond("/watch?prefix=a&since=99", &["a/x", "a/y"], 3)]
fn listing_holds(#[case] target: &str, #[case] want: &[&str], #[case] revision: u64) {
    let platform = start();
    for key in ["a/x", "a/y", "b"] {
        put(&platform, key, ABSENT);
    }
    let listing = support::get(platform.address(), target).json();
    let objects = listing["objects"].as_array().unwrap();
    let keys = objects
        .iter()
        .map(|entry| entry["key"].as_str().unwrap())
        .collect::<Vec<_>>();
    assert_eq!(
        (keys.as_slice(), listing["revision"].as_u64()),
        (want, Some(revision))
    );
}

#[rstest]
#[case::by_write(false, 200)]
#[case::by_outage(true, 503)]
fn watch_ends(#[case] outage: bool, #[case] status: u16) {
    let platform = start();
    let address = platform.address();
    let target = "/watch?prefix=a&since=0&wait_ms=30000";
    let watch = thread::spawn(move || support::get(address, target));
    support::wait_for("the watch", || calls(&platform)["watch"] == 1);
    put(&platform, "other", ABSENT);
    if outage {
        support::set_faults(address, r#"{"fail":true}"#);
    } else {
        put(&platform, "a", ABSENT);
    }
    assert_eq!(watch.join().unwrap().status, status);
    assert_eq!(calls(&platform)["watch"], 1);
}

#[rstest]
#[case::lost(r#"{"lose_next":1}"#, true)]
#[case::cut_after(r#"{"reset_at":"after_headers"}"#, true)]
#[case::cut_before(r#"{"reset_at":"before_body"}"#, false)]
fn write_gets_no_answer(#[case] faults: &str, #[case] applied: bool) {
    let platform = start();
    let address = platform.address();
    support::set_faults(address, faults);
    assert!(support::send(address, "PUT", "/objects/a", &[ABSENT], "x").is_err());
    support::set_faults(address, r#"{"reset_at":null}"#);
    assert_eq!(support::get(address, "/objects/a").status == 200, applied);
}

#[rstest]
#[case::outage(r#"{"fail":true}"#)]
#[case::errors(r#"{"error_rate":1000}"#)]
fn write_fails(#[case] faults: &str) {
    let platform = start();
    support::set_faults(platform.address(), faults);
    assert_eq!(put(&platform, "a", ABSENT).status, 503);
    support::set_faults(platform.address(), r#"{"fail":false,"error_rate":0}"#);
    assert_eq!(support::get(platform.address(), "/objects/a").status, 404);
}

#[rstest]
#[case::largest(1 << 20, 200)]
#[case::too_large((1 << 20) + 1, 413)]
fn write_limits_size(#[case] bytes: usize, #[case] status: u16) {
    let platform = start();
    let body = "x".repeat(bytes);
    let answer = support::send(platform.address(), "PUT", "/objects/a", &[ABSENT], &body).unwrap();
    assert_eq!(answer.status, status);
}

#[rstest]
#[case::now(0, 1)]
#[case::lagged(600_000, 0)]
fn instances_lag(#[case] list_lag_ms: u64, #[case] count: usize) {
    let platform = platform::start(platform::Config {
        list_lag_ms,
        ..platform::Config::default()
    })
    .unwrap();
    let address = platform.address();
    let body = r#"{"name":"e1","address":"127.0.0.1:9","domain":"solo-b","kind":"upstream"}"#;
    assert_eq!(support::post(address, "/instances", body).status, 200);
    let list = support::get(address, "/instances").json();
    assert_eq!(list["instances"].as_array().unwrap().len(), count);
    let remove = |name: &str| {
        support::send(address, "DELETE", &format!("/instances/{name}"), &[], "")
            .unwrap()
            .status
    };
    assert_eq!((remove("e1"), remove("e1")), (200, 404));
}

#[rstest]
#[case::granted(0, 201)]
#[case::refused(1_000, 409)]
fn cloud_starts(#[case] refuse_rate: u16, #[case] status: u16) {
    let platform = platform::start(platform::Config {
        refuse_rate,
        ..platform::Config::default()
    })
    .unwrap();
    let address = platform.address();
    let body = r#"{"class":"gpu-small","domain":"solo-b","market":"reclaimable"}"#;
    assert_eq!(
        support::post(address, "/cloud/instances", body).status,
        status
    );
    let stop = support::send(address, "DELETE", "/cloud/instances/i-1", &[], "")
        .unwrap()
        .status;
    assert_eq!(stop == 200, status == 201);
}

#[test]
fn notice_wakes_waiter() {
    let platform = start();
    let address = platform.address();
    let target = "/cloud/notices?since=0&wait_ms=30000";
    let waiter = thread::spawn(move || support::get(address, target).json());
    support::wait_for("the waiter", || calls(&platform)["notices"] == 1);
    support::post(
        address,
        "/standin/notices",
        r#"{"instance":"i-1","deadline_ms":5}"#,
    );
    let page = waiter.join().unwrap();
    assert_eq!(
        (&page["next"], &page["notices"][0]["instance"]),
        (&2.into(), &"i-1".into())
    );
}

#[test]
fn weights_are_rationed() {
    let config = platform::Config {
        weight_rate: 1_000,
        ..platform::Config::default()
    };
    let platform = platform::start(config).unwrap();
    let read = |bytes| support::get(platform.address(), &format!("/weights/verse?bytes={bytes}"));
    let first = read(1_000);
    assert_eq!((first.status, first.body.len()), (200, 1_000));
    let second = read(1_000);
    assert_eq!((second.status, second.header("retry-after")), (429, "1"));
}

fn calls(platform: &handle::Handle) -> serde_json::Value {
    support::get(platform.address(), "/standin/calls").json()
}
