//! HTTP/1.1 messages: httparse parses heads, and this module frames bodies and reads them in parts of one buffer each.
//!
//! It handles the framing of messages in both directions. It does not interpret requests, keeps no connections and
//! never sends a message twice.

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
