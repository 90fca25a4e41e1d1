//! The declaration of one deployment: services, upstreams, versions, workspaces and routes.
//!
//! A deployment has a base file and an overlay for the site, which contains only the differences.

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

/// The complete and validated declaration of one deployment.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Declaration {
    /// Name of the deployment.
    pub site: name::Name,
    /// Weights and latency targets.
    #[serde(default)]
    pub policy: Policy,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Machine classes, one for each failure domain and market with a price.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
    /// Upstreams that serve the services.
    pub upstreams: Vec<Upstream>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Routes from a path to a service.
    pub routes: Vec<Route>,
    /// Rollouts from one version to another.
    pub rollouts: Vec<Rollout>,
}

/// Parses a base file, merges the site's overlay into it and validates the result.
///
/// # Errors
///
/// Returns every fault found, each with file, line and remedy, ordered by file and line.
pub fn parse(base: &Source, overlay: Option<&Source>) -> Result<Declaration, Vec<Fault>> {
    let mut faults = Vec::new();
    let base_root = node::Node::parse(base).map_err(|errors| faults.extend(errors));
    let overlay_root = overlay.map(node::Node::parse).transpose();
    let overlay_root = overlay_root.map_err(|errors| faults.extend(errors));
    let (Ok(mut root), Ok(overlay_root)) = (base_root, overlay_root) else {
        return Err(faults);
    };
    if let Some(overlay_root) = overlay_root {
        merge::merge(&mut root, &overlay_root, &mut faults);
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
