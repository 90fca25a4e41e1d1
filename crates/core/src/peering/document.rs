//! Documents, which the platform's store holds and versions.

use std::sync;

use super::{body, topic};
use crate::store;

/// Maximum size of a document's body in bytes.
pub const MAX_BODY_BYTES: usize = store::MAX_BODY_BYTES;

/// One generation of a stored document.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Document {
    /// Topic of the document.
    pub topic: topic::Topic,
    /// Version in the platform's store; zero if the store holds no document of the topic.
    pub generation: u64,
    /// Content of at most [`MAX_BODY_BYTES`], in a format that the reader defines.
    #[serde(with = "body")]
    pub body: sync::Arc<[u8]>,
}
