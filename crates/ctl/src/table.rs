//! Plain text tables.

use std::fmt;

/// A table with aligned columns.
#[derive(Clone, Debug)]
pub struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Starts a table with its header.
    pub fn new(header: [&str; N]) -> Self {
        Self {
            rows: vec![header.map(str::to_owned)],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or_default()
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: [usize; N] = std::array::from_fn(|column| self.width(column));
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(widths)
                .map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
