//! The error of decoding a datagram.

use std::fmt;

/// The reason why a datagram is not accepted as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The datagram has an invalid length, is damaged, comes from another fleet, or is not a message at all. The checksum
    /// does not distinguish these cases.
    Unrecognized,
    /// The message is intact but requires a newer protocol version.
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
