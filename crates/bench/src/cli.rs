//! Flags of the benchmark.

/// Text printed for `--help`.
pub const HELP: &str = "\
Measures the decisions against simple baselines.

Usage: guavausher-bench [--seed N] [--known FILE]

  --seed N      seed of arrivals and decisions (default 1)
  --known FILE  list of measures known to be short (default KNOWN-RED.txt)
  --help        print this text
  --version     print the version

Exit status: 0 all within bounds, 1 a measure is short, 2 bad usage.";

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run all measures.
    Run {
        /// Seed of arrivals and decisions.
        seed: u64,
        /// Path of the list of known short measures.
        known: String,
    },
}

impl Command {
    /// Parses flags.
    ///
    /// # Errors
    /// Returns a message that names the bad flag.
    pub fn parse(mut args: pico_args::Arguments) -> Result<Self, String> {
        if args.contains("--help") {
            return Ok(Self::Help);
        }
        if args.contains("--version") {
            return Ok(Self::Version);
        }
        let seed = args
            .opt_value_from_str("--seed")
            .map_err(|error| error.to_string())?;
        let known = args
            .opt_value_from_str("--known")
            .map_err(|error| error.to_string())?;
        if let Some(rest) = args.finish().first() {
            return Err(format!("unknown argument {rest:?}; see --help"));
        }
        Ok(Self::Run {
            seed: seed.unwrap_or(1),
            known: known.unwrap_or_else(|| "KNOWN-RED.txt".to_owned()),
        })
    }
}
