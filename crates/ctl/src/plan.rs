//! The command `plan`.

use guavausher_core::declaration;
use serde_json::json;

use crate::change;
use crate::client;
use crate::error;
use crate::history;
use crate::report;

/// Shows what an apply of `declaration` would change.
///
/// # Errors
///
/// Fails if the platform gives no answer or holds another site.
pub fn plan(
    client: &client::Client,
    declaration: &declaration::Declaration,
) -> Result<report::Report, error::Error> {
    let stored = history::current(client)?;
    check_site(stored.as_ref(), declaration)?;
    let changes = changes(stored.as_ref(), declaration);
    let generation = stored.map_or(0, |stored| stored.generation);
    let text = format!(
        "{} against generation {generation}\n{}",
        declaration.site,
        change::render(&changes)
    );
    let json = json!({
        "site": declaration.site,
        "generation": generation,
        "changes": changes,
    });
    Ok(report::Report::done(text, json))
}

/// Lists what `declaration` changes against what is stored.
pub fn changes(
    stored: Option<&history::Stored>,
    declaration: &declaration::Declaration,
) -> Vec<change::Change> {
    let empty = declaration::Declaration::default();
    let old = stored.map_or(&empty, |stored| &stored.envelope.declaration);
    change::diff(old, declaration)
}

/// Refuses to lay one site's declaration over another's.
///
/// # Errors
///
/// Fails if what is stored belongs to another site.
pub fn check_site(
    stored: Option<&history::Stored>,
    declaration: &declaration::Declaration,
) -> Result<(), error::Error> {
    match stored.map(|stored| &stored.envelope.declaration.site) {
        Some(site) if *site != declaration.site => Err(error::Error::Site {
            stored: site.clone(),
            site: declaration.site.clone(),
        }),
        _ => Ok(()),
    }
}
