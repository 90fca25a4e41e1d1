//! The table of one program's settings and its reader.

use std::env;
use std::ffi;
use std::process;

use crate::settings::{EXIT_STATUS, Error, Setting, Values};

/// Name, purpose and settings of one program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One sentence on what it does.
    pub about: &'static str,
    /// What its operands are called in the usage line; empty if it takes none.
    pub operands: &'static str,
    /// Its settings.
    pub settings: &'static [Setting],
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// Print this help and end.
    Help(String),
    /// Print this version and end.
    Version(String),
    /// Run with these values.
    Run(Values),
}

impl Program {
    /// Reads the command line and environment of this process, printing help, version or error.
    ///
    /// # Errors
    ///
    /// Returns the exit status to end with if the program is not to run.
    pub fn load(&self) -> Result<Values, process::ExitCode> {
        let arguments = env::args_os().skip(1).collect();
        match self.read(arguments, |variable| env::var_os(variable)) {
            Ok(Outcome::Run(values)) => Ok(values),
            Ok(Outcome::Help(text) | Outcome::Version(text)) => {
                println!("{text}");
                Err(process::ExitCode::SUCCESS)
            }
            Err(error) => Err(self.refuse(&error)),
        }
    }

    /// Prints an error of the settings and returns the exit status for it.
    pub fn refuse(&self, error: &Error) -> process::ExitCode {
        eprintln!("{}: {error}", self.name);
        process::ExitCode::from(EXIT_STATUS)
    }

    /// Reads and checks every setting from arguments (without the program's path) and variables.
    ///
    /// # Errors
    ///
    /// Fails on the first value that is missing or bad and on unknown arguments.
    pub fn read(
        &self,
        arguments: Vec<ffi::OsString>,
        variable: impl Fn(&str) -> Option<ffi::OsString>,
    ) -> Result<Outcome, Error> {
        let mut arguments = pico_args::Arguments::from_vec(arguments);
        if arguments.contains(["-h", "--help"]) {
            return Ok(Outcome::Help(self.help()));
        }
        if arguments.contains(["-V", "--version"]) {
            return Ok(Outcome::Version(self.version()));
        }
        let mut values = Values::default();
        for setting in self.settings {
            let text = read_one(setting, &mut arguments, &variable)?;
            values.texts.insert(setting.flag, text);
        }
        values.operands = self.operands(arguments)?;
        Ok(Outcome::Run(values))
    }

    /// Returns the help text.
    pub fn help(&self) -> String {
        let mut text = format!("{}\n\nUsage: {} [FLAGS]", self.about, self.name);
        if !self.operands.is_empty() {
            text = format!("{text} {}", self.operands);
        }
        text.push_str("\n\nSettings (flag or variable; the flag wins):\n");
        text.extend(self.settings.iter().map(help_of));
        text.push_str("  -h, --help\n      Prints this help\n");
        text.push_str("  -V, --version\n      Prints the version");
        text
    }

    /// Returns name and version.
    pub fn version(&self) -> String {
        format!("{} {}", self.name, env!("CARGO_PKG_VERSION"))
    }

    fn operands(&self, arguments: pico_args::Arguments) -> Result<Vec<String>, Error> {
        let rest = arguments.finish().into_iter();
        let rest = rest.map(|argument| argument.to_string_lossy().into_owned());
        let rest: Vec<_> = rest.collect();
        let refused = |text: &&String| self.operands.is_empty() || text.starts_with('-');
        match rest.iter().find(refused) {
            Some(argument) => Err(Error::Unknown {
                argument: argument.clone(),
            }),
            None => Ok(rest),
        }
    }
}

fn read_one(
    setting: &Setting,
    arguments: &mut pico_args::Arguments,
    variable: impl Fn(&str) -> Option<ffi::OsString>,
) -> Result<String, Error> {
    let flag = setting.flag;
    let given: Option<String> = arguments
        .opt_value_from_str(flag)
        .map_err(|_| Error::NoValue { flag })?;
    let set = || variable(&setting.variable());
    let text = given
        .or_else(|| set().map(|text| text.to_string_lossy().into_owned()))
        .or_else(|| setting.default.map(String::from))
        .ok_or_else(|| missing(setting))?;
    if setting.kind.accepts(&text) {
        return Ok(text);
    }
    Err(Error::Invalid {
        flag,
        variable: setting.variable(),
        value: setting.kind.printable(&text),
        expected: setting.kind.to_string(),
    })
}

fn missing(setting: &Setting) -> Error {
    Error::Missing {
        flag: setting.flag,
        variable: setting.variable(),
        expected: setting.kind.to_string(),
    }
}

fn help_of(setting: &Setting) -> String {
    let default = match setting.default {
        Some("") => String::from("default: none"),
        Some(default) => format!("default: {default}"),
        None => String::from("required"),
    };
    format!(
        "  {}, {}\n      {}\n      ({}; {default})\n",
        setting.flag,
        setting.variable(),
        setting.help,
        setting.kind,
    )
}
