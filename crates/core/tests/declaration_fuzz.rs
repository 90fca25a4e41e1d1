//! Property tests: malformed declarations return faults and never cause a panic.

use guavausher_core::declaration;
use guavausher_core::name;
use proptest::prelude::*;

const BASE: &str = include_str!("../../../examples/base.toml");
const SITE: &str = include_str!("../../../examples/erdene.toml");

fn source(text: &str) -> declaration::Source {
    declaration::Source {
        path: name::Name::from("site.toml"),
        text: text.to_owned(),
    }
}

fn splice(text: &str, at: usize, length: usize, insert: &str) -> String {
    let characters: Vec<_> = text.chars().collect();
    let start = at % characters.len();
    let end = (start + length).min(characters.len());
    let head: String = characters[..start].iter().collect();
    let tail: String = characters[end..].iter().collect();
    format!("{head}{insert}{tail}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parse_survives_splice(
        at in any::<usize>(),
        length in 0_usize..40,
        insert in "[ -~\n\u{e9}]{0,12}",
    ) {
        let site = splice(SITE, at, length, &insert);
        match declaration::parse(&source(BASE), Some(&source(&site))) {
            Ok(parsed) => {
                let text = parsed.to_json().expect("stored form");
                prop_assert_eq!(declaration::Declaration::from_json(text.as_bytes()), Ok(parsed));
            }
            Err(faults) => prop_assert!(!faults.is_empty()),
        }
    }

    #[test]
    fn parse_survives_noise(text in "\\PC{0,200}") {
        let _ = declaration::parse(&source(&text), Some(&source(&text)));
    }

    #[test]
    fn json_survives_noise(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = declaration::Envelope::from_json(&bytes);
    }
}

#[test]
fn parse_survives_depth() {
    const DEPTH: usize = 100_000;
    let texts = [
        format!("a = {}", "[".repeat(DEPTH)),
        format!("a = {}", "{a=".repeat(DEPTH)),
        format!("{}a = 1", "a.".repeat(DEPTH)),
        format!("[{}a]", "a.".repeat(DEPTH)),
    ];
    for text in texts {
        let site = source(&text);
        assert!(declaration::parse(&source(BASE), Some(&site)).is_err());
        assert!(declaration::parse(&site, Some(&site)).is_err());
    }
}
