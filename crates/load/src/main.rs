//! The load generator's command line.

use std::process;

use guavausher_load::cli;
use guavausher_load::report;
use guavausher_load::run;

fn main() -> process::ExitCode {
    let command = match cli::Command::read() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("guavausher-load: {error}; see guavausher-load --help");
            return process::ExitCode::from(cli::USAGE_STATUS);
        }
    };
    let (scenario, json) = match command {
        cli::Command::Print(text) => {
            print!("{text}");
            return process::ExitCode::SUCCESS;
        }
        cli::Command::Run { scenario, json } => (scenario, json),
    };
    let tally = match run::run(&scenario) {
        Ok(tally) => tally,
        Err(error) => {
            eprintln!("guavausher-load: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let report = report::Report::new(&scenario, &tally);
    println!(
        "{}",
        if json {
            report.to_json()
        } else {
            report.to_string()
        }
    );
    if report.ok > 0 {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}
