//! A request as the decisions see it.

use std::sync;

use super::route;
use crate::name;
use crate::time;

/// One part of a prompt, shared with other prompts or the request's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies its content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique at this instance.
    pub id: u64,
    /// The caller's id of this attempt, for logs.
    pub trace: name::Name,
    /// Its route.
    pub route: sync::Arc<route::Route>,
    /// The service that its route's split picked.
    pub service: name::Name,
    /// The workspace that is charged, if any.
    pub workspace: Option<name::Name>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// What it costs its workspace's cap.
    pub units: u32,
    /// When its head had come.
    pub arrived: time::Time,
    /// When an answer stops being on time.
    pub goal: time::Time,
    /// When the final answer is due.
    pub deadline: time::Time,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the output.
    pub output: u32,
    /// Parts of the prompt in order; the last one is the request's own.
    pub parts: Vec<Part>,
    /// Hash of method, path, caller and body.
    pub fingerprint: u64,
}
