//! Log lines of this thread, with their fields by name.

use std::cell;
use std::collections;
use std::sync;

use log::kv;

thread_local! {
    static LINES: cell::RefCell<Vec<Line>> = const { cell::RefCell::new(Vec::new()) };
}

static START: sync::Once = sync::Once::new();

/// One line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    pub message: String,
    pub level: log::Level,
    fields: collections::BTreeMap<String, String>,
}

impl Line {
    pub fn text(&self, key: &str) -> &str {
        let value = self.fields.get(key);
        value.unwrap_or_else(|| panic!("no {key} in {self:?}"))
    }

    pub fn number(&self, key: &str) -> f64 {
        let text = self.text(key);
        text.parse()
            .unwrap_or_else(|_| panic!("{key} is no number in {self:?}"))
    }

    pub fn keys(&self) -> Vec<&str> {
        self.fields.keys().map(String::as_str).collect()
    }
}

/// Keeps the lines that this thread logs from now on.
pub fn keep() {
    START.call_once(|| {
        log::set_boxed_logger(Box::new(Keeper)).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.with_borrow_mut(Vec::clear);
}

/// Returns the lines with a message.
pub fn all(message: &str) -> Vec<Line> {
    let is_it = |line: &&Line| line.message == message;
    LINES.with_borrow(|lines| lines.iter().filter(is_it).cloned().collect())
}

/// Returns the only line with a message.
pub fn only(message: &str) -> Line {
    let lines = all(message);
    assert_eq!(lines.len(), 1, "{message}: {:?}", LINES.take());
    lines[0].clone()
}

struct Keeper;

impl log::Log for Keeper {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields::default();
        record.key_values().visit(&mut fields).unwrap();
        let line = Line {
            message: record.args().to_string(),
            level: record.level(),
            fields: fields.0,
        };
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

#[derive(Default)]
struct Fields(collections::BTreeMap<String, String>);

impl<'a> kv::VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}
