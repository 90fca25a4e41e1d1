//! The error table of the callers' page.

use std::fs;

use guavausher_core::refusal;
use rstest::rstest;

#[rstest]
#[case::not_ready(refusal::Code::NotReady)]
#[case::stopping(refusal::Code::Stopping)]
#[case::no_route(refusal::Code::NoRoute)]
#[case::no_workspace(refusal::Code::NoWorkspace)]
#[case::limited(refusal::Code::Limited)]
#[case::overloaded(refusal::Code::Overloaded)]
#[case::no_upstream(refusal::Code::NoUpstream)]
#[case::deadline(refusal::Code::Deadline)]
#[case::blocked(refusal::Code::Blocked)]
#[case::key_mismatch(refusal::Code::KeyMismatch)]
#[case::key_running(refusal::Code::KeyRunning)]
#[case::key_unclear(refusal::Code::KeyUnclear)]
#[case::unrecorded(refusal::Code::Unrecorded)]
#[case::upstream_failed(refusal::Code::UpstreamFailed)]
fn page_lists_refusal(#[case] code: refusal::Code) {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/API.md");
    let page = fs::read_to_string(path).expect("page");
    let row = format!("| `{}` | {} |", code.as_str(), code.status());
    assert!(page.contains(&row), "{row}");
}
