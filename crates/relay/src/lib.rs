//! Opaque request forwarding over HTTP/1.1: the socket I/O around [`guavausher_core::relay`].
//!
//! All tasks run on one thread. Connections of callers and engines are plain sockets parsed with
//! `httparse`, because the decisions need to know whether a byte was read, what followed a
//! response and how a connection ended. Header names come from a [`protocol::Protocol`].
//!
//! ```
//! use guavausher_relay::framing;
//! let mut decoder = framing::Decoder::new(framing::Framing::Length(2));
//! let mut bytes = bytes::BytesMut::from(&b"okHTTP"[..]);
//! let piece = decoder.take(&mut bytes).unwrap();
//! assert_eq!(piece.as_deref(), Some(&b"ok"[..]));
//! assert!(decoder.is_done());
//! ```

mod admission;
mod attempt;
pub mod body;
mod body_reader;
mod body_stream;
pub mod budget;
mod caller_response;
pub mod client;
pub mod clock;
mod compose;
pub mod connection;
pub mod datagram;
mod engine_response;
pub mod event_loop;
pub mod events;
mod forward_body;
pub mod forwarding;
pub mod framing;
mod half_close;
pub mod head;
pub mod limits;
pub mod listener;
pub mod log_sampling;
pub mod metrics;
mod notices;
pub mod peers;
pub mod pool;
pub mod protocol;
pub mod read_times;
mod receiver;
mod record;
mod refusal_response;
pub mod request_reader;
mod response_end;
mod response_reader;
mod running_attempts;
pub mod runtime;
pub mod shutdown;
pub mod skipped_objects;
pub mod snapshot;
mod step_queue;
mod wire;
