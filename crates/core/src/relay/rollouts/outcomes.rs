//! Outcomes of a rollout as text.

use std::collections;
use std::fmt;

use crate::name;
use crate::relay::version_stats;

/// Outcomes of both versions by route, as the decision on a rollout saw them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcomes(pub collections::BTreeMap<name::Name, version_stats::Pair>);

impl fmt::Display for Outcomes {
    /// Formats each route as `ROUTE new ERRORS/RESPONSES old ERRORS/RESPONSES`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (route, pair)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            let (new, old) = (pair.new, pair.old);
            write!(
                f,
                "{separator}{route} new {}/{} old {}/{}",
                new.errors, new.responses, old.errors, old.responses
            )?;
        }
        Ok(())
    }
}
