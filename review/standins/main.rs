//! The cases of the review. The first argument is the name of the case; the exit status is 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod crasher;
mod engine;
mod grace;
mod http;
mod json;
mod limits;
mod memory;
mod quarantine;
mod rollout;
mod site;
mod store;

use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = site::Record::create().and_then(|record| match case.as_str() {
        "memory" => memory::run(&record, has_trouble),
        "crasher" => crasher::run(&record, has_trouble),
        "grace" => grace::run(&record, has_trouble),
        "quarantine" => quarantine::run(&record, has_trouble),
        "rollout" => rollout::run(&record, has_trouble),
        "limits" => limits::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("the case could not run: {fault}");
            ExitCode::from(2)
        }
    }
}
