//! Command line of the benchmark.

/// What to run.
pub struct Options {
    /// Number of rollouts; every second one is of a bad version.
    pub runs: u64,
    /// Seed of the first run.
    pub seed: u64,
    /// Whether to print the outcome of each run.
    pub each: bool,
}

/// Reads the options of this process.
pub fn read() -> Result<Options, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    Ok(Options {
        runs: arguments.opt_value_from_str("--runs")?.unwrap_or(200),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        each: arguments.contains("--each"),
    })
}
