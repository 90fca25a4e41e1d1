//! Scenario files.

use std::net;

/// The highest accepted rate in requests a second.
pub const MAX_RATE: f64 = 100_000.0;

/// The longest accepted duration in seconds.
pub const MAX_DURATION_SECONDS: u64 = 3_600;

/// The most requests that one run may send.
pub const MAX_REQUESTS: f64 = 10_000_000.0;

/// The most words of a prompt and the most tokens of an answer.
pub const MAX_WORDS: u64 = 100_000;

/// The most times that one request is sent again.
pub const MAX_RECONNECTS: u32 = 16;

/// The most requests that may be open at once.
pub const MAX_OPEN: usize = 100_000;

/// The most targets or kinds of request.
pub const MAX_ENTRIES: usize = 1_024;

/// What a run sends, where to and how fast.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Loopback addresses; each request goes to one of them at random.
    pub targets: Vec<net::SocketAddr>,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent, in seconds.
    pub duration: u64,
    /// Seed of arrival times, targets, kinds and prompts.
    pub seed: u64,
    /// How requests are spaced.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// How long one request may take, in seconds.
    #[serde(default = "default_timeout")]
    pub timeout: u64,
    /// Requests that may be open at once; further ones count as unsent.
    #[serde(default = "default_limit")]
    pub limit: usize,
    /// How often a request that can't connect or whose stream is cut goes to the next target.
    #[serde(default)]
    pub reconnects: u32,
    /// Target for the first token or a whole answer, in milliseconds.
    #[serde(default = "default_first_ms")]
    pub first_ms: u64,
    /// Target for the gap between two tokens, in milliseconds.
    #[serde(default = "default_gap_ms")]
    pub gap_ms: u64,
    /// Kinds of request.
    pub requests: Vec<Kind>,
}

/// How requests are spaced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrivals {
    /// Independently, as from many callers.
    #[default]
    Poisson,
    /// By the same gap.
    Even,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// How often it is sent in relation to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Path of the request.
    pub path: String,
    /// Sent as `x-workspace`, if not empty.
    #[serde(default)]
    pub workspace: String,
    /// Words of the prompt.
    #[serde(default = "default_words")]
    pub words: u64,
    /// How many of its words are the same in every request of the kind.
    #[serde(default)]
    pub shared: u64,
    /// Tokens to ask for; without them the answer is not a stream.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether each request carries an `idempotency-key` of its own.
    #[serde(default)]
    pub key: bool,
}

/// Why a scenario is refused.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum Error {
    /// scenario: {0}
    Syntax(String),
    /// scenario: targets: {0} is not a loopback address; use 127.0.0.1:PORT
    Outside(net::SocketAddr),
    /// scenario: {0}: use {1}
    Range(&'static str, String),
    /// scenario: requests: path {0:?} must start with a slash
    Path(String),
    /// scenario: requests: workspace {0:?} is not header text
    Workspace(String),
}

impl std::error::Error for Error {}

impl Scenario {
    /// Parses a scenario without checking its bounds.
    ///
    /// # Errors
    ///
    /// Fails with line and column if the text is not a scenario.
    pub fn parse(text: &str) -> Result<Self, Error> {
        toml::from_str(text).map_err(|error| Error::Syntax(error.to_string()))
    }

    /// Checks every bound.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of its bounds.
    pub fn check(&self) -> Result<(), Error> {
        self.check_targets()?;
        let rate = self.rate > 0.0 && self.rate <= MAX_RATE;
        within(rate, "rate", format!("more than 0 and at most {MAX_RATE}"))?;
        let duration = (1..=MAX_DURATION_SECONDS).contains(&self.duration);
        within(
            duration,
            "duration",
            format!("1 to {MAX_DURATION_SECONDS} seconds"),
        )?;
        let count = self.rate * self.duration as f64 <= MAX_REQUESTS;
        within(
            count,
            "rate",
            format!("at most {MAX_REQUESTS} requests a run"),
        )?;
        let timeout = (1..=MAX_DURATION_SECONDS).contains(&self.timeout);
        within(
            timeout,
            "timeout",
            format!("1 to {MAX_DURATION_SECONDS} seconds"),
        )?;
        let limit = (1..=MAX_OPEN).contains(&self.limit);
        within(limit, "limit", format!("1 to {MAX_OPEN} open requests"))?;
        let reconnects = self.reconnects <= MAX_RECONNECTS;
        within(
            reconnects,
            "reconnects",
            format!("at most {MAX_RECONNECTS}"),
        )?;
        let count = (1..=MAX_ENTRIES).contains(&self.requests.len());
        within(count, "requests", format!("1 to {MAX_ENTRIES} kinds"))?;
        let weights = self.requests.iter().any(|kind| kind.weight > 0);
        within(
            weights,
            "weight",
            "more than 0 for one kind at least".to_owned(),
        )?;
        self.requests.iter().try_for_each(Kind::check)
    }

    fn check_targets(&self) -> Result<(), Error> {
        let count = (1..=MAX_ENTRIES).contains(&self.targets.len());
        within(count, "targets", format!("1 to {MAX_ENTRIES} addresses"))?;
        match self
            .targets
            .iter()
            .find(|target| !target.ip().is_loopback())
        {
            Some(target) => Err(Error::Outside(*target)),
            None => Ok(()),
        }
    }
}

impl Kind {
    fn check(&self) -> Result<(), Error> {
        let text = |byte: u8| byte.is_ascii_graphic();
        if !self.path.starts_with('/') || !self.path.bytes().all(text) {
            return Err(Error::Path(self.path.clone()));
        }
        if !self.workspace.bytes().all(text) {
            return Err(Error::Workspace(self.workspace.clone()));
        }
        within(
            self.words <= MAX_WORDS,
            "words",
            format!("at most {MAX_WORDS}"),
        )?;
        within(
            self.shared <= self.words,
            "shared",
            "at most words".to_owned(),
        )?;
        let tokens = self
            .max_tokens
            .is_none_or(|tokens| (1..=MAX_WORDS).contains(&tokens));
        within(tokens, "max_tokens", format!("1 to {MAX_WORDS}"))
    }
}

fn within(holds: bool, field: &'static str, bounds: String) -> Result<(), Error> {
    if holds {
        Ok(())
    } else {
        Err(Error::Range(field, bounds))
    }
}

const fn default_timeout() -> u64 {
    60
}

const fn default_limit() -> usize {
    10_000
}

const fn default_first_ms() -> u64 {
    1_600
}

const fn default_gap_ms() -> u64 {
    48
}

const fn default_weight() -> u32 {
    1
}

const fn default_words() -> u64 {
    32
}
