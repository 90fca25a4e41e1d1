//! An answer kept for resends.

/// The whole answer of an upstream, kept for a resend with the same key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: String,
    /// Body as text; `None` if it was larger than the limit or not UTF-8.
    pub body: Option<String>,
}
