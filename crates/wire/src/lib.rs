//! Placeholder replaced by the first real module.
