//! The tree of one declaration file, with the location of each value.

use std::collections;

use toml::de;

use crate::declaration::fault;
use crate::declaration::place;
use crate::declaration::problem;
use crate::declaration::source;

/// Largest accepted size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// The entries of a table by key.
pub(super) type Table = collections::BTreeMap<String, Node>;

/// A value with the location of its key.
#[derive(Clone, Debug)]
pub(super) struct Node {
    /// Location of the key.
    pub(super) place: place::Place,
    /// Value of the key.
    pub(super) value: Value,
}

/// Value of a key.
#[derive(Clone, Debug)]
pub(super) enum Value {
    /// `true` or `false`.
    Flag(bool),
    /// An integer.
    Integer(i64),
    /// A TOML date or time, as text.
    Moment(String),
    /// A value of a type that no key accepts: the type and the text.
    Other(&'static str, String),
    /// A table.
    Table(Table),
    /// A string.
    Text(String),
}

impl Node {
    /// Parses a file into its root table.
    pub(super) fn parse(source: &source::Source) -> Result<Self, Vec<fault::Fault>> {
        let lines = Lines::new(source);
        if source.text.len() > MAX_FILE_BYTES {
            let problem = problem::Problem::FileSize {
                bytes: source.text.len(),
                limit: MAX_FILE_BYTES,
            };
            return Err(vec![lines.fault(0, problem)]);
        }
        let (root, errors) = de::DeTable::parse_recoverable(&source.text);
        if !errors.is_empty() {
            return Err(errors
                .iter()
                .map(|error| lines.syntax_fault(error))
                .collect());
        }
        Ok(Self {
            place: lines.place(0),
            value: Value::Table(lines.table(root.get_ref())),
        })
    }

    /// Returns the table, or `None` for another value.
    pub(super) fn table(&self) -> Option<&Table> {
        match &self.value {
            Value::Table(table) => Some(table),
            _ => None,
        }
    }

    /// Returns the location of the deepest key that exists along a path of keys.
    pub(super) fn locate(&self, keys: &[&str]) -> place::Place {
        let mut node = self;
        for key in keys {
            match node.table().and_then(|table| table.get(*key)) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.place.clone()
    }
}

impl Value {
    /// Returns the type of the value, for messages.
    pub(super) fn type_name(&self) -> &'static str {
        match self {
            Self::Flag(_) => "a boolean",
            Self::Integer(_) => "an integer",
            Self::Moment(_) => "a date or time",
            Self::Other(type_name, _) => type_name,
            Self::Table(_) => "a table",
            Self::Text(_) => "a string",
        }
    }

    /// Returns `true` if both are equal scalars; a date or time equals a string of the same text.
    pub(super) fn scalar_eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Flag(a), Self::Flag(b)) => a == b,
            (Self::Integer(a), Self::Integer(b)) => a == b,
            (Self::Moment(a) | Self::Text(a), Self::Moment(b) | Self::Text(b)) => a == b,
            (Self::Other(_, a), Self::Other(_, b)) => a == b,
            _ => false,
        }
    }
}

/// Converts the parsed values of one source, with byte offsets mapped to lines.
struct Lines<'a> {
    source: &'a source::Source,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(source: &'a source::Source) -> Self {
        let breaks = source.text.match_indices('\n').map(|(i, _)| i + 1);
        Self {
            source,
            starts: std::iter::once(0).chain(breaks).collect(),
        }
    }

    fn place(&self, offset: usize) -> place::Place {
        place::Place {
            path: self.source.path.clone(),
            line: self.starts.partition_point(|start| *start <= offset),
        }
    }

    fn fault(&self, offset: usize, problem: problem::Problem) -> fault::Fault {
        fault::Fault {
            place: self.place(offset),
            problem,
        }
    }

    fn syntax_fault(&self, error: &de::Error) -> fault::Fault {
        let offset = error.span().map_or(0, |span| span.start);
        let problem = match error.message() {
            "duplicate key" => problem::Problem::Duplicate,
            message => problem::Problem::Syntax {
                message: message.lines().collect::<Vec<_>>().join(", "),
            },
        };
        self.fault(offset, problem)
    }

    fn table(&self, table: &de::DeTable<'_>) -> Table {
        table
            .iter()
            .map(|(key, value)| {
                let node = Node {
                    place: self.place(key.span().start),
                    value: self.value(value.get_ref()),
                };
                (key.get_ref().to_string(), node)
            })
            .collect()
    }

    fn value(&self, value: &de::DeValue<'_>) -> Value {
        match value {
            de::DeValue::String(text) => Value::Text(text.to_string()),
            de::DeValue::Integer(digits) => i64::from_str_radix(digits.as_str(), digits.radix())
                .map_or_else(
                    |_| Value::Other("an integer out of range", digits.to_string()),
                    Value::Integer,
                ),
            de::DeValue::Float(digits) => Value::Other("a float", digits.to_string()),
            de::DeValue::Boolean(flag) => Value::Flag(*flag),
            de::DeValue::Datetime(moment) => Value::Moment(moment.to_string()),
            de::DeValue::Array(array) => Value::Other("an array", format!("{array:?}")),
            de::DeValue::Table(table) => Value::Table(self.table(table)),
        }
    }
}
