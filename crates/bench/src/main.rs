//! Measures the decisions against simple baselines.

use std::fs;
use std::process;

use guavausher_bench::bound;
use guavausher_bench::cli;
use guavausher_bench::measure;
use guavausher_bench::table;

fn main() -> process::ExitCode {
    match cli::Command::parse(pico_args::Arguments::from_env()) {
        Ok(cli::Command::Help) => println!("{}", cli::HELP),
        Ok(cli::Command::Version) => println!("guavausher-bench {}", env!("CARGO_PKG_VERSION")),
        Ok(cli::Command::Run { seed, known }) => return run(seed, &known),
        Err(message) => {
            eprintln!("guavausher-bench: {message}");
            return process::ExitCode::from(2);
        }
    }
    process::ExitCode::SUCCESS
}

fn run(seed: u64, known: &str) -> process::ExitCode {
    let known = fs::read_to_string(known).unwrap_or_default();
    let bounds = match bound::Bound::all() {
        Ok(bounds) => bounds,
        Err(error) => {
            eprintln!("guavausher-bench: bounds.toml: {error}");
            return process::ExitCode::from(2);
        }
    };
    let table = table::Table::new(&measure::Measure::all(seed), &bounds, &known);
    print!("{}", table.text);
    if table.short.is_empty() {
        return process::ExitCode::SUCCESS;
    }
    eprintln!("{} measures are short", table.short.len());
    process::ExitCode::FAILURE
}
