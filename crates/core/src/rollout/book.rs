//! All rollouts in one stored object.

use std::collections;

use crate::name;
use crate::rollout::status;

/// All rollouts of a deployment by service, stored under [`crate::rollout::KEY`].
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Book {
    /// At most one rollout a service.
    pub statuses: collections::BTreeMap<name::Name, status::Status>,
}

/// rollouts/current is malformed: {0}; update this program or write the object again
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct Malformed(String);

impl std::error::Error for Malformed {}

impl Book {
    /// Decodes the stored content; unknown fields are tolerated.
    ///
    /// # Errors
    ///
    /// Fails if the content is no such object or of a later format.
    pub fn decode(body: &[u8]) -> Result<Self, Malformed> {
        let book: Self =
            serde_json::from_slice(body).map_err(|error| Malformed(error.to_string()))?;
        let later = |status: &&status::Status| status.format > status::FORMAT;
        match book.statuses.values().find(later) {
            Some(status) => Err(Malformed(format!("format {} is unknown", status.format))),
            None => Ok(book),
        }
    }

    /// Encodes the content to be stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns all rollouts.
    pub fn list(&self) -> Vec<status::Status> {
        self.statuses.values().cloned().collect()
    }
}
