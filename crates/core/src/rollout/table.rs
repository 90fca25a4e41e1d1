//! The table of all rollouts, stored as one object.

use std::collections;

use crate::name;
use crate::rollout::status;

/// The rollouts of a deployment by service, stored under [`crate::rollout::KEY`].
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Table {
    /// Rollout status by service; a service has at most one rollout.
    pub statuses: collections::BTreeMap<name::Name, status::Status>,
}

/// rollouts/current is malformed: {0}; update this program or write the object again
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct Malformed(String);

impl std::error::Error for Malformed {}

impl Table {
    /// Decodes the stored JSON; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Fails if the content is not a rollout table or has a later format than
    /// [`crate::rollout::FORMAT`].
    pub fn decode(body: &[u8]) -> Result<Self, Malformed> {
        let table: Self =
            serde_json::from_slice(body).map_err(|error| Malformed(error.to_string()))?;
        let later = |status: &&status::Status| status.format > status::FORMAT;
        match table.statuses.values().find(later) {
            Some(status) => Err(Malformed(format!("format {} is unknown", status.format))),
            None => Ok(table),
        }
    }

    /// Encodes the table as the JSON to store.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the statuses of all rollouts, ordered by service.
    pub fn list(&self) -> Vec<status::Status> {
        self.statuses.values().cloned().collect()
    }
}
