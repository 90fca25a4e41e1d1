//! The command line.

use std::ffi;
use std::fmt::Write;
use std::str;
use std::time;

use crate::command;
use crate::drain;
use crate::error;
use crate::settings;

const DEFAULT_LIMIT: usize = 20;
const MAX_LIMIT: usize = 1_000;
const DEFAULT_TIMEOUT_SECONDS: u64 = 30;
const MAX_TIMEOUT_SECONDS: u64 = 86_400;
const MAX_AUTHOR_BYTES: usize = 64;

const COMMANDS: [(&str, &str); 9] = [
    ("check", "check the files"),
    ("plan", "show what an apply would change"),
    (
        "apply [--generation N] [--wait]",
        "store the declaration, if N is stored now; wait until in force",
    ),
    (
        "status [--watch]",
        "show services, rollouts, domains and leaving upstreams",
    ),
    (
        "wait [--generation N] [--rollout SERVICE]",
        "wait until N is in force, or the rollout ends",
    ),
    (
        "history [GENERATION] [--limit N]",
        "list what was applied, or what one generation changed",
    ),
    ("audit [--limit N]", "list who did what, with its outcome"),
    (
        "drain [--undo] UPSTREAM",
        "give an upstream no new work, or work again",
    ),
    (
        "explain ID [LOG...]",
        "tell what happened to a request, from logs or standard input",
    ),
];

const STATUSES: [&str; 5] = [
    "0  done",
    "1  refused, failed or not in time",
    "2  wrong command line or setting",
    "3  another operator's change came first",
    "4  the platform could not be reached",
];

