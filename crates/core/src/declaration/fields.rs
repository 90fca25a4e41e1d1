//! Reads the fields of one object and collects all faults.

use std::ops;

use crate::declaration::fault;
use crate::declaration::node;
use crate::declaration::problem;
use crate::name;

/// The longest accepted object name in bytes, so that stored keys made of two names stay short.
pub const MAX_NAME_BYTES: usize = 48;

/// Reader of the fields of one object.
pub(super) struct Fields<'a> {
    object: String,
    node: &'a node::Node,
    faults: &'a mut Vec<fault::Fault>,
}

impl<'a> Fields<'a> {
    /// Starts to read an object; keys other than `known` are faults.
    pub(super) fn open(
        object: String,
        node: &'a node::Node,
        known: &[&str],
        faults: &'a mut Vec<fault::Fault>,
    ) -> Self {
        let mut fields = Self {
            object,
            node,
            faults,
        };
        match node.table() {
            Some(table) => fields.check_keys(table, known),
            None => fields.report_wrong_type(node, "", "a table"),
        }
        fields
    }

    /// Reports a problem at one of the object's keys.
    pub(super) fn report(&mut self, key: &str, problem: problem::Problem) {
        let place = self.node.locate(&[key]);
        self.faults.push(fault::Fault { place, problem });
    }

    /// Returns `true` if the object has the key.
    pub(super) fn has(&self, key: &str) -> bool {
        self.node
            .table()
            .is_some_and(|table| table.contains_key(key))
    }

    /// Reads a required name.
    pub(super) fn name(&mut self, key: &'static str) -> name::Name {
        let text = self.text(key);
        if let Some(text) = &text
            && !is_name(text)
        {
            let text = text.clone();
            self.report(key, problem::Problem::Name { text });
        }
        name::Name::from(text.unwrap_or_default())
    }

    /// Reads a required string, or a TOML date or time as text.
    pub(super) fn text(&mut self, key: &'static str) -> Option<String> {
        let node = self.required(key)?;
        match &node.value {
            node::Value::Text(text) | node::Value::Moment(text) => Some(text.clone()),
            _ => {
                self.report_wrong_type(node, key, "a string");
                None
            }
        }
    }

    /// Reads an optional flag; `false` if it is missing.
    pub(super) fn flag(&mut self, key: &'static str) -> bool {
        if !self.has(key) {
            return false;
        }
        self.required_flag(key)
    }

    /// Reads a required flag.
    pub(super) fn required_flag(&mut self, key: &'static str) -> bool {
        let Some(node) = self.required(key) else {
            return false;
        };
        match node.value {
            node::Value::Flag(flag) => flag,
            _ => {
                self.report_wrong_type(node, key, "true or false");
                false
            }
        }
    }

    /// Reads a required integer within a range; returns the start of the range after a fault.
    pub(super) fn number(&mut self, key: &'static str, range: ops::RangeInclusive<u64>) -> u64 {
        let Some(node) = self.required(key) else {
            return *range.start();
        };
        let node::Value::Integer(value) = node.value else {
            self.report_wrong_type(node, key, "a whole number");
            return *range.start();
        };
        match u64::try_from(value) {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let problem = problem::Problem::Range {
                    key: key.to_owned(),
                    value,
                    low: *range.start(),
                    high: *range.end(),
                };
                self.report(key, problem);
                *range.start()
            }
        }
    }

    /// Reads a required 32-bit integer within a range.
    pub(super) fn number_u32(&mut self, key: &'static str, range: ops::RangeInclusive<u32>) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        u32::try_from(self.number(key, wide)).unwrap_or(u32::MAX)
    }

    /// Reads a required choice; returns the first one after a fault.
    pub(super) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        all: &[T],
        label: impl Fn(T) -> &'static str,
    ) -> T {
        let Some(text) = self.text(key) else {
            return all[0];
        };
        if let Some(choice) = all.iter().find(|choice| label(**choice) == text) {
            return *choice;
        }
        let labels: Vec<_> = all.iter().map(|choice| label(*choice)).collect();
        let problem = problem::Problem::Choice {
            key: key.to_owned(),
            text,
            known: labels.join(", "),
        };
        self.report(key, problem);
        all[0]
    }

    fn required(&mut self, key: &str) -> Option<&'a node::Node> {
        let table = self.node.table()?;
        let node = table.get(key);
        if node.is_none() {
            let problem = problem::Problem::MissingKey {
                object: self.object.clone(),
                key: key.to_owned(),
            };
            self.report(key, problem);
        }
        node
    }

    fn check_keys(&mut self, table: &node::Table, known: &[&str]) {
        for key in table.keys().filter(|key| !known.contains(&key.as_str())) {
            let problem = match key.as_str() {
                "absent" => problem::Problem::Absent,
                _ => problem::Problem::UnknownKey {
                    key: key.clone(),
                    object: self.object.clone(),
                    known: known.join(", "),
                },
            };
            self.report(key, problem);
        }
    }

    fn report_wrong_type(&mut self, node: &node::Node, key: &str, expected: &'static str) {
        let key = if key.is_empty() { &self.object } else { key };
        let problem = problem::Problem::Type {
            key: key.to_owned(),
            found: node.value.type_name(),
            expected,
        };
        self.faults.push(fault::Fault {
            place: node.place.clone(),
            problem,
        });
    }
}

/// Returns `true` if the text is a valid name of an object.
pub(super) fn is_name(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    text.len() <= MAX_NAME_BYTES
        && text.starts_with(plain)
        && text.chars().all(|c| plain(c) || "-_.".contains(c))
}
