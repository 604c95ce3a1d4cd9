//! Why a datagram is not accepted as a message.

use std::fmt;

/// Why a datagram is not accepted as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// It is too short or too long, damaged, of another fleet, or no message at all: the checksum does not tell which.
    Unrecognized,
    /// It is intact, but its sender requires a newer protocol version.
    NewerVersion,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MessageError::Unrecognized => "damaged, or not a message of this fleet",
            MessageError::NewerVersion => "requires a newer protocol version",
        })
    }
}

impl std::error::Error for MessageError {}
