//! A document that the platform's store holds and versions.

use std::sync;

use super::{body, topic};
use crate::store;

/// The largest body of a document in bytes.
pub const MAX_BODY_BYTES: usize = store::MAX_BODY_BYTES;

/// One generation of a stored document.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Document {
    /// What the document is about.
    pub topic: topic::Topic,
    /// Version in the platform's store; zero means that the store holds none.
    pub generation: u64,
    /// Content, at most [`MAX_BODY_BYTES`]; its format is the reader's.
    #[serde(with = "body")]
    pub body: sync::Arc<[u8]>,
}
