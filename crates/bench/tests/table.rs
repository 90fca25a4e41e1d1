//! The table of measures and the runs behind it.

use guavausher_bench::bound;
use guavausher_bench::entry;
use guavausher_bench::measure;
use guavausher_bench::setup;
use guavausher_bench::sim;
use guavausher_bench::summary;
use guavausher_bench::table;
use rstest::rstest;

fn bounds() -> Vec<bound::Bound> {
    vec![bound::Bound {
        measure: "speed".to_owned(),
        least: None,
        most: Some(2.0),
    }]
}

#[rstest]
#[case::within(&[("speed", 1.0)], "", 0)]
#[case::at_bound(&[("speed", 2.0)], "", 0)]
#[case::beyond(&[("speed", 2.1)], "", 1)]
#[case::not_a_number(&[("speed", f64::NAN)], "", 1)]
#[case::not_run(&[], "", 1)]
#[case::known(&[("speed", 2.1)], "speed | scripts/bench.sh, seed 1 | 2.1 | 5", 0)]
#[case::only_commented(&[("speed", 2.1)], "# speed", 1)]
fn table_counts_short(#[case] rows: &[(&str, f64)], #[case] known: &str, #[case] short: usize) {
    let rows: Vec<_> = rows
        .iter()
        .map(|(name, now)| measure::Measure::new(*name, "none", *now))
        .collect();
    let table = table::Table::new(&rows, &bounds(), known);
    assert_eq!(table.short.len(), short, "{}", table.text);
}

#[test]
fn bounds_parse() {
    let bounds = bound::Bound::all().expect("bounds.toml is valid");
    assert!(
        bounds
            .iter()
            .all(|bound| bound.least.is_some() || bound.most.is_some())
    );
}

#[rstest]
#[case::round_robin(entry::Policy::RoundRobin)]
#[case::core(entry::Policy::Core)]
fn run_repeats_with_seed(#[case] policy: entry::Policy) {
    let setup = setup::Setup::at_load(policy, 5, 90, 30);
    let first = summary::Summary::new(&sim::run(&setup), setup.demand.length);
    let second = summary::Summary::new(&sim::run(&setup), setup.demand.length);
    assert!(first.offered > 100);
    assert_eq!(first.good, second.good);
    assert_eq!(first.recomputed, second.recomputed);
}

#[test]
fn run_ends_every_request() {
    let setup = setup::Setup::at_load(entry::Policy::Core, 5, 200, 30);
    let requests = sim::run(&setup).requests;
    let open = requests
        .iter()
        .filter(|request| !request.whole && !request.refused);
    assert_eq!(open.count(), 0);
}
