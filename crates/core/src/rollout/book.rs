//! All rollouts in one stored object.

use crate::name;
use crate::rollout::status;

/// Version of the object's format; unknown fields are tolerated.
pub const SCHEMA: u32 = 1;

/// All rollouts of a deployment, stored under [`crate::rollout::KEY`].
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Book {
    /// Version of the format.
    pub schema: u32,
    /// The write that made this content.
    pub operation: String,
    /// At most one rollout a service.
    pub statuses: Vec<status::Status>,
}

/// rollouts/current is malformed: {0}; write it again with a controller of this version
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub struct Malformed(String);

impl std::error::Error for Malformed {}

impl Book {
    /// Decodes the stored content.
    ///
    /// # Errors
    ///
    /// Fails if the content is no such object or of a later format.
    pub fn decode(body: &[u8]) -> Result<Self, Malformed> {
        let book: Self =
            serde_json::from_slice(body).map_err(|error| Malformed(error.to_string()))?;
        if book.schema > SCHEMA {
            return Err(Malformed(format!("format {} is unknown", book.schema)));
        }
        Ok(book)
    }

    /// Encodes the content to be stored.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the rollout of a service.
    pub fn get(&self, service: &str) -> Option<&status::Status> {
        self.statuses
            .iter()
            .find(|status| status.service.as_str() == service)
    }

    /// Replaces the rollout of a service.
    pub fn put(&mut self, status: status::Status) {
        self.remove(&status.service);
        self.statuses.push(status);
    }

    /// Removes the rollout of a service.
    pub fn remove(&mut self, service: &name::Name) {
        self.statuses.retain(|status| status.service != *service);
    }
}
