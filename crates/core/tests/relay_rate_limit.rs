//! Statements of rate limits, which arrive in any order.

mod relay_support;

use guavausher_core::relay::rate_limit::{Rate, Statement};
use relay_support::at;
use rstest::rstest;

fn statement(rate: Option<f64>, earliest: u64, latest: u64) -> Statement {
    Statement {
        rate: rate.and_then(Rate::from_per_second),
        earliest: at(earliest),
        latest: at(latest),
    }
}

/// Whichever arrives first, the later statement applies, or the lower limit if their order is not
/// known.
#[rstest]
#[case::later_limit(statement(Some(2.0), 0, 10), statement(Some(4.0), 10, 20), Some(4.0))]
#[case::later_end(statement(Some(2.0), 0, 10), statement(None, 10, 20), None)]
#[case::later_start(statement(None, 0, 10), statement(Some(2.0), 15, 20), Some(2.0))]
#[case::overlapping_limits(statement(Some(4.0), 0, 10), statement(Some(2.0), 9, 20), Some(2.0))]
#[case::overlapping_end(statement(Some(2.0), 0, 10), statement(None, 9, 20), Some(2.0))]
#[case::enclosed_end(statement(Some(2.0), 0, 20), statement(None, 5, 10), Some(2.0))]
fn merge_keeps_the_later_or_the_lower(
    #[case] first: Statement,
    #[case] second: Statement,
    #[case] expected: Option<f64>,
) {
    for merged in [first.merge(second), second.merge(first)] {
        assert_eq!(merged.rate.map(Rate::per_second), expected);
    }
}

/// A limit that is stated again is as late as the later statement.
#[test]
fn merge_of_equal_limits_keeps_the_later_times() {
    let merged = statement(Some(2.0), 0, 10).merge(statement(Some(2.0), 5, 15));
    assert_eq!(merged, statement(Some(2.0), 5, 15));
    let end = statement(None, 12, 20);
    assert_eq!(merged.merge(end), merged);
    assert_eq!(merged.merge(statement(None, 15, 20)).rate, None);
}

/// A statement that comes back from another instance is the same one, not a later one.
#[test]
fn merge_does_not_refresh_a_statement_that_comes_back() {
    let own = statement(Some(2.0), 5, 10);
    assert_eq!(own.merge(statement(Some(2.0), 4, 12)), own);
}

#[rstest]
#[case::usual(2.5, Some(2.5))]
#[case::zero(0.0, Some(0.1))]
#[case::huge(1e9, Some(1e6))]
#[case::negative(-1.0, None)]
#[case::not_a_number(f64::NAN, None)]
#[case::infinite(f64::INFINITY, None)]
fn from_per_second_accepts_rates_only(#[case] rate: f64, #[case] expected: Option<f64>) {
    assert_eq!(Rate::from_per_second(rate).map(Rate::per_second), expected);
}

/// A rate from a damaged message must not make the time between two requests infinite.
#[test]
fn per_second_of_a_received_zero_is_positive() {
    let config = bincode::config::standard();
    let (rate, _) = bincode::serde::decode_from_slice::<Rate, _>(&[0], config).unwrap();
    assert!(rate.per_second() > 0.0);
}
