//! The stand-in for a plain service as a process.

use std::process;

use guavausher_standins::cli;
use guavausher_standins::handle;
use guavausher_standins::service;

const HELP: &str = "\
A plain service that counts every run of every key.

Usage: standin-service --listen 127.0.0.1:PORT [flags]

  --listen ADDR        loopback address; port 0 takes a free one
  --deduplicate        give a known key its first answer again without running
  --run-ms N           how long one run takes (default 0)
  --slots N            capacity in load reports (default 64)
  --serves VERSION     the version that is served (default v1)
  --incarnation N      incarnation; 0 takes the start time (default 0)
  --seed N             seed of the error rate (default 1)
  --threads N          runtime threads (default 1)
  --help, --version
";

fn main() -> process::ExitCode {
    cli::main("standin-service", HELP, start)
}

fn start(flags: &mut pico_args::Arguments) -> Result<handle::Handle, cli::Error> {
    let base = service::Config::default();
    let config = service::Config {
        listen: cli::listen(flags)?,
        deduplicate: flags.contains("--deduplicate"),
        run_ms: cli::flag(flags, "--run-ms", base.run_ms)?,
        slots: cli::flag(flags, "--slots", base.slots)?,
        version: cli::flag(flags, "--serves", base.version)?,
        incarnation: cli::flag(flags, "--incarnation", base.incarnation)?,
        seed: cli::flag(flags, "--seed", base.seed)?,
        threads: cli::flag(flags, "--threads", base.threads)?,
    };
    cli::finish(flags)?;
    Ok(service::start(config)?)
}
