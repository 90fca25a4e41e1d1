//! Flags and environment variables.

use std::env;
use std::fmt;
use std::fs;
use std::str;

use crate::scenario;

/// The exit status after a bad setting.
pub const USAGE_STATUS: u8 = 2;

/// The largest accepted scenario file in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The text of `--help`.
const HELP: &str = "\
Sends a scenario's requests at seeded times, whether or not earlier ones were answered, and
measures from the intended times.

Usage: guavausher-load --scenario FILE [flags]

  flag              variable                    meaning
  --scenario FILE   GUAVAUSHER_LOAD_SCENARIO    scenario file (TOML)
  --targets LIST    GUAVAUSHER_LOAD_TARGETS     addresses with commas, in place of the file's
  --rate N          GUAVAUSHER_LOAD_RATE        requests a second, in place of the file's
  --duration N      GUAVAUSHER_LOAD_DURATION    seconds of sending, in place of the file's
  --seed N          GUAVAUSHER_LOAD_SEED        seed, in place of the file's
  --json            GUAVAUSHER_LOAD_JSON        one line of JSON in place of the table (true, false)
  --help, --version

Scenario file (defaults in brackets):

  targets = [\"127.0.0.1:8001\"]   # loopback addresses
  rate = 50.0                    # requests a second, at most 100000
  duration = 10                  # seconds, at most 3600
  seed = 1
  arrivals = \"poisson\"           # or \"even\" [poisson]
  timeout = 60                   # seconds a request [60]
  limit = 10000                  # open requests; further ones count as unsent [10000]
  reconnects = 0                 # times the next target gets a cut stream or what found no
                                 # connection [0]
  first_ms = 1600                # target for first token or whole answer [1600]
  gap_ms = 48                    # target for gaps [48]
  [[requests]]
  path = \"/v1/chat\"
  weight = 1                     # share among the kinds [1]
  workspace = \"\"                 # x-workspace header [none]
  words = 32                     # of the prompt [32]
  shared = 0                     # of these the same in all requests of the kind [0]
  max_tokens = 40                # a token stream; without it a whole answer
  key = false                    # an idempotency-key for each request [false]

Counts: refused says x-verdict: not-run; unreached found no connection; truncated streams had no
done event; missing counts offsets left out before the last one, and in finished streams those up
to max_tokens. A good request is whole, starts within first_ms and has at most one gap in 20 over
gap_ms.

Exit status: 0 if any request got a whole answer, 1 if none did, 2 for a bad setting.
";

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print a text.
    Print(String),
    /// Run a scenario.
    Run {
        /// The scenario, checked.
        scenario: scenario::Scenario,
        /// Whether to print JSON.
        json: bool,
    },
}

/// Why the settings are refused.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// --scenario or GUAVAUSHER_LOAD_SCENARIO must name a file
    NoScenario,
    /// --scenario: {0}: {1}
    File(String, String),
    /// {0}: {1:?} can't be used: {2}
    Value(&'static str, String, String),
    /// unknown argument {0}
    Unknown(String),
    /// {0}
    Flag(pico_args::Error),
    /// {0}
    Scenario(scenario::Error),
}

impl std::error::Error for Error {}

impl Command {
    /// Reads the command line and the environment; a flag wins over its variable.
    ///
    /// # Errors
    ///
    /// Names the setting that is missing or bad.
    pub fn read() -> Result<Self, Error> {
        let mut flags = pico_args::Arguments::from_env();
        if flags.contains(["-h", "--help"]) {
            return Ok(Self::Print(HELP.to_owned()));
        }
        if flags.contains(["-V", "--version"]) {
            return Ok(Self::Print(format!(
                "guavausher-load {}\n",
                env!("CARGO_PKG_VERSION")
            )));
        }
        let path = text(&mut flags, "--scenario", "GUAVAUSHER_LOAD_SCENARIO")?;
        let path = path.ok_or(Error::NoScenario)?;
        let mut scenario = scenario::Scenario::parse(&load(&path)?).map_err(Error::Scenario)?;
        replace(&mut flags, &mut scenario)?;
        let json = flags.contains("--json") || json_variable()?;
        if let Some(word) = flags.finish().first() {
            return Err(Error::Unknown(word.to_string_lossy().into_owned()));
        }
        scenario.check().map_err(Error::Scenario)?;
        Ok(Self::Run { scenario, json })
    }
}

fn replace(
    flags: &mut pico_args::Arguments,
    scenario: &mut scenario::Scenario,
) -> Result<(), Error> {
    if let Some(list) = text(flags, "--targets", "GUAVAUSHER_LOAD_TARGETS")? {
        let targets = list.split(',').map(|target| parse("--targets", target));
        scenario.targets = targets.collect::<Result<_, _>>()?;
    }
    if let Some(rate) = text(flags, "--rate", "GUAVAUSHER_LOAD_RATE")? {
        scenario.rate = parse("--rate", &rate)?;
    }
    if let Some(duration) = text(flags, "--duration", "GUAVAUSHER_LOAD_DURATION")? {
        scenario.duration = parse("--duration", &duration)?;
    }
    if let Some(seed) = text(flags, "--seed", "GUAVAUSHER_LOAD_SEED")? {
        scenario.seed = parse("--seed", &seed)?;
    }
    Ok(())
}

fn text(
    flags: &mut pico_args::Arguments,
    flag: &'static str,
    variable: &str,
) -> Result<Option<String>, Error> {
    let given = flags.opt_value_from_str(flag).map_err(Error::Flag)?;
    Ok(given.or_else(|| env::var(variable).ok()))
}

fn json_variable() -> Result<bool, Error> {
    match env::var("GUAVAUSHER_LOAD_JSON") {
        Ok(text) => parse("GUAVAUSHER_LOAD_JSON", &text),
        Err(_) => Ok(false),
    }
}

fn parse<T>(flag: &'static str, text: &str) -> Result<T, Error>
where
    T: str::FromStr,
    T::Err: fmt::Display,
{
    text.parse()
        .map_err(|error: T::Err| Error::Value(flag, text.to_owned(), error.to_string()))
}

fn load(path: &str) -> Result<String, Error> {
    let fail = |error: std::io::Error| Error::File(path.to_owned(), error.to_string());
    if fs::metadata(path).map_err(fail)?.len() > MAX_FILE_BYTES {
        let message = format!("use at most {MAX_FILE_BYTES} bytes");
        return Err(Error::File(path.to_owned(), message));
    }
    fs::read_to_string(path).map_err(fail)
}
