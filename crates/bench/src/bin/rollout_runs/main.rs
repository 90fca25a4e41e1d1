//! Rollouts of good and bad versions under ordinary noise, over seeded runs.
//!
//! Prints `measure | now | bound | ok/short` and ends with status 1 if a bound is not met.

mod cli;
mod fault;
mod fleet;
mod noise;
mod outcome;
mod run;
mod service;
mod table;

use std::process;

fn main() -> process::ExitCode {
    let options = match cli::read() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("rollout_runs: {error}; usage: rollout_runs [--runs N] [--seed S] [--each]");
            return process::ExitCode::from(2);
        }
    };
    let outcomes: Vec<_> = (0..options.runs)
        .map(|index| run::Run::new(options.seed, index).play())
        .collect();
    if options.each {
        outcomes.iter().for_each(|outcome| println!("{outcome}"));
    }
    let rows = table::rows(&outcomes);
    table::print(&rows);
    if rows.iter().all(table::Row::is_ok) {
        return process::ExitCode::SUCCESS;
    }
    process::ExitCode::FAILURE
}
