//! The story of one request, from the logs of the instances that saw it.

use std::collections;
use std::fmt::Write;
use std::io;
use std::io::Read;

use crate::error;
use crate::log_line;
use crate::report;

/// Largest log that is read, in bytes.
const MAX_BYTES: u64 = 1 << 30;

/// Logs of several instances.
#[derive(Clone, Debug, Default)]
pub struct Logs {
    lines: Vec<Sourced>,
}

#[derive(Clone, Debug)]
struct Sourced {
    source: usize,
    line: log_line::Line,
}

impl Logs {
    /// Reads files, or the standard input if there are none.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read.
    pub fn read(files: &[String]) -> Result<Self, error::Error> {
        let mut logs = Self::default();
        if files.is_empty() {
            logs.add(0, "standard input", io::stdin().lock())?;
        }
        for (source, path) in files.iter().enumerate() {
            let file = std::fs::File::open(path).map_err(|fault| unreadable(path, &fault))?;
            logs.add(source, path, file)?;
        }
        Ok(logs)
    }

    fn add(&mut self, source: usize, path: &str, input: impl Read) -> Result<(), error::Error> {
        let mut text = Vec::new();
        let read = input.take(MAX_BYTES).read_to_end(&mut text);
        read.map_err(|fault| unreadable(path, &fault))?;
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines().filter_map(log_line::Line::parse);
        self.lines
            .extend(lines.map(|line| Sourced { source, line }));
        Ok(())
    }

    /// Adds the text of one log.
    pub fn add_text(&mut self, source: usize, text: &str) {
        let lines = text.lines().filter_map(log_line::Line::parse);
        self.lines
            .extend(lines.map(|line| Sourced { source, line }));
    }

    /// Tells what happened to a request, in order of time, with what was believed then.
    ///
    /// # Errors
    ///
    /// Fails if no line names the request.
    pub fn explain(&self, id: &str) -> Result<report::Report, error::Error> {
        let mut story: Vec<_> = self
            .lines
            .iter()
            .filter(|l| l.line.get("id") == Some(id))
            .collect();
        story.sort_by_key(|l| l.line.micros);
        let Some(first) = story.first() else {
            return Err(error::Error::Arguments(format!(
                "no log line names the request `{id}`"
            )));
        };
        let begin = first.line.micros;
        let mut text = String::new();
        let mut told = collections::BTreeSet::new();
        let mut json = Vec::new();
        for step in &story {
            let after = (step.line.micros - begin) as f64 / 1e6;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "+{after:.3} s  {} {}",
                step.line.origin, step.line.rest
            );
            json.push(serde_json::Value::String(step.line.rest.clone()));
            for belief in self.beliefs(step) {
                let age = (step.line.micros - belief.micros) as f64 / 1e6;
                if told.insert(belief.rest.clone()) {
                    let _ = writeln!(text, "    believed, {age:.3} s old: {}", belief.rest);
                }
            }
        }
        Ok(report::Report::done(text, serde_json::Value::Array(json)))
    }

    /// Returns the last lines before a step, of the same instance, about what the step rests on:
    /// the engine that it names, the rate limits that left no room, the request or part that engines
    /// crash under, the manifest, the store and the lease.
    fn beliefs(&self, step: &Sourced) -> Vec<&log_line::Line> {
        let before = self.lines.iter().filter(|l| {
            l.source == step.source
                && l.line.origin == step.line.origin
                && l.line.micros <= step.line.micros
                && l.line.get("id").is_none()
        });
        let before: Vec<_> = before.map(|l| &l.line).collect();
        let engine = step.line.get("engine");
        let about_engine = |l: &&&log_line::Line| engine.is_some() && l.get("engine") == engine;
        let is_limited = step.line.get("limited").is_some_and(|count| count != "0");
        let about_limit =
            |l: &&&log_line::Line| is_limited && l.rest.contains("limits its requests");
        let suspect = step
            .line
            .get("suspect")
            .filter(|suspect| !suspect.is_empty());
        let about_suspect = |l: &&&log_line::Line| suspect.is_some() && l.get("suspect") == suspect;
        let about = |word: &'static str| {
            move |l: &&&log_line::Line| l.get("engine").is_none() && l.rest.contains(word)
        };
        let last = [
            before.iter().rev().find(about_engine),
            before.iter().rev().find(about_limit),
            before.iter().rev().find(about_suspect),
            before.iter().rev().find(about("manifest in force")),
            before.iter().rev().find(about(" store ")),
        ];
        last.into_iter().flatten().copied().collect()
    }
}

fn unreadable(path: &str, fault: &io::Error) -> error::Error {
    error::Error::File {
        path: path.to_owned(),
        message: fault.to_string(),
        limit: MAX_BYTES as usize,
    }
}
