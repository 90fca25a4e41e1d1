//! The table of measures against their bounds.

use std::fmt::Write as _;

use crate::bound;
use crate::measure;

/// A printed table.
#[derive(Clone, Debug)]
pub struct Table {
    /// Text with one line for each measure.
    pub text: String,
    /// Measures that are short and not known to be so.
    pub short: Vec<String>,
}

impl Table {
    /// Compares measures with bounds; `known` lists the measures known to be short.
    pub fn new(rows: &[measure::Measure], bounds: &[bound::Bound], known: &str) -> Self {
        let mut text = String::from("measure | baseline | now | bound | ok/short\n");
        text.push_str("---|---|---|---|---\n");
        let mut short = Vec::new();
        for row in rows {
            let bound = bounds.iter().find(|bound| bound.measure == row.name);
            let limit = bound.map_or_else(|| "none".to_owned(), bound::Bound::text);
            let verdict = verdict(row, bound, known);
            if verdict == "short" {
                short.push(row.name.clone());
            }
            let now = row.now;
            let _ = writeln!(
                text,
                "{} | {} | {now:.3} | {limit} | {verdict}",
                row.name, row.baseline
            );
        }
        let missing = bounds
            .iter()
            .filter(|bound| rows.iter().all(|row| row.name != bound.measure));
        for bound in missing {
            let _ = writeln!(
                text,
                "{} | none | not run | {} | short",
                bound.measure,
                bound.text()
            );
            short.push(bound.measure.clone());
        }
        Self { text, short }
    }
}

fn verdict(row: &measure::Measure, bound: Option<&bound::Bound>, known: &str) -> &'static str {
    let Some(bound) = bound else {
        return "no bound";
    };
    if bound.holds(row.now) {
        return "ok";
    }
    let is_known = known
        .lines()
        .any(|line| !line.starts_with('#') && line.contains(&row.name));
    if is_known { "short (known)" } else { "short" }
}
