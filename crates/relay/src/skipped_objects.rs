//! Stored objects that are skipped because their content cannot be used, or used without an invalid
//! field.

use std::cell;
use std::collections;

use guavausher_core::name;

use crate::metrics;

/// Log lines about newly skipped objects of one change.
const MAX_LINES: usize = 20;

/// A stored object that is skipped, or one of its fields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Skipped {
    /// Name of the object.
    pub name: name::Name,
    /// Why it is skipped.
    pub reason: String,
}

/// The skipped objects of each kind, so that each is logged once and not with each change of its kind.
#[derive(Debug, Default)]
pub struct SkippedObjects {
    reasons: cell::RefCell<collections::HashMap<&'static str, Reasons>>,
    /// The same for objects that are used without an invalid field.
    invalid: cell::RefCell<collections::HashMap<&'static str, Reasons>>,
}

type Reasons = collections::HashMap<name::Name, String>;

impl SkippedObjects {
    /// Replaces the skipped objects of a kind; logs those that were not skipped before, or for
    /// another reason, and those that can be used again.
    pub fn replace(&self, metrics: &metrics::Metrics, kind: &'static str, skipped: Vec<Skipped>) {
        metrics.set_skipped(kind, skipped.len());
        let count = skipped.len();
        let change = replace(&self.reasons, kind, skipped);
        for (name, reason) in &change.new {
            log::warn!(kind = kind, name:% = name, fault = reason, skipped = count;
                "object skipped");
        }
        for name in &change.gone {
            log::info!(kind = kind, name:% = name; "object no longer skipped");
        }
    }

    /// Replaces the objects of a kind that are used without an invalid field; logs those that were
    /// valid before, and those that are valid again.
    pub fn replace_invalid(&self, kind: &'static str, invalid: Vec<Skipped>) {
        let change = replace(&self.invalid, kind, invalid);
        for (name, reason) in &change.new {
            log::warn!(kind = kind, name:% = name, fault = reason;
                "invalid field of an object ignored");
        }
        for name in &change.gone {
            log::info!(kind = kind, name:% = name; "field of an object is valid again");
        }
    }
}

/// Objects to log.
struct Change {
    new: Vec<(name::Name, String)>,
    gone: Vec<name::Name>,
}

fn replace(
    all: &cell::RefCell<collections::HashMap<&'static str, Reasons>>,
    kind: &'static str,
    objects: Vec<Skipped>,
) -> Change {
    let objects: Reasons = objects.into_iter().map(|s| (s.name, s.reason)).collect();
    let mut all = all.borrow_mut();
    let known = all.entry(kind).or_default();
    let is_new = |(name, reason): &(&name::Name, &String)| known.get(*name) != Some(*reason);
    let mut new: Vec<_> = objects.iter().filter(is_new).collect();
    new.sort();
    let new = new.into_iter().take(MAX_LINES);
    let new = new.map(|(name, reason)| (name.clone(), reason.clone()));
    let new = new.collect();
    let is_gone = |name: &&name::Name| !objects.contains_key(*name);
    let gone = known.keys().filter(is_gone).take(MAX_LINES).cloned();
    let gone = gone.collect();
    *known = objects;
    Change { new, gone }
}
