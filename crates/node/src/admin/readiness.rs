//! Readiness of the process.

use std::sync;

/// Whether the process is ready for traffic, shared between threads.
#[derive(Clone, Debug)]
pub struct Readiness(sync::Arc<sync::RwLock<Option<&'static str>>>);

impl Default for Readiness {
    fn default() -> Self {
        Self(sync::Arc::new(sync::RwLock::new(Some("starting"))))
    }
}

impl Readiness {
    /// Marks the process ready.
    pub fn set_ready(&self) {
        self.set(None);
    }

    /// Marks the process not ready for this reason.
    pub fn set_unready(&self, reason: &'static str) {
        self.set(Some(reason));
    }

    /// Returns why the process is not ready, or `None` if it is.
    pub fn reason(&self) -> Option<&'static str> {
        *self.0.read().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn set(&self, reason: Option<&'static str>) {
        *self.0.write().unwrap_or_else(sync::PoisonError::into_inner) = reason;
    }
}
