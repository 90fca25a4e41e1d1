//! The stored lease object.

use crate::name;

/// Version of the stored format.
const FORMAT: u32 = 1;

/// The content of a lease object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Record {
    /// Version of the stored format.
    pub format: u32,
    /// The entry whose controller holds the lease; `None` if it was released.
    pub holder: Option<name::Name>,
    /// Unique number of the process that wrote the record.
    pub writer: u64,
    /// Number of the write within that process.
    pub number: u64,
}

impl Record {
    /// Creates a record in the current format.
    pub fn new(holder: Option<name::Name>, writer: u64, number: u64) -> Self {
        Self {
            format: FORMAT,
            holder,
            writer,
            number,
        }
    }

    /// Decodes the stored content; `None` if it is malformed, which counts as held by another
    /// controller.
    pub fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Encodes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