/// Parses arguments and environment variables.
///
/// # Errors
///
/// Fails with an error that names the argument or setting.
pub fn parse(
    args: Vec<ffi::OsString>,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<command::Invocation, error::Error> {
    let mut parser = Parser {
        args: pico_args::Arguments::from_vec(args),
        variable,
    };
    let settings = parser.settings()?;
    let command = parser.command()?;
    let rest = parser.args.finish();
    if let Some(extra) = rest.first() {
        let text = format!("unexpected argument `{}`", extra.to_string_lossy());
        return Err(error::Error::Arguments(text));
    }
    Ok(command::Invocation { command, settings })
}

/// Returns the help.
pub fn help() -> String {
    let mut text = String::from(
        "Checks, plans, applies and follows the declaration of a guavausher deployment.\n\n\
         Usage: guavactl COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for (usage, about) in COMMANDS {
        let _ = writeln!(text, "  {usage:<42}  {about}");
    }
    text.push_str("\nOptions (flag, environment variable, default; the flag wins):\n");
    for setting in settings::ALL {
        let flag = format!("{} {}", setting.flag, setting.value);
        let default = match setting.default {
            "" => "required",
            default => default,
        };
        let _ = writeln!(
            text,
            "  {flag:<19}  {:<20}  {default:<20}  {}",
            setting.variable, setting.about
        );
    }
    text.push_str(
        "  --json                                                            print JSON\n",
    );
    text.push_str(
        "  -h, --help                                                        print this\n",
    );
    text.push_str(
        "  -V, --version                                                     print the version\n",
    );
    text.push_str("\nExit status:\n");
    for status in STATUSES {
        let _ = writeln!(text, "  {status}");
    }
    text
}

struct Parser<V> {
    args: pico_args::Arguments,
    variable: V,
}

impl<V: Fn(&str) -> Option<String>> Parser<V> {
    fn settings(&mut self) -> Result<settings::Settings, error::Error> {
        let address = "write an address by IP number, for example 127.0.0.1:7000";
        let seconds = "write a number of seconds from 1 to 86400";
        let author = "write a name of 1 to 64 bytes without control characters";
        let timeout = self
            .setting(&settings::TIMEOUT, seconds, |value| {
                let seconds = value.parse().ok()?;
                (1..=MAX_TIMEOUT_SECONDS)
                    .contains(&seconds)
                    .then_some(seconds)
            })?
            .unwrap_or(DEFAULT_TIMEOUT_SECONDS);
        let path = "write the path of a file";
        let named = |value: &str| (!value.is_empty()).then(|| value.to_owned());
        Ok(settings::Settings {
            platform: self.setting(&settings::PLATFORM, address, |value| value.parse().ok())?,
            base: self.setting(&settings::BASE, path, named)?,
            overlay: self.setting(&settings::OVERLAY, path, named)?,
            author: self
                .setting(&settings::AUTHOR, author, parse_author)?
                .or_else(|| (self.variable)("USER").and_then(|user| parse_author(&user))),
            timeout: time::Duration::from_secs(timeout),
            json: self.args.contains("--json"),
        })
    }

    fn command(&mut self) -> Result<command::Command, error::Error> {
        if self.args.contains(["-h", "--help"]) {
            return Ok(command::Command::Print(help()));
        }
        if self.args.contains(["-V", "--version"]) {
            let text = format!("guavactl {}\n", env!("CARGO_PKG_VERSION"));
            return Ok(command::Command::Print(text));
        }
        let name = self.args.subcommand().map_err(arguments)?;
        match name.as_deref() {
            Some("check") => Ok(command::Command::Check),
            Some("plan") => Ok(command::Command::Plan),
            Some("apply") => Ok(command::Command::Apply {
                generation: self.option("--generation")?,
                wait: self.args.contains("--wait"),
            }),
            Some("status") => Ok(command::Command::Status {
                watch: self.args.contains("--watch"),
            }),
            Some("wait") => Ok(command::Command::Wait {
                generation: self.option("--generation")?,
                rollout: self.option("--rollout")?,
            }),
            Some("history") => Ok(command::Command::History {
                limit: self.limit()?,
                generation: self.free()?,
            }),
            Some("audit") => Ok(command::Command::Audit {
                limit: self.limit()?,
            }),
            Some("drain") => self.drain(),
            Some("explain") => self.explain(),
            Some(name) => Err(error::Error::Arguments(format!("unknown command `{name}`"))),
            None => Err(error::Error::Arguments("no command given".to_owned())),
        }
    }

    fn drain(&mut self) -> Result<command::Command, error::Error> {
        let action = match self.args.contains("--undo") {
            true => drain::Action::Undo,
            false => drain::Action::Start,
        };
        let upstream = self.free()?;
        let missing = || error::Error::Arguments("drain needs an UPSTREAM".to_owned());
        Ok(command::Command::Drain {
            upstream: upstream.ok_or_else(missing)?,
            action,
        })
    }

    fn explain(&mut self) -> Result<command::Command, error::Error> {
        let id = self.free()?;
        let missing = || error::Error::Arguments("explain needs the ID of a request".to_owned());
        let id = id.ok_or_else(missing)?;
        let mut files = Vec::new();
        while let Some(file) = self.free()? {
            files.push(file);
        }
        Ok(command::Command::Explain { id, files })
    }

    /// Reads a setting from its flag, else from its variable.
    fn setting<T>(
        &mut self,
        setting: &settings::Setting,
        mend: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, error::Error> {
        let flag: Option<String> = self.option(setting.flag)?;
        let (origin, value) = match (flag, (self.variable)(setting.variable)) {
            (Some(value), _) => (setting.flag, value),
            (None, Some(value)) => (setting.variable, value),
            (None, None) => return Ok(None),
        };
        match parse(&value) {
            Some(parsed) => Ok(Some(parsed)),
            None => Err(error::Error::Invalid {
                origin: origin.to_owned(),
                value,
                mend,
            }),
        }
    }

    fn option<T>(&mut self, flag: &'static str) -> Result<Option<T>, error::Error>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        self.args.opt_value_from_str(flag).map_err(arguments)
    }

    fn free<T>(&mut self) -> Result<Option<T>, error::Error>
    where
        T: str::FromStr,
        T::Err: std::fmt::Display,
    {
        self.args.opt_free_from_str().map_err(arguments)
    }

    fn limit(&mut self) -> Result<usize, error::Error> {
        let limit = self.option("--limit")?.unwrap_or(DEFAULT_LIMIT);
        if (1..=MAX_LIMIT).contains(&limit) {
            return Ok(limit);
        }
        Err(error::Error::Invalid {
            origin: "--limit".to_owned(),
            value: limit.to_string(),
            mend: "write a number from 1 to 1000",
        })
    }
}

fn parse_author(value: &str) -> Option<String> {
    let sized = (1..=MAX_AUTHOR_BYTES).contains(&value.len());
    let plain = !value.chars().any(char::is_control);
    (sized && plain).then(|| value.to_owned())
}

fn arguments(error: pico_args::Error) -> error::Error {
    error::Error::Arguments(error.to_string())
}
