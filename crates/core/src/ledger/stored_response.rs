//! A response stored for repeated requests.

/// The complete response of an upstream, stored for repeated requests with the same key.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub media: String,
    /// Body as text; `None` if it was larger than the limit or not UTF-8.
    pub body: Option<String>,
}
