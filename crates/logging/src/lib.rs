//! Structured logs: one line an event, `time up=seconds level target message key=value`.
//!
//! Lines go to the standard output through [`writer::Writer`], so that a reader that stops reading
//! never stops the process.
//!
//! ```
//! let record = log::Record::builder().args(format_args!("started")).build();
//! assert!(guavausher_logging::line(&record).ends_with("started"));
//! ```

pub mod writer;

use std::fmt::Write;
use std::io;
use std::sync;
use std::time;

use log::kv;

/// When the process began to log; the steady clock of each line counts from here.
static STARTED: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);

/// Starts logging to the standard output from the given level on.
///
/// # Errors
///
/// Fails if the process has set a logger before or no thread can be started.
pub fn init(level: log::LevelFilter) -> io::Result<()> {
    sync::LazyLock::force(&STARTED);
    let writer = writer::Writer::start(io::stdout())?;
    fern::Dispatch::new()
        .level(level)
        .format(|out, _message, record| out.finish(format_args!("{}", line(record))))
        .chain(writer.sink())
        .apply()
        .map_err(io::Error::other)
}

/// Formats one record as one line without a line end.
pub fn line(record: &log::Record<'_>) -> String {
    let mut text = format!(
        "{:.6} up={:.6} {} {} ",
        jiff::Timestamp::now(),
        STARTED.elapsed().as_secs_f64(),
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
