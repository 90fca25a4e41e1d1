//! Differences between two declarations, object by object.

use std::collections;
use std::fmt;

use serde_json::Value;

use guavausher_core::declaration;

/// The fields of one object, or a single value under an empty name.
type Fields = serde_json::Map<String, Value>;

/// One object or field that differs.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Change {
    /// Path of the object or field, for example `upstreams.verse-1.slots`.
    pub path: String,
    /// What it was; `None` if it is new.
    pub old: Option<Value>,
    /// What it becomes; `None` if it goes.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            (Some(old), None) => write!(f, "- {path}: {old}"),
            (None, Some(new)) => write!(f, "+ {path}: {new}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Lists what changes from `old` to `new`, in order of path.
pub fn diff(old: &declaration::Declaration, new: &declaration::Declaration) -> Vec<Change> {
    let (old, new) = (objects(old), objects(new));
    let paths: collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let one = |path: &String| match (old.get(path), new.get(path)) {
        (Some(old), Some(new)) => fields(path, old, new),
        (old, new) => vec![Change {
            path: path.clone(),
            old: old.cloned().map(whole),
            new: new.cloned().map(whole),
        }],
    };
    paths.into_iter().flat_map(one).collect()
}

/// Writes changes as lines, with a count below.
pub fn render(changes: &[Change]) -> String {
    let lines = changes.iter().map(|change| format!("{change}\n"));
    let count = match changes.len() {
        0 => "no changes\n".to_owned(),
        1 => "1 change\n".to_owned(),
        count => format!("{count} changes\n"),
    };
    lines.chain(Some(count)).collect()
}

fn fields(path: &str, old: &Fields, new: &Fields) -> Vec<Change> {
    let keys: collections::BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let differing = keys
        .into_iter()
        .filter(|key| old.get(*key) != new.get(*key));
    differing
        .map(|key| Change {
            path: format!("{path}.{key}").trim_end_matches('.').to_owned(),
            old: old.get(key).cloned(),
            new: new.get(key).cloned(),
        })
        .collect()
}

fn whole(fields: Fields) -> Value {
    match fields.get("") {
        Some(value) => value.clone(),
        None => Value::Object(fields),
    }
}

/// Returns the objects of a declaration by path.
fn objects(declaration: &declaration::Declaration) -> collections::BTreeMap<String, Fields> {
    let mut objects = collections::BTreeMap::new();
    let Ok(Value::Object(tables)) = serde_json::to_value(declaration) else {
        return objects;
    };
    for (table, content) in tables {
        match content {
            Value::Array(list) => {
                let items = list.into_iter().filter_map(|item| match item {
                    Value::Object(fields) => Some(keyed(&table, fields)),
                    _ => None,
                });
                objects.extend(items);
            }
            Value::Object(fields) => {
                objects.insert(table, fields);
            }
            value => {
                let fields = Fields::from_iter([(String::new(), value)]);
                objects.insert(table, fields);
            }
        }
    }
    objects
}

/// Moves the fields that identify an object into its path.
fn keyed(table: &str, mut fields: Fields) -> (String, Fields) {
    let keys: &[&str] = match table {
        "classes" => &["name", "domain", "market"],
        "rollouts" => &["service"],
        _ => &["name"],
    };
    let mut path = table.to_owned();
    for key in keys {
        if let Some(Value::String(part)) = fields.remove(*key) {
            path.push('.');
            path.push_str(&part);
        }
    }
    (path, fields)
}
