//! The controller: leases, rollouts, drains and orders, one beside each entry.

mod cli;

use std::process;

use guavausher_node::{controller, logging};

fn main() -> process::ExitCode {
    let settings = match cli::load() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if let Err(fault) = logging::init(settings.level) {
        eprintln!("guavausher-controller: {fault}");
        return process::ExitCode::FAILURE;
    }
    match controller::run(settings.controller) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(fault) => {
            log::error!(fault:%; "controller ended");
            process::ExitCode::FAILURE
        }
    }
}
