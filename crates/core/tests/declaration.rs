//! Tests of reading, merging and checking declarations.

use std::fs;

use guavausher_core::declaration;
use guavausher_core::name;
use rstest::rstest;

const BASE: &str = r#"site = "test"
[domains.east]
region = "steppe"
[classes.small]
reclaimable = 10
[services.verse]
kind = "model"
version = "v1"
[upstreams.verse-1]
service = "verse"
version = "v1"
address = "127.0.0.1:9001"
domain = "east"
class = "small"
market = "reclaimable"
slots = 4
[upstreams.verse-2]
service = "verse"
version = "v2"
address = "127.0.0.1:9002"
domain = "east"
class = "small"
market = "reclaimable"
slots = 4
[workspaces.families]
weight = 1
rate = 10
concurrency = 10
[routes.verse]
path = "/v1/verse"
service = "verse"
idempotent = true
priority = "quick"
timeout = 8000
[rollouts.verse]
from = "v1"
to = "v2"
share = 50
deadline = "2026-12-04T18:00:00+07:00"
"#;

fn source(path: &str, text: &str) -> declaration::Source {
    declaration::Source {
        path: name::Name::from(path),
        text: text.to_owned(),
    }
}

fn parse(base: &str, overlay: &str) -> Result<declaration::Declaration, Vec<String>> {
    let overlay = source("site.toml", overlay);
    let overlay = (!overlay.text.is_empty()).then_some(&overlay);
    declaration::parse(&source("base.toml", base), overlay)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

#[test]
fn parse_accepts_complete_declaration() {
    let got = parse(BASE, "").expect("valid");
    assert_eq!(got.site, name::Name::from("test"));
    assert_eq!(got.rollouts[0].deadline.to_string(), "2026-12-04T11:00:00Z");
    assert_eq!(got.classes.len(), 1);
    assert_eq!(got.policy, declaration::Policy::default());
}

#[test]
fn parse_merges_overlay() {
    let overlay = r#"
[policy]
cost = 70
[domains.west]
region = "steppe"
[classes.small.domains.west]
reclaimable = 7
on-demand = 30
[upstreams.verse-1]
domain = "west"
[rollouts.verse]
absent = true
"#;
    let got = parse(BASE, overlay).expect("valid");
    assert_eq!(got.policy.cost, 70);
    assert_eq!(got.policy.latency, 50);
    assert_eq!(got.upstreams[0].domain, name::Name::from("west"));
    assert_eq!(got.upstreams[0].slots, 4);
    assert!(got.rollouts.is_empty());
    let prices: Vec<_> = got.classes.iter().map(|class| class.price).collect();
    assert_eq!(prices, [10, 7, 30]);
}

/// Replaces one line of the base and expects a fault with the message at the given line.
#[rstest]
#[case::unknown_key("slots = 4", "slot = 4", 16, "unknown key `slot` in upstreams.verse-1")]
#[case::missing_key("region = \"steppe\"", "", 2, "domains.east lacks `region`")]
#[case::wrong_type(
    "weight = 1",
    "weight = \"one\"",
    26,
    "`weight` is a string; write a whole"
)]
#[case::float("weight = 1", "weight = 1.5", 26, "`weight` is a float")]
#[case::too_large_for_i64(
    "weight = 1",
    "weight = 99999999999999999999",
    26,
    "an integer out of range"
)]
#[case::flag(
    "idempotent = true",
    "idempotent = 1",
    32,
    "`idempotent` is an integer"
)]
#[case::low(
    "rate = 10",
    "rate = 0",
    27,
    "`rate` is 0, out of range; write a number from 1 to"
)]
#[case::negative("timeout = 8000", "timeout = -1", 34, "`timeout` is -1, out of range")]
#[case::timeout(
    "timeout = 8000",
    "timeout = 300001",
    34,
    "write a number from 1 to 300000"
)]
#[case::share("share = 50", "share = 1001", 38, "write a number from 1 to 1000")]
#[case::choice(
    "kind = \"model\"",
    "kind = \"engine\"",
    7,
    "write one of: model, plain"
)]
#[case::host(
    "\"127.0.0.1:9001\"",
    "\"localhost:9001\"",
    12,
    "not an address by IP number"
)]
#[case::no_port(
    "\"127.0.0.1:9001\"",
    "\"127.0.0.1\"",
    12,
    "not an address by IP number"
)]
#[case::local_time(
    "2026-12-04T18:00:00+07:00",
    "2026-12-04T18:00:00",
    39,
    "not an RFC 3339"
)]
#[case::no_time("2026-12-04T18:00:00+07:00", "tomorrow", 39, "not an RFC 3339")]
#[case::path("\"/v1/verse\"", "\"v1/verse?x\"", 30, "not a request path")]
#[case::reserved("\"/v1/verse\"", "\"/metrics\"", 30, "not a request path")]
#[case::name("region = \"steppe\"", "region = \"The Steppe\"", 3, "not a name")]
#[case::object_name(
    "[workspaces.families]",
    "[workspaces.\"a/b\"]",
    25,
    "`a/b` is not a name"
)]
#[case::undeclared_domain(
    "domain = \"east\"",
    "domain = \"west\"",
    13,
    "there is no [domains.west]"
)]
#[case::undeclared_class(
    "class = \"small\"",
    "class = \"big\"",
    14,
    "there is no [classes.big]"
)]
#[case::class_without_price(
    "market = \"reclaimable\"",
    "market = \"on-demand\"",
    14,
    "no on-demand price"
)]
#[case::duplicate_address(
    "127.0.0.1:9002",
    "127.0.0.1:9001",
    20,
    "is taken already at base.toml:12"
)]
#[case::version_without_upstream("to = \"v2\"", "to = \"v3\"", 37, "no upstream runs version `v3`")]
#[case::wrong_from("from = \"v1\"", "from = \"v2\"", 36, "write `from = \"v1\"`")]
#[case::top_level(
    "[workspaces.families]",
    "[tenants.families]",
    25,
    "unknown key `tenants`"
)]
#[case::duplicate_table("[upstreams.verse-2]", "[upstreams.verse-1]", 17, "declared twice")]
#[case::duplicate_key("slots = 4", "slots = 4\nslots = 5", 17, "declared twice")]
#[case::syntax("slots = 4", "slots = = 4", 16, "not valid TOML")]
#[case::absent(
    "[workspaces.families]",
    "[workspaces.families]\nabsent = true",
    26,
    "overlay only"
)]
fn parse_refuses(#[case] old: &str, #[case] new: &str, #[case] line: usize, #[case] message: &str) {
    let faults = parse(&BASE.replacen(old, new, 1), "").expect_err("fault");
    let place = format!("base.toml:{line}: ");
    let found = faults
        .iter()
        .any(|fault| fault.starts_with(&place) && fault.contains(message));
    assert!(found, "want {place}..{message}, got {faults:#?}");
}

