//! The stand-in for a model engine as a process.

use std::process;

use guavausher_standins::cli;
use guavausher_standins::engine;
use guavausher_standins::handle;

const HELP: &str = "\
A model engine with continuous batching and a prefix cache.

Usage: standin-engine --listen 127.0.0.1:PORT [flags]

  --listen ADDR          loopback address; port 0 takes a free one
  --slots N              requests that run at once (default 64)
  --queue N              requests that may wait (default 256)
  --token-ms N           gap between two tokens (default 10)
  --prefill-us N         time to compute a token that is not cached (default 0)
  --cache-blocks N       blocks of 16 words that the prefix cache holds (default 4096)
  --load-lag-ms N        lag of load reports (default 0)
  --cache-lag-ms N       lag of cache events (default 0)
  --cache-gap-rate N     dropped cache events in thousandths (default 0)
  --fencing              refuse an order with a lower fencing number
  --crash-on-poison      end with status 3 on a body that contains CRASH
  --serves VERSION       the version that is served first (default v1)
  --incarnation N        incarnation; 0 takes the start time (default 0)
  --seed N               seed of error rate and cache gaps (default 1)
  --threads N            runtime threads (default 1)
  --help, --version
";

fn main() -> process::ExitCode {
    cli::main("standin-engine", HELP, start)
}

fn start(flags: &mut pico_args::Arguments) -> Result<handle::Handle, cli::Error> {
    let base = engine::Config::default();
    let config = engine::Config {
        listen: cli::listen(flags)?,
        slots: cli::flag(flags, "--slots", base.slots)?,
        queue: cli::flag(flags, "--queue", base.queue)?,
        token_ms: cli::flag(flags, "--token-ms", base.token_ms)?,
        prefill_us: cli::flag(flags, "--prefill-us", base.prefill_us)?,
        cache_blocks: cli::flag(flags, "--cache-blocks", base.cache_blocks)?,
        load_lag_ms: cli::flag(flags, "--load-lag-ms", base.load_lag_ms)?,
        cache_lag_ms: cli::flag(flags, "--cache-lag-ms", base.cache_lag_ms)?,
        cache_gap_rate: cli::flag(flags, "--cache-gap-rate", base.cache_gap_rate)?,
        fencing: flags.contains("--fencing"),
        crash_on_poison: flags.contains("--crash-on-poison"),
        version: cli::flag(flags, "--serves", base.version)?,
        incarnation: cli::flag(flags, "--incarnation", base.incarnation)?,
        seed: cli::flag(flags, "--seed", base.seed)?,
        threads: cli::flag(flags, "--threads", base.threads)?,
    };
    cli::finish(flags)?;
    Ok(engine::start(config)?)
}
