//! The declaration of one deployment: services, upstreams, versions, workspaces and routes.

mod model;

pub use model::{
    Class, Declaration, Domain, Kind, Market, Priority, Rollout, Route, Service, Upstream,
    Workspace,
};
