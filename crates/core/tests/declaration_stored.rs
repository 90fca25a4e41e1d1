//! Tests of the stored form of declarations.

use guavausher_core::declaration;
use guavausher_core::name;
use guavausher_core::time;
use rstest::rstest;

fn sample(upstreams: usize) -> declaration::Declaration {
    let upstream = |i: usize| declaration::Upstream {
        name: name::Name::from(format!("verse-{i}")),
        service: name::Name::from("verse"),
        version: name::Name::from("v1"),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: name::Name::from("east"),
        class: name::Name::from("small"),
        market: declaration::Market::Reclaimable,
        slots: 4,
    };
    declaration::Declaration {
        site: name::Name::from("test"),
        upstreams: (0..upstreams).map(upstream).collect(),
        ..declaration::Declaration::default()
    }
}

#[test]
fn json_round_trips() {
    let want = sample(3);
    let text = want.to_json().expect("encodes");
    assert!(text.starts_with("{\"format\":1,"), "{text}");
    assert_eq!(
        declaration::Declaration::from_json(text.as_bytes()),
        Ok(want)
    );
}

#[test]
fn json_ignores_unknown_fields() {
    let text = sample(1).to_json().expect("encodes");
    let text = text.replacen("{\"format\":1,", "{\"format\":2,\"later\":[1],", 1);
    let text = text.replacen("\"slots\":4", "\"slots\":4,\"zone\":\"x\"", 1);
    assert_eq!(
        declaration::Declaration::from_json(text.as_bytes()),
        Ok(sample(1))
    );
}

#[rstest]
#[case::no_format(r#"{"site":"test"}"#, "lacks a format")]
#[case::missing_field(r#"{"format":1,"site":"test"}"#, "missing field")]
#[case::not_json("{", "not readable")]
fn json_refuses(#[case] text: &str, #[case] message: &str) {
    let error = declaration::Declaration::from_json(text.as_bytes()).expect_err("refused");
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn json_limits_size() {
    assert!(sample(770).to_json().is_ok());
    let error = sample(20_000).to_json().expect_err("too large");
    assert!(
        matches!(error, declaration::StoredError::TooLarge { .. }),
        "{error}"
    );
    let spaces = " ".repeat(1 << 21);
    let error = declaration::Declaration::from_json(spaces.as_bytes()).expect_err("too large");
    assert!(
        matches!(error, declaration::StoredError::TooLarge { .. }),
        "{error}"
    );
}

#[test]
fn envelope_round_trips() {
    let want = declaration::Envelope {
        operation: name::Name::from("op-1"),
        author: name::Name::from("batu"),
        at: time::Time::from_millis(5),
        declaration: sample(2),
    };
    let text = want.to_json().expect("encodes");
    assert!(
        text.starts_with("{\"format\":1,\"operation\":\"op-1\""),
        "{text}"
    );
    assert_eq!(declaration::Envelope::from_json(text.as_bytes()), Ok(want));
}
