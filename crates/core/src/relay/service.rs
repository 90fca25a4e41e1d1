//! One service of a manifest.

use std::time::Duration;

use super::rate_limit;
use crate::name;

/// Price factor of one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPrice {
    /// The failure domain.
    pub domain: name::Name,
    /// Factor on the price of an engine per second.
    pub factor: f64,
}

/// Scaling bounds of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Smallest number of engines in a failure domain, of both markets together.
    pub min: u32,
    /// Largest number of engines in a failure domain, of both markets together.
    pub max: u32,
    /// Time from an order until the engine accepts requests.
    pub boot: Duration,
    /// Price of a spot engine as a share of the price of an on-demand one; `None` if there is no
    /// spot market.
    pub spot: Option<f64>,
    /// Price factors of the failure domains.
    pub prices: Vec<DomainPrice>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: name::Name,
    /// Connections that one engine accepts from all instances together; 0 means no limit.
    pub max_connections: u32,
    /// Whether its engines run a model, so that prompts need prefill time.
    pub is_model: bool,
    /// Slots of one engine, if the manifest states them.
    pub slots: Option<u32>,
    /// Requests that a cold engine takes from all instances together; `None` if there is no limit.
    pub cold_rate: Option<rate_limit::Rate>,
    /// Scaling bounds; `None` if engines cannot be ordered.
    pub scaling: Option<Scaling>,
}
