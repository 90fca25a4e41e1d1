//! The command `check`.

use serde_json::json;

use crate::error;
use crate::files;
use crate::report;
use crate::settings;

/// Checks the files and counts what they declare.
///
/// # Errors
///
/// Fails with every fault of the declaration.
pub fn check(settings: &settings::Settings) -> Result<report::Report, error::Error> {
    let declaration = files::load(settings)?;
    let text = format!(
        "{}: {} domains, {} services, {} upstreams, {} workspaces, {} routes, {} rollouts, no faults\n",
        declaration.site,
        declaration.domains.len(),
        declaration.services.len(),
        declaration.upstreams.len(),
        declaration.workspaces.len(),
        declaration.routes.len(),
        declaration.rollouts.len(),
    );
    let json = json!({ "outcome": "accepted", "site": declaration.site });
    Ok(report::Report::done(text, json))
}
