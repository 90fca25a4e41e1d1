//! Runs one command and prints its report.

use std::io;
use std::time;

use serde_json::json;

use crate::apply;
use crate::audit;
use crate::check;
use crate::client;
use crate::command;
use crate::drain;
use crate::error;
use crate::exit;
use crate::explain;
use crate::files;
use crate::history;
use crate::operation;
use crate::plan;
use crate::platform;
use crate::report;
use crate::settings;
use crate::status;
use crate::view;
use crate::viewer;
use crate::wait;

/// Clears a terminal and goes to its first cell.
const CLEAR: &str = "\x1b[H\x1b[2J\x1b[3J";

/// Where a command prints.
#[derive(Debug)]
pub struct Output<O, E> {
    /// Results.
    pub out: O,
    /// Progress, warnings and errors.
    pub err: E,
    /// Whether results go to a terminal.
    pub terminal: bool,
}

/// Runs a command, prints, and returns how it ended.
pub fn run<O, E>(invocation: &command::Invocation, output: &mut Output<O, E>) -> exit::Exit
where
    O: io::Write,
    E: io::Write,
{
    let mut runner = Runner {
        settings: &invocation.settings,
        out: &mut output.out,
        err: &mut output.err,
        terminal: output.terminal,
    };
    match runner.command(&invocation.command) {
        Ok(report) => runner.print(&report),
        Err(error) => runner.fail(&error),
    }
}

struct Runner<'a, O, E> {
    settings: &'a settings::Settings,
    out: &'a mut O,
    err: &'a mut E,
    terminal: bool,
}

