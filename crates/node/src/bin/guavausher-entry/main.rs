//! The entry: carries requests from callers to upstreams.

mod cli;

use std::process;

use guavausher_node::{entry, logging};

fn main() -> process::ExitCode {
    let settings = match cli::load() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Err(fault) = logging::init(settings.level) {
        eprintln!("guavausher-entry: {fault}");
        return process::ExitCode::FAILURE;
    }
    match entry::run(settings.entry) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            log::error!(fault:%; "entry ended");
            process::ExitCode::FAILURE
        }
    }
}
