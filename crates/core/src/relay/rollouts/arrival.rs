//! Requests that are to be sent.

use crate::name;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Its service.
    pub service: &'a name::Name,
    /// Its route.
    pub route: &'a name::Name,
    /// Whether another engine was tried before.
    pub is_retry: bool,
    /// True time in microseconds.
    pub micros: u64,
    /// This instance.
    pub instance: &'a name::Name,
    /// Number of instances for each one whose responses are known here.
    pub scale: f64,
}
