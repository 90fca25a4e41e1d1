//! The table of measures and bounds.

use guavausher_core::rollout;

use crate::outcome;

/// One measure with its bound.
pub struct Row {
    measure: &'static str,
    now: f64,
    bound: f64,
}

impl Row {
    /// Tells whether the measure is within its bound.
    pub fn is_ok(&self) -> bool {
        self.now <= self.bound
    }
}

/// Computes the measures.
pub fn rows(outcomes: &[outcome::Outcome]) -> Vec<Row> {
    let good = || outcomes.iter().filter(|o| o.fault.is_none());
    let bad = || outcomes.iter().filter(|o| o.fault.is_some());
    let taken = good().filter(|o| o.phase == rollout::Phase::RolledBack);
    let done = bad().filter(|o| o.phase == rollout::Phase::Done);
    let open = outcomes.iter().filter(|o| !o.phase.is_end());
    let harmed = bad().map(|o| o.harmed).sum::<u64>() as f64;
    let lingered = outcomes.iter().map(|o| o.lingered).max().unwrap_or(0);
    let excess = outcomes.iter().map(|o| o.excess).max().unwrap_or(0);
    vec![
        row("bad versions done", done.count() as f64, 0.0),
        row(
            "good versions taken back, of 100",
            100.0 * taken.count() as f64 / good().count().max(1) as f64,
            1.0,
        ),
        row(
            "rollouts undecided at their deadline",
            open.count() as f64,
            0.0,
        ),
        row(
            "requests beyond the canary share at an entry",
            excess as f64,
            0.0,
        ),
        row(
            "seconds of new work after a halt, worst",
            lingered as f64 / 1e6,
            2.0,
        ),
        row(
            "requests that met a fault, mean of a bad version",
            harmed / bad().count().max(1) as f64,
            60.0,
        ),
        row(
            "seconds until a fault is halted, median",
            median(bad().map(|o| o.noticed)) as f64 / 1e6,
            10.0,
        ),
        row(
            "percent of its time that a good version takes, median",
            100.0 - median(good().map(|o| o.spare)) as f64 / 10.0,
            90.0,
        ),
    ]
}

fn median(values: impl Iterator<Item = u64>) -> u64 {
    let mut values: Vec<_> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}

/// Prints the table.
pub fn print(rows: &[Row]) {
    println!("measure | now | bound | ok/short");
    for row in rows {
        let state = if row.is_ok() { "ok" } else { "short" };
        println!(
            "{} | {:.2} | {:.2} | {state}",
            row.measure, row.now, row.bound
        );
    }
}

const fn row(measure: &'static str, now: f64, bound: f64) -> Row {
    Row {
        measure,
        now,
        bound,
    }
}
