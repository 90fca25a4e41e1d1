//! The declaration of one deployment: services, upstreams, versions, workspaces and routes.
//!
//! A deployment is one base file and an overlay for the site, which states only what differs.

mod check;
mod class;
mod domain;
mod envelope;
mod fault;
mod fields;
mod kind;
mod market;
mod merge;
mod node;
mod place;
mod policy;
mod prices;
mod priority;
mod problem;
mod read;
mod rollout;
mod route;
mod service;
mod source;
mod stored;
mod upstream;
mod workspace;

pub use class::Class;
pub use domain::Domain;
pub use envelope::Envelope;
pub use fault::Fault;
pub use fields::MAX_NAME_BYTES;
pub use kind::Kind;
pub use market::Market;
pub use node::MAX_FILE_BYTES;
pub use place::Place;
pub use policy::Policy;
pub use priority::Priority;
pub use problem::Problem;
pub use read::MAX_OBJECTS;
pub use rollout::Rollout;
pub use route::Route;
pub use service::Service;
pub use source::Source;
pub use stored::{FORMAT, StoredError};
pub use upstream::Upstream;
pub use workspace::Workspace;

use crate::name;

/// A whole, checked declaration of one deployment.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Declaration {
    /// The deployment.
    pub site: name::Name,
    /// Weights and latency targets.
    #[serde(default)]
    pub policy: Policy,
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

/// Parses a base file, lays the site's overlay over it and checks the result.
///
/// # Errors
///
/// Returns every fault found, each with file, line and mend, ordered by place.
pub fn parse(base: &Source, overlay: Option<&Source>) -> Result<Declaration, Vec<Fault>> {
    let mut faults = Vec::new();
    let parsed = node::Node::parse(base).map_err(|more| faults.extend(more));
    let above = overlay.map(node::Node::parse).transpose();
    let above = above.map_err(|more| faults.extend(more));
    let (Ok(mut root), Ok(above)) = (parsed, above) else {
        return Err(faults);
    };
    if let Some(above) = above {
        merge::merge(&mut root, &above, &mut faults);
    }
    let declaration = read::read(&root, &mut faults);
    check::check(&declaration, &root, &mut faults);
    if faults.is_empty()
        && let Err(error) = declaration.to_json()
    {
        faults.extend(error.fault(&root.place));
    }
    if faults.is_empty() {
        return Ok(declaration);
    }
    faults.sort_by(|a, b| a.place.cmp(&b.place));
    Err(faults)
}
