//! The stand-in for the platform as a process.

use std::process;

use guavausher_standins::cli;
use guavausher_standins::handle;
use guavausher_standins::platform;

const HELP: &str = "\
A platform: object API, instance list, cloud API and weight store.

Usage: standin-platform --listen 127.0.0.1:PORT [flags]

  --listen ADDR        loopback address; port 0 takes a free one
  --call-ms N          time that each call takes (default 0)
  --list-lag-ms N      lag of the instance list (default 0)
  --refuse-rate N      refused instance starts in thousandths (default 0)
  --weight-rate N      bytes a second of the weight store (default 67108864)
  --seed N             seed of error rate and refused starts (default 1)
  --threads N          runtime threads (default 1)
  --help, --version
";

fn main() -> process::ExitCode {
    cli::main("standin-platform", HELP, start)
}

fn start(flags: &mut pico_args::Arguments) -> Result<handle::Handle, cli::Error> {
    let base = platform::Config::default();
    let config = platform::Config {
        listen: cli::listen(flags)?,
        call_ms: cli::flag(flags, "--call-ms", base.call_ms)?,
        list_lag_ms: cli::flag(flags, "--list-lag-ms", base.list_lag_ms)?,
        refuse_rate: cli::flag(flags, "--refuse-rate", base.refuse_rate)?,
        weight_rate: cli::flag(flags, "--weight-rate", base.weight_rate)?,
        seed: cli::flag(flags, "--seed", base.seed)?,
        threads: cli::flag(flags, "--threads", base.threads)?,
    };
    cli::finish(flags)?;
    Ok(platform::start(config)?)
}
