//! Stored form of a segment of a partition's log.

use crate::ledger::record;
use crate::name;

/// Version of the stored format; readers reject a higher one.
pub const FORMAT: u32 = 1;

/// A segment of a partition's log, stored as one object.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Segment {
    /// Version of the stored format.
    pub format: u32,
    /// Whether this segment is final and the log continues in the next one.
    pub sealed: bool,
    /// Records in the order in which they were written.
    pub records: Vec<record::Record>,
}

/// Error returned for an object that is not a segment.
#[derive(Debug, displaydoc::Display)]
pub enum Malformed {
    /// ledger object is not valid JSON ({0}); restore it from the store's history
    Syntax(String),
    /// ledger object has format {0}, higher than this program reads; upgrade this program
    Format(u32),
}

impl std::error::Error for Malformed {}

impl Segment {
    /// Decodes a stored object.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the body is not JSON of a known format.
    pub fn decode(body: &[u8]) -> Result<Self, Malformed> {
        let segment: Self =
            serde_json::from_slice(body).map_err(|e| Malformed::Syntax(e.to_string()))?;
        if segment.format > FORMAT {
            return Err(Malformed::Format(segment.format));
        }
        Ok(segment)
    }

    /// Encodes the segment as JSON.
    pub fn encode(&self) -> Vec<u8> {
        let current = Self {
            format: FORMAT,
            ..self.clone()
        };
        serde_json::to_vec(&current).unwrap_or_default()
    }
}

/// Returns the object key of a segment.
pub fn key(partition: u64, index: u64) -> name::Name {
    name::Name::from(format!("ledger/{partition:03}/{index:010}"))
}

/// Returns the key prefix of a partition.
pub fn prefix(partition: u64) -> name::Name {
    name::Name::from(format!("ledger/{partition:03}/"))
}

/// Returns the index in a segment's object key; `None` if the key has none.
pub fn index(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
