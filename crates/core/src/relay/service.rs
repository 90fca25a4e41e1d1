//! One service of a manifest.

use std::time::Duration;

use crate::name;

/// Price of a second of an engine in one failure domain, as a factor.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainPrice {
    /// The failure domain.
    pub domain: name::Name,
    /// Factor on the price of a second.
    pub factor: f64,
}

/// Bounds of the engines that may be ordered for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Fewest engines in a failure domain, of both markets together.
    pub min: u32,
    /// Most engines in a failure domain, of both markets together.
    pub max: u32,
    /// Time from an order to the first request.
    pub boot: Duration,
    /// Price of a reclaimable engine as a share of an on-demand one; none if there are none.
    pub spot: Option<f64>,
    /// Prices by failure domain.
    pub prices: Vec<DomainPrice>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: name::Name,
    /// Channels that one engine takes from all instances together.
    pub max_connections: u32,
    /// Whether its engines are model engines, whose prompts take time to read.
    pub is_model: bool,
    /// Slots of one engine, if the manifest tells.
    pub slots: Option<u32>,
    /// Bounds of ordered engines; none if they cannot be ordered.
    pub scaling: Option<Scaling>,
}
