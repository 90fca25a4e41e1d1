//! Command lines of the stand-ins.

use std::error;
use std::io::Write;
use std::net;
use std::process;

use crate::handle;

/// The exit status after a bad flag.
const USAGE_STATUS: u8 = 2;

/// The exit status after a crash that was asked for.
const CRASH_STATUS: u8 = 3;

/// Any error that ends a stand-in at its start.
pub type Error = Box<dyn error::Error + Send + Sync>;

/// Reads the flags, starts the stand-in and waits for its end.
pub fn main(
    name: &str,
    help: &str,
    start: impl FnOnce(&mut pico_args::Arguments) -> Result<handle::Handle, Error>,
) -> process::ExitCode {
    let mut flags = pico_args::Arguments::from_env();
    if flags.contains(["-h", "--help"]) {
        print!("{help}");
        return process::ExitCode::SUCCESS;
    }
    if flags.contains(["-V", "--version"]) {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    match start(&mut flags) {
        Ok(handle) => wait(handle),
        Err(error) => {
            eprintln!("{name}: {error}; see {name} --help");
            process::ExitCode::from(USAGE_STATUS)
        }
    }
}

/// Reads the address flag, which must be a loopback address.
pub fn listen(flags: &mut pico_args::Arguments) -> Result<net::SocketAddr, Error> {
    let listen = flags.value_from_str::<_, net::SocketAddr>("--listen")?;
    if !listen.ip().is_loopback() {
        return Err(format!("--listen: {listen} is no loopback address").into());
    }
    Ok(listen)
}

/// Reads an optional flag, or takes its default.
pub fn flag<T>(flags: &mut pico_args::Arguments, name: &'static str, default: T) -> Result<T, Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    Ok(flags.opt_value_from_str(name)?.unwrap_or(default))
}

/// Refuses flags that nothing has read.
pub fn finish(flags: &mut pico_args::Arguments) -> Result<(), Error> {
    let rest = std::mem::replace(flags, pico_args::Arguments::from_vec(Vec::new())).finish();
    match rest.first() {
        None => Ok(()),
        Some(word) => Err(format!("unknown flag {}", word.to_string_lossy()).into()),
    }
}

fn wait(handle: handle::Handle) -> process::ExitCode {
    println!("listening on {}", handle.address());
    std::io::stdout().flush().ok();
    match handle.wait() {
        handle::Phase::Crashed => process::ExitCode::from(CRASH_STATUS),
        _ => process::ExitCode::SUCCESS,
    }
}
