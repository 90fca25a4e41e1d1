//! Structured logs with one line per event: `time up=seconds level target message key=value`.
//!
//! Lines are written to standard output through [`writer::Writer`], so that a reader that stops
//! reading never blocks the process.
//!
//! ```
//! let record = log::Record::builder().args(format_args!("started")).build();
//! assert!(guavausher_logging::format_line(&record).ends_with("started"));
//! ```

pub mod writer;

use std::fmt::Write;
use std::io;
use std::sync;
use std::time;

use log::kv;

/// Monotonic time at which logging started; the `up` field of each line counts from it.
static STARTED: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);

/// Installs the logger, which writes records of `level` and more severe ones to standard output.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn init(level: log::LevelFilter) -> io::Result<()> {
    sync::LazyLock::force(&STARTED);
    let writer = writer::Writer::start(io::stdout())?;
    fern::Dispatch::new()
        .level(level)
        .format(|out, _message, record| out.finish(format_args!("{}", format_line(record))))
        .chain(writer.sink())
        .apply()
        .map_err(io::Error::other)
}

/// Formats a record as one line without a trailing newline.
pub fn format_line(record: &log::Record<'_>) -> String {
    let mut text = format!(
        "{:.6} up={:.6} {} {} ",
        jiff::Timestamp::now(),
        STARTED.elapsed().as_secs_f64(),
        record.level(),
        record.target()
    );
    append_escaped(&mut text, &record.args().to_string());
    let mut pairs = Pairs { text: &mut text };
    // Pairs that cannot be written are left out; the rest of the line is still returned.
    let _ = record.key_values().visit(&mut pairs);
    text
}

/// Appends key-value pairs to a line.
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

/// Returns `true` if a value can be written without quotes.
fn is_plain(value: &str) -> bool {
    !value.is_empty()
        && value
            .chars()
            .all(|c| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\'))
}

/// Appends a message with its control characters escaped.
fn append_escaped(text: &mut String, message: &str) {
    for c in message.chars() {
        if c.is_control() {
            text.extend(c.escape_default());
        } else {
            text.push(c);
        }
    }
}
