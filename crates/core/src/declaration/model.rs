//! The declared objects, after overlay and checks.

use std::net;

use crate::name;

/// A whole, checked declaration of one deployment.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Declaration {
    /// The deployment.
    pub site: name::Name,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Machine classes and their prices.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
    /// Upstreams that serve them.
    pub upstreams: Vec<Upstream>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Routes from a path to a service.
    pub routes: Vec<Route>,
    /// Moves from one version to another.
    pub rollouts: Vec<Rollout>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Domain {
    /// Unique name.
    pub name: name::Name,
    /// The region that holds it.
    pub region: name::Name,
}

/// A machine class with its price in one failure domain and market.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Class {
    /// Class name, for example `gpu-small`.
    pub name: name::Name,
    /// The failure domain that the price holds in.
    pub domain: name::Name,
    /// Reclaimable or on demand.
    pub market: Market,
    /// Price in millionths of a currency unit an hour.
    pub price: u64,
}

/// How an instance is rented.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Market {
    /// Cheap and taken back on seconds of notice.
    Reclaimable,
    /// Kept until returned.
    OnDemand,
}

/// A service that upstreams serve.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Unique name.
    pub name: name::Name,
    /// Model engine or plain service.
    pub kind: Kind,
    /// The version that gets traffic when no rollout moves it.
    pub version: name::Name,
    /// Whether its upstreams refuse an order with an old fencing number.
    pub fencing: bool,
    /// Whether its upstreams deduplicate by idempotency key.
    pub deduplicates: bool,
}

/// What serves a service.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine that streams tokens.
    Model,
    /// A plain service that answers whole.
    Plain,
}

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Upstream {
    /// Unique name.
    pub name: name::Name,
    /// The service that it serves.
    pub service: name::Name,
    /// The version that it runs.
    pub version: name::Name,
    /// Address by IP number.
    pub address: net::SocketAddr,
    /// The failure domain that holds it.
    pub domain: name::Name,
    /// Machine class.
    pub class: name::Name,
    /// Reclaimable or on demand.
    pub market: Market,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A workspace: one customer with its share and limits.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Workspace {
    /// Unique name.
    pub name: name::Name,
    /// Share against the other workspaces.
    pub weight: u32,
    /// Requests a second, averaged over the fleet's entries by each for itself.
    pub rate: u32,
    /// Requests in progress at one entry.
    pub concurrency: u32,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Unique name.
    pub name: name::Name,
    /// Exact request path, for example `/v1/verse`.
    pub path: String,
    /// The service that serves it.
    pub service: name::Name,
    /// Whether a repeated run does no harm.
    pub idempotent: bool,
    /// Scheduling class.
    pub priority: Priority,
    /// Milliseconds from arrival to the deadline of the first token or whole answer.
    pub timeout: u64,
}

/// Scheduling class of a route.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Short questions and orders.
    Quick,
    /// Long consultations and compilations.
    Long,
}

/// A move of a service from one version to another.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// The service.
    pub service: name::Name,
    /// The version that serves now.
    pub from: name::Name,
    /// The version that takes over.
    pub to: name::Name,
    /// Largest share of requests, in thousandths, before the version is trusted.
    pub share: u32,
    /// When the move is done or taken back.
    pub deadline: jiff::Timestamp,
}
