//! Structured logs, one line an event: `time level target message key=value`.

use std::fmt::Write;
use std::io;

use log::kv;

/// Starts logging to the standard error stream from the given level on.
///
/// # Errors
///
/// Fails if the process has set a logger before.
pub fn init(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, _message, record| out.finish(format_args!("{}", line(record))))
        .chain(io::stderr())
        .apply()
}

/// Formats one record as one line without a line end.
pub fn line(record: &log::Record<'_>) -> String {
    let mut text = format!(
        "{:.6} {} {} ",
        jiff::Timestamp::now(),
        record.level(),
        record.target()
    );
    escape(&mut text, &record.args().to_string());
    let mut pairs = Pairs { text: &mut text };
    // A value that fails to print is left out; the rest of the line still counts.
    let _ = record.key_values().visit(&mut pairs);
    text
}

struct Pairs<'a> {
    text: &'a mut String,
}

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = value.to_string();
        write!(self.text, " {key}=")?;
        if is_plain(&value) {
            self.text.push_str(&value);
            return Ok(());
        }
        write!(self.text, "{value:?}")?;
        Ok(())
    }
}

fn is_plain(value: &str) -> bool {
    !value.is_empty()
        && value
            .chars()
            .all(|c| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\'))
}

fn escape(text: &mut String, message: &str) {
    for c in message.chars() {
        if c.is_control() {
            text.extend(c.escape_default());
        } else {
            text.push(c);
        }
    }
}
