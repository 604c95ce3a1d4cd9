//! HTTP/1.1 on the wire: heads are parsed by httparse, bodies are framed here and read in parts of one buffer each.
//!
//! This module knows the framing of messages in both directions. It does not know what a request means, keeps no
//! connection, and never sends a message twice.

mod body;
mod error;
mod head;
mod message;
mod write;

pub use body::BodyPart;
pub use error::HttpError;
pub use head::{
    empty_headers, header, is_complete_request, is_end_to_end, path_of_target, reason_phrase, status,
};
pub use message::{IncomingMessage, read_buffered_response};
pub use write::{BodyEncoding, write, write_body_end, write_body_part};

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
