//! Counting of calls by kind.

/// Calls that a platform has had, each waiting one counted once.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Calls {
    /// Reads of an object.
    pub read: u64,
    /// Conditional writes.
    pub write: u64,
    /// Conditional deletes.
    pub delete: u64,
    /// Lists of objects.
    pub list: u64,
    /// Watches of objects.
    pub watch: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Starts of instances.
    pub start: u64,
    /// Stops of instances.
    pub stop: u64,
    /// Waits for notices.
    pub notices: u64,
    /// Reads of weights.
    pub weights: u64,
}

impl Calls {
    /// Returns the counter of a request's kind.
    pub fn counter(&mut self, method: &str, path: &str) -> Option<&mut u64> {
        let counter = match (method, path) {
            ("GET", "/objects") => &mut self.list,
            ("GET", "/watch") => &mut self.watch,
            ("GET", "/instances") => &mut self.instances,
            ("GET", "/cloud/notices") => &mut self.notices,
            ("POST", "/cloud/instances") => &mut self.start,
            ("DELETE", _) if path.starts_with("/cloud/instances/") => &mut self.stop,
            ("GET", _) if path.starts_with("/weights/") => &mut self.weights,
            ("GET", _) if path.starts_with("/objects/") => &mut self.read,
            ("PUT", _) if path.starts_with("/objects/") => &mut self.write,
            ("DELETE", _) if path.starts_with("/objects/") => &mut self.delete,
            _ => return None,
        };
        Some(counter)
    }
}
