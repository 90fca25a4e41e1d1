//! Protocol adapter: names of the headers that callers and engines use.

use guavausher_core::relay::request;

use crate::head;

/// Header names of a protocol, and the function that decodes the size headers.
#[derive(Clone, Copy, Debug)]
pub struct Protocol {
    /// The caller's request id, which engines echo.
    pub id: &'static str,
    /// Milliseconds until the caller's deadline.
    pub deadline: &'static str,
    /// The API key of a workspace.
    pub key: &'static str,
    /// Name of the workspace, sent to engines.
    pub workspace: &'static str,
    /// Name of the only engine that may run the request.
    pub instance: &'static str,
    /// Urgency of a request at an engine.
    pub urgency: &'static str,
    /// Id of the last event that the caller has received.
    pub last_event: &'static str,
    /// Header by which a response proves that an engine produced it.
    pub stamp: &'static str,
    /// Header by which an engine states that it did not run the request.
    pub refusal: &'static str,
    /// Header by which an engine announces that it is leaving, with the value `1`.
    pub leaving: &'static str,
    /// Header with the requests per second that an engine takes from all instances together.
    pub rate_limit: &'static str,
    /// Header with an engine's load: requests that it runs, requests that wait, slots, and the time that
    /// work takes there in percent of the usual time.
    pub load: &'static str,
    /// Headers of callers that are not forwarded to engines.
    pub reserved: &'static [&'static str],
    /// Headers of callers that are forwarded even if `Connection` lists them.
    pub forwarded: &'static [&'static str],
    /// Path of the readiness endpoint.
    pub ready_path: &'static str,
    /// Decodes the size of a request from its headers.
    pub request_size: fn(&head::Head) -> RequestSize,
}

/// Size of a request as its headers state it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt, if stated.
    pub prompt: Option<u32>,
    /// Maximum number of output tokens, if stated.
    pub output: Option<u32>,
    /// Parts of the prompt in order.
    pub parts: Vec<request::Part>,
}
