//! Verdicts of the states of an exchange.

use guavausher_core::exchange;
use guavausher_core::verdict;
use rstest::rstest;

#[rstest]
#[case::before_first_byte(exchange::Unsent::open().fail(), verdict::Verdict::NotRun)]
#[case::after_first_byte(exchange::Unsent::open().send().fail(), verdict::Verdict::MayHaveRun)]
#[case::upstream_refused(exchange::Unsent::open().send().refuse(), verdict::Verdict::NotRun)]
#[case::complete_response(exchange::Unsent::open().send().finish(), verdict::Verdict::Ran)]
fn verdict_follows_step(#[case] got: verdict::Verdict, #[case] want: verdict::Verdict) {
    assert_eq!(got, want);
}
