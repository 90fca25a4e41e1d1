//! Merges a site's overlay into the base.

use crate::declaration::fault;
use crate::declaration::node;
use crate::declaration::problem;

/// The overlay's key that removes an object of the base.
const ABSENT: &str = "absent";

/// Merges `overlay` into `base`; values in the overlay that equal the base are faults.
pub(super) fn merge(base: &mut node::Node, overlay: &node::Node, faults: &mut Vec<fault::Fault>) {
    let mut merger = Merger {
        path: Vec::new(),
        faults,
    };
    merger.merge_node(base, overlay);
}

/// Returns `true` if the node requests the removal of its object.
pub(super) fn is_absent(node: &node::Node) -> bool {
    node.table().is_some_and(|table| table.contains_key(ABSENT))
}

struct Merger<'a> {
    path: Vec<String>,
    faults: &'a mut Vec<fault::Fault>,
}

impl Merger<'_> {
    fn merge_node(&mut self, base: &mut node::Node, overlay: &node::Node) {
        let (node::Value::Table(base_table), node::Value::Table(overlay_table)) =
            (&mut base.value, &overlay.value)
        else {
            return self.replace(base, overlay);
        };
        if overlay_table.is_empty() && !self.path.is_empty() {
            let object = self.path.join(".");
            self.report(overlay, problem::Problem::Unchanged { object });
        }
        for (key, child) in overlay_table {
            self.path.push(key.clone());
            self.merge_entry(base_table, key, child);
            self.path.pop();
        }
    }

    fn merge_entry(&mut self, base_table: &mut node::Table, key: &str, child: &node::Node) {
        if is_absent(child) {
            return self.remove(base_table, key, child);
        }
        match base_table.get_mut(key) {
            Some(base) => self.merge_node(base, child),
            None => {
                base_table.insert(key.to_owned(), child.clone());
            }
        }
    }

    fn replace(&mut self, base: &mut node::Node, overlay: &node::Node) {
        if base.value.scalar_eq(&overlay.value) {
            let problem = problem::Problem::Redundant {
                key: self.path.join("."),
                base: base.place.clone(),
            };
            self.report(overlay, problem);
        }
        *base = overlay.clone();
    }

    fn remove(&mut self, base_table: &mut node::Table, key: &str, child: &node::Node) {
        let is_valid = child.table().is_some_and(|table| {
            let flag = table.get(ABSENT).map(|node| &node.value);
            table.len() == 1 && matches!(flag, Some(node::Value::Flag(true)))
        });
        if !is_valid {
            return self.report(child, problem::Problem::Absent);
        }
        if base_table.remove(key).is_none() {
            let object = self.path.join(".");
            self.report(child, problem::Problem::NotInBase { object });
        }
    }

    fn report(&mut self, node: &node::Node, problem: problem::Problem) {
        self.faults.push(fault::Fault {
            place: node.place.clone(),
            problem,
        });
    }
}
