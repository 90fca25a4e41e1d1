//! The `guavactl` binary.

use std::env;
use std::io;
use std::io::IsTerminal;
use std::process;

use guavactl::cli;
use guavactl::run;

fn main() -> process::ExitCode {
    let args = env::args_os().skip(1).collect();
    let variable = |name: &str| env::var(name).ok();
    let invocation = match cli::parse(args, variable) {
        Ok(invocation) => invocation,
        Err(usage) => {
            eprintln!("guavactl: {usage}\nTry `guavactl --help`.");
            return process::ExitCode::from(usage.exit().code());
        }
    };
    let mut output = run::Output {
        out: io::stdout(),
        err: io::stderr(),
        terminal: io::stdout().is_terminal(),
    };
    let exit = run::run(&invocation, &mut output);
    process::ExitCode::from(exit.code())
}