#[rstest]
#[case::restated_value(
    "[upstreams.verse-1]\nslots = 4",
    "site.toml:2",
    "restates `upstreams.verse-1.slots`"
)]
#[case::restated_site(
    "site = \"test\"",
    "site.toml:1",
    "restates `site` as the base has it at base.toml:1"
)]
#[case::empty(
    "[policy]\ncost = 1\n[upstreams.verse-1]",
    "site.toml:3",
    "changes nothing in `upstreams.verse-1`"
)]
#[case::not_in_base(
    "[routes.lamp]\nabsent = true",
    "site.toml:1",
    "`routes.lamp` is not in the base"
)]
#[case::not_alone(
    "[routes.verse]\nabsent = true\ntimeout = 1",
    "site.toml:1",
    "alone and as `absent = true`"
)]
#[case::not_true(
    "[routes.verse]\nabsent = false",
    "site.toml:1",
    "alone and as `absent = true`"
)]
#[case::partial_object(
    "[workspaces.monks]\nweight = 1\nrate = 1",
    "site.toml:1",
    "lacks `concurrency`"
)]
#[case::own_value(
    "[workspaces.families]\nrate = 0",
    "site.toml:2",
    "`rate` is 0, out of range"
)]
#[case::undeclared_domain(
    "[classes.small.domains.west]\nreclaimable = 1",
    "site.toml:1",
    "no [domains.west]"
)]
#[case::undeclared_rollout(
    "[rollouts.lamp]\nfrom = \"a\"\nto = \"b\"\nshare = 1\ndeadline = 2026-12-04T18:00:00Z",
    "site.toml:1",
    "there is no [services.lamp]"
)]
#[case::same_version("[rollouts.verse]\nto = \"v1\"", "site.toml:2", "from `v1` to itself")]
#[case::zero_weights("[policy]\ncost = 0\nlatency = 0", "site.toml:2", "both weights are 0")]
#[case::duplicate_path(
    "[routes.other]\npath = \"/v1/verse\"\nservice = \"verse\"\nidempotent = true\npriority = \"long\"\ntimeout = 1",
    "base.toml:30",
    "`path` `/v1/verse` is taken"
)]
fn overlay_refuses(#[case] overlay: &str, #[case] place: &str, #[case] message: &str) {
    let faults = parse(BASE, overlay).expect_err("fault");
    let found = faults
        .iter()
        .any(|fault| fault.starts_with(&format!("{place}: ")) && fault.contains(message));
    assert!(found, "want {place}..{message}, got {faults:#?}");
}

#[test]
fn parse_reports_every_fault() {
    let text = BASE
        .replace("weight = 1", "weight = 0")
        .replace("rate = 10", "rate = 0");
    assert_eq!(
        parse(&text, "[policy]\ncost = 101")
            .expect_err("faults")
            .len(),
        3
    );
}

#[test]
fn parse_limits_file_size() {
    let text = format!("#{}", "x".repeat(declaration::MAX_FILE_BYTES));
    let faults = parse(&text, "").expect_err("fault");
    assert!(
        faults[0].contains("keep it to 1048576 at most"),
        "{faults:?}"
    );
}

#[rstest]
#[case::erdene("erdene", [("verse-scribe", 10), ("kiosk-desk", 3)], 4)]
#[case::tirta_sulam("tirta-sulam", [("guava-model", 20), ("kit-app", 3)], 3)]
fn examples_have_sizes(
    #[case] site: &str,
    #[case] services: [(&str, usize); 2],
    #[case] routes: usize,
) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let read = |file: &str| fs::read_to_string(format!("{folder}/{file}.toml")).expect("file");
    let got = parse(&read("base"), &read(site)).expect("valid");
    assert_eq!(got.site, name::Name::from(site));
    assert_eq!(got.domains.len(), 3);
    assert_eq!(got.workspaces.len(), 5);
    assert_eq!(got.routes.len(), routes);
    for (service, count) in services {
        let upstreams = got
            .upstreams
            .iter()
            .filter(|u| u.service.as_str() == service);
        assert_eq!(upstreams.count(), count, "{service}");
    }
}
