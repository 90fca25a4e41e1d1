//! Composition of the heads of requests to engines and of responses to callers.

use std::fmt::Write;

use bytes::BytesMut;

use crate::attempt;
use crate::caller_response;
use crate::clock;
use crate::head;
use crate::wire;

/// Hop-by-hop headers, which are not forwarded, and headers that are written anew.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

impl attempt::Attempt<'_> {
    /// Composes the head of the request to the engine.
    ///
    /// `last` is the id of the last event that the caller has received, after which it resumes.
    pub(crate) fn compose(&self, last: Option<u64>) -> Vec<u8> {
        let names = &self.runtime.protocol;
        let mut head = Vec::with_capacity(1024);
        let incoming = self.incoming;
        head.extend_from_slice(incoming.method.as_bytes());
        head.push(b' ');
        head.extend_from_slice(incoming.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced = last.map(|_| names.last_event);
        for (name, value) in incoming.head.headers() {
            if self.is_forwarded(name) && !replaced.is_some_and(|r| r.eq_ignore_ascii_case(name)) {
                wire::push_header(&mut head, name, value);
            }
        }
        let mut own = String::with_capacity(256);
        let left = clock::now().until(self.request.deadline).as_millis();
        let urgency = self.request.rank().level();
        // Writing to a string cannot fail.
        let _ = write!(
            own,
            "{}: {left}\r\n{}: {}\r\n{}: {urgency}\r\n",
            names.deadline, names.instance, self.dispatch.choice.engine, names.urgency
        );
        if let Some(workspace) = &self.request.workspace {
            let _ = write!(own, "{}: {workspace}\r\n", names.workspace);
        }
        if let Some(last) = last {
            let _ = write!(own, "{}: {last}\r\n", names.last_event);
        }
        if incoming.has_body {
            let _ = write!(own, "Content-Length: {}\r\n", incoming.body().len());
        }
        own.push_str("\r\n");
        head.extend_from_slice(own.as_bytes());
        head
    }

    fn is_forwarded(&self, name: &str) -> bool {
        let names = &self.runtime.protocol;
        let is_name = |other: &&str| other.eq_ignore_ascii_case(name);
        let is_own = [
            names.deadline,
            names.key,
            names.workspace,
            names.instance,
            names.urgency,
        ]
        .iter()
        .any(is_name);
        if is_own || names.reserved.iter().any(is_name) || HOP_HEADERS.iter().any(is_name) {
            return false;
        }
        names.forwarded.iter().any(is_name) || !self.incoming.head.has_token("connection", name)
    }

    /// Composes the head of the response to the caller.
    pub(crate) fn caller_head(
        &self,
        response: &head::Head,
        length: Option<u64>,
        output: &mut caller_response::CallerResponse,
    ) -> BytesMut {
        let is_http11 = self.incoming.head.is_http11;
        output.is_chunked = length.is_none() && is_http11;
        output.keeps_alive = output.keeps_alive && (length.is_some() || output.is_chunked);
        let mut head = wire::status_line(response.status());
        for (name, value) in response.headers() {
            let is_hop = HOP_HEADERS.iter().any(|hop| hop.eq_ignore_ascii_case(name));
            if !is_hop && !response.has_token("connection", name) {
                wire::push_header(&mut head, name, value);
            }
        }
        let has_no_body = matches!(response.status(), 204 | 304);
        match length {
            Some(length) if self.incoming.method == "HEAD" => {
                let stated = response.get("content-length").map(String::from);
                let length = stated.unwrap_or_else(|| length.to_string());
                wire::push_header(&mut head, "Content-Length", length.as_bytes());
            }
            Some(length) if !has_no_body => {
                wire::push_header(&mut head, "Content-Length", length.to_string().as_bytes());
            }
            Some(_) => {}
            None if output.is_chunked => {
                wire::push_header(&mut head, "Transfer-Encoding", b"chunked")
            }
            None => {}
        }
        if !output.keeps_alive {
            wire::push_header(&mut head, "Connection", b"close");
        }
        head.extend_from_slice(b"\r\n");
        BytesMut::from(&head[..])
    }
}
