//! JSON bodies of the platform's service.

use guavausher_core::store;
use serde::Deserialize;
use serde::de;
use serde_json::value;

/// Keys and versions under a prefix.
#[derive(Debug, serde::Deserialize)]
pub struct Listing {
    /// Revision of the whole store.
    pub revision: u64,
    /// Objects without bodies.
    #[serde(deserialize_with = "readable")]
    pub objects: Vec<store::Entry>,
}

/// The instance list.
#[derive(Debug, serde::Deserialize)]
pub struct Instances {
    /// Revision of the list.
    pub revision: u64,
    /// Known instances.
    #[serde(deserialize_with = "readable")]
    pub instances: Vec<store::Instance>,
}

/// Notices of the cloud API.
#[derive(Debug, serde::Deserialize)]
pub struct Notices {
    /// The sequence number to go on at.
    pub next: u64,
    /// New notices.
    #[serde(deserialize_with = "readable")]
    pub notices: Vec<store::Notice>,
}

/// Reads the elements of a list; logs and leaves out those that cannot be read, which another writer
/// may have left.
fn readable<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: de::DeserializeOwned,
{
    let elements = Vec::<Box<value::RawValue>>::deserialize(deserializer)?;
    let read = |element: &value::RawValue| {
        serde_json::from_str(element.get())
            .inspect_err(|fault| log::warn!(fault:%; "element of a list left out"))
            .ok()
    };
    Ok(elements
        .iter()
        .filter_map(|element| read(element))
        .collect())
}
