//! Lays a site's overlay over the base.

use crate::declaration::fault;
use crate::declaration::node;
use crate::declaration::problem;

/// The overlay's key that removes an object of the base.
const ABSENT: &str = "absent";

/// Lays `overlay` over `base`; the overlay may state only what differs.
pub(super) fn merge(base: &mut node::Node, overlay: &node::Node, faults: &mut Vec<fault::Fault>) {
    let mut merger = Merger {
        path: Vec::new(),
        faults,
    };
    merger.node(base, overlay);
}

/// Returns whether the node asks for the removal of its object.
pub(super) fn is_absent(node: &node::Node) -> bool {
    node.table().is_some_and(|table| table.contains_key(ABSENT))
}

struct Merger<'a> {
    path: Vec<String>,
    faults: &'a mut Vec<fault::Fault>,
}

impl Merger<'_> {
    fn node(&mut self, base: &mut node::Node, overlay: &node::Node) {
        let (node::Value::Table(below), node::Value::Table(above)) =
            (&mut base.value, &overlay.value)
        else {
            return self.leaf(base, overlay);
        };
        if above.is_empty() && !self.path.is_empty() {
            let object = self.path.join(".");
            self.report(overlay, problem::Problem::Unchanged { object });
        }
        for (key, child) in above {
            self.path.push(key.clone());
            self.entry(below, key, child);
            self.path.pop();
        }
    }

    fn entry(&mut self, below: &mut node::Table, key: &str, child: &node::Node) {
        if is_absent(child) {
            return self.remove(below, key, child);
        }
        match below.get_mut(key) {
            Some(base) => self.node(base, child),
            None => {
                below.insert(key.to_owned(), child.clone());
            }
        }
    }

    fn leaf(&mut self, base: &mut node::Node, overlay: &node::Node) {
        if base.value.same(&overlay.value) {
            let problem = problem::Problem::Restated {
                key: self.path.join("."),
                base: base.place.clone(),
            };
            self.report(overlay, problem);
        }
        *base = overlay.clone();
    }

    fn remove(&mut self, below: &mut node::Table, key: &str, child: &node::Node) {
        let alone = child.table().is_some_and(|table| {
            let flag = table.get(ABSENT).map(|node| &node.value);
            table.len() == 1 && matches!(flag, Some(node::Value::Flag(true)))
        });
        if !alone {
            return self.report(child, problem::Problem::Absent);
        }
        if below.remove(key).is_none() {
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
