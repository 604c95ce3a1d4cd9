//! The errors of reading a message.

use std::fmt;
use std::io;

/// Why a message could not be read to its end.
#[derive(Debug)]
pub enum HttpError {
    /// The bytes are not an HTTP/1.1 message, or its framing is ambiguous.
    Malformed,
    /// The head or the body is larger than what may be buffered.
    TooLarge,
    /// The body is longer than its limit.
    BodyTooLong,
    /// The chunk sizes, chunk extensions or trailer fields of a body are larger than what is skipped.
    FramingTooLarge,
    /// The rest of the message did not arrive in time.
    TimedOut,
    /// The peer closed the connection before the message was complete.
    Closed,
    /// The connection failed before the message was complete.
    Broken,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Malformed => "malformed message",
            HttpError::TooLarge => "message too large",
            HttpError::BodyTooLong => "body too long",
            HttpError::FramingTooLarge => "chunk framing or trailer fields too large",
            HttpError::TimedOut => "message timed out",
            HttpError::Closed => "connection closed within a message",
            HttpError::Broken => "connection failed within a message",
        })
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(_: io::Error) -> HttpError {
        HttpError::Broken
    }
}