impl<O: io::Write, E: io::Write> Runner<'_, O, E> {
    fn command(&mut self, command: &command::Command) -> Result<report::Report, error::Error> {
        match command {
            command::Command::Print(text) => {
                let json = serde_json::Value::String(text.clone());
                Ok(report::Report::done(text.clone(), json))
            }
            command::Command::Check => check::check(self.settings),
            command::Command::Plan => {
                let declaration = files::load(self.settings)?;
                plan::plan(&self.client()?, &declaration)
            }
            command::Command::Apply { generation, wait } => self.apply(*generation, *wait),
            command::Command::Status { watch: false } => {
                let view = viewer::Viewer::default().view(&self.client()?)?;
                Ok(report::Report::done(view.to_string(), json!(view)))
            }
            command::Command::Status { watch: true } => self.watch(),
            command::Command::Wait {
                generation,
                rollout,
            } => {
                let goal = wait::Goal {
                    generation: *generation,
                    rollout: rollout.clone(),
                };
                self.wait(&goal)
            }
            command::Command::History { generation, limit } => match generation {
                Some(generation) => history::show(&self.client()?, *generation),
                None => history::list(&self.client()?, *limit),
            },
            command::Command::Audit { limit } => audit::list(&self.client()?, *limit),
            command::Command::Explain { id, files } => explain::Logs::read(files)?.explain(id),
            command::Command::Drain { upstream, action } => {
                let operation = self.operation()?;
                drain::drain(&self.client()?, &operation, upstream, *action)
            }
        }
    }

    fn apply(
        &mut self,
        generation: Option<u64>,
        wait: bool,
    ) -> Result<report::Report, error::Error> {
        let client = self.client()?;
        let apply = apply::Apply {
            client: &client,
            operation: self.operation()?,
            expected: generation,
        };
        let declaration = match files::load(self.settings) {
            Ok(declaration) => declaration,
            Err(error) => return Err(self.refuse(&apply, error)),
        };
        let report = apply.run(&declaration)?;
        if !wait || report.exit != exit::Exit::Done {
            return Ok(report);
        }
        self.apply_wait(report)
    }

    /// Waits until what was applied is in force; both results make one report.
    fn apply_wait(&mut self, applied: report::Report) -> Result<report::Report, error::Error> {
        let goal = wait::Goal {
            generation: applied.json["generation"].as_u64(),
            rollout: None,
        };
        if !self.settings.json {
            self.print(&applied);
            return self.wait(&goal);
        }
        let mut waited = self.wait(&goal)?;
        let mut json = applied.json;
        json["wait"] = waited.json;
        waited.json = json;
        waited.warnings.extend(applied.warnings);
        Ok(waited)
    }

    /// Records a refusal of the files; a wrong setting is nobody's change.
    fn refuse(&mut self, apply: &apply::Apply<'_>, error: error::Error) -> error::Error {
        if error.exit() != exit::Exit::Usage
            && let Err(unrecorded) = apply.refuse(&error)
        {
            self.warn(&format!("the refusal is not recorded: {unrecorded}"));
        }
        error
    }

    fn wait(&mut self, goal: &wait::Goal) -> Result<report::Report, error::Error> {
        let client = self.client()?;
        let err = &mut self.err;
        wait::wait(&client, goal, |line| {
            let _ = writeln!(err, "{line}");
        })
    }

    /// Shows the state whenever it changes, until the reader goes away.
    ///
    /// An outage of the platform does not end it.
    fn watch(&mut self) -> Result<report::Report, error::Error> {
        let mut viewer = viewer::Viewer::default();
        let mut shown = None;
        loop {
            let client = self.client()?;
            match self.watch_once(&client, &mut viewer, &mut shown) {
                Err(error) if error.exit() == exit::Exit::Unreachable => {
                    self.warn(&error.to_string());
                }
                done => done?,
            }
        }
    }

    /// Shows the state if it changed, and waits a short while for a change.
    fn watch_once(
        &mut self,
        client: &client::Client,
        viewer: &mut viewer::Viewer,
        shown: &mut Option<view::View>,
    ) -> Result<(), error::Error> {
        let revision = client.list(status::PREFIX)?.revision;
        let view = viewer.view(client)?;
        if shown.as_ref() != Some(&view) {
            self.show(&view).map_err(output)?;
            *shown = Some(view);
        }
        client.watch(status::PREFIX, revision)?;
        Ok(())
    }

    /// Shows a state: a line of JSON, a redrawn terminal or a block of a pipe.
    fn show(&mut self, view: &view::View) -> io::Result<()> {
        if self.settings.json {
            writeln!(self.out, "{}", json!(view))?;
        } else if self.terminal {
            write!(self.out, "{CLEAR}{view}")?;
        } else {
            writeln!(self.out, "{view}")?;
        }
        self.out.flush()
    }

    fn client(&self) -> Result<client::Client, error::Error> {
        let address = self.settings.platform.ok_or(error::Error::Missing {
            setting: "the platform's address",
            flag: settings::PLATFORM.flag,
            variable: settings::PLATFORM.variable,
        })?;
        let platform = platform::Platform::new(address);
        let deadline = time::Instant::now() + self.settings.timeout;
        Ok(client::Client::new(platform, deadline))
    }

    fn operation(&self) -> Result<operation::Operation, error::Error> {
        let author = self
            .settings
            .author
            .as_deref()
            .ok_or(error::Error::Missing {
                setting: "the operator's name",
                flag: settings::AUTHOR.flag,
                variable: settings::AUTHOR.variable,
            })?;
        Ok(operation::Operation::begin(author))
    }

    fn print(&mut self, report: &report::Report) -> exit::Exit {
        for warning in &report.warnings {
            self.warn(warning);
        }
        let printed = if self.settings.json {
            writeln!(self.out, "{}", report.json)
        } else {
            write!(self.out, "{}", report.text)
        };
        match printed.and_then(|()| self.out.flush()) {
            Ok(()) => report.exit,
            Err(error) => self.fail(&output(error)),
        }
    }

    fn fail(&mut self, error: &error::Error) -> exit::Exit {
        let exit = error.exit();
        if *error == error::Error::Closed {
            return exit;
        }
        if self.settings.json {
            let json = json!({
                "outcome": "failed",
                "status": exit.code(),
                "error": error.to_string(),
                "faults": faults(error),
            });
            let _ = writeln!(self.out, "{json}");
        }
        if let error::Error::Faults { faults, .. } = error {
            for fault in faults {
                let _ = writeln!(self.err, "{fault}");
            }
        }
        let _ = writeln!(self.err, "guavactl: {error}");
        exit
    }

    fn warn(&mut self, text: &str) {
        let _ = writeln!(self.err, "guavactl: warning: {text}");
    }
}

fn faults(error: &error::Error) -> Vec<serde_json::Value> {
    let error::Error::Faults { faults, .. } = error else {
        return Vec::new();
    };
    let one = |fault: &guavausher_core::declaration::Fault| {
        json!({
            "path": fault.place.path,
            "line": fault.place.line,
            "message": fault.problem.to_string(),
        })
    };
    faults.iter().map(one).collect()
}

fn output(error: io::Error) -> error::Error {
    match error.kind() {
        io::ErrorKind::BrokenPipe => error::Error::Closed,
        _ => error::Error::Output(error.to_string()),
    }
}
